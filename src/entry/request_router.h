#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <set>
#include <string>

#include "base/sharded_map.h"
#include "link/provider_links.h"
#include "net/mailbox.h"

/// Delivers frames and link losses from sidecars to the requests in progress, and selects sidecars for requests.
namespace chervilpulley::entry {

/// An event for a request in progress.
struct request_event
{
  enum class kind
  {
    Frame,              ///< a frame about this request
    ProviderLost,       ///< the link to a sidecar closed
    CallerDisconnected, ///< the caller closed the connection
    Stopping            ///< the process is about to end, and the request with it
  };
  kind mKind = kind::Frame;
  ref<link::provider> mProvider;
  link::frame mFrame;
};

using request_mailbox = net::mailbox<request_event>;

/// What a request needs of a sidecar, for the selection.
struct provider_query
{
  pool_name mPool;
  std::string mModel; ///< empty for a plain service
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mSteps = 1;         ///< maximum number of engine steps; 1 for a call to a plain service
  std::set<std::string> mExcluded;  ///< sidecars to avoid
  std::set<std::string> mPreferred; ///< sidecars to prefer, because they hold state of the request
};

/// The requests in progress at one entry, by id, each with its mailbox. Thread-safe.
class request_router : public ref_counted
{
public:
  void SetLinks(ref<link::provider_links> aLinks) { mLinks = std::move(aLinks); }
  link::provider_links& Links() { return *mLinks; }

  /// Delivers the events of a request to a mailbox until Unregister().
  void Register(const request_id& aRequest, ref<request_mailbox> aMailbox);
  void Unregister(const request_id& aRequest);
  /// Delivers a frame to its request; drops it if the request has ended.
  void OnFrame(const ref<link::provider>& aProvider, link::frame aFrame);
  /// Notifies all requests in progress that the link to a sidecar closed.
  void OnProviderLost(const ref<link::provider>& aProvider);
  /// Records the time between two output tokens of a request.
  void ObserveTokenGap(duration aGap);
  /// Mean time between two output tokens; zero when none was observed.
  duration TokenGap() const { return duration(mTokenGap.load()); }
  /// Tells all requests in progress to end now.
  void StopAll();
  /// Selects a sidecar for a request; null if none accepts such work now.
  ref<link::provider> Choose(const provider_query& aQuery) const;
  /// Whether a matching sidecar is listed but its link is not established yet.
  bool IsAwaited(const provider_query& aQuery) const;
  /// Number of registered requests.
  std::size_t InProgress() const { return mMailboxes.Size(); }

private:
  ref<link::provider_links> mLinks;
  sharded_map<request_id, ref<request_mailbox>> mMailboxes;
  std::atomic<duration::rep> mTokenGap{ 0 };
};

} // namespace chervilpulley::entry
