#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <set>
#include <string>

#include "base/sharded_map.h"
#include "link/provider_links.h"
#include "net/mailbox.h"

/// Brings what sidecars send to the request that it is for, and chooses sidecars for requests.
namespace chervilpulley::entry {

/// Something that a request in progress must know.
struct request_event
{
  enum class kind
  {
    Frame,             ///< a frame about this request
    ProviderLost,      ///< the link to a sidecar closed
    CallerDisconnected ///< the caller closed the connection
  };
  kind mKind = kind::Frame;
  ref<link::provider> mProvider;
  link::frame mFrame;
};

using request_mailbox = net::mailbox<request_event>;

/// Which sidecars a request may go to.
struct provider_query
{
  pool_name mPool;
  std::string mModel; ///< empty for a plain service
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mSteps = 1; ///< engine steps, at most; 1 for a call of a plain service
  std::set<std::string> mExcluded;
  std::set<std::string> mPreferred;
};

/// Thread-safe.
class request_router : public ref_counted
{
public:
  void SetLinks(ref<link::provider_links> aLinks) { mLinks = std::move(aLinks); }
  link::provider_links& Links() { return *mLinks; }

  void Register(const request_id& aRequest, ref<request_mailbox> aMailbox);
  void Unregister(const request_id& aRequest);
  void OnFrame(const ref<link::provider>& aProvider, link::frame aFrame);
  void OnProviderLost(const ref<link::provider>& aProvider);
  /// The sidecar to ask; null when none takes such work.
  ref<link::provider> Choose(const provider_query& aQuery) const;
  /// Whether a sidecar that may take such work is listed and not linked yet.
  bool IsAwaited(const provider_query& aQuery) const;
  std::size_t InProgress() const { return mMailboxes.Size(); }

private:
  ref<link::provider_links> mLinks;
  sharded_map<request_id, ref<request_mailbox>> mMailboxes;
};

} // namespace chervilpulley::entry
