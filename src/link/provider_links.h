#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <vector>

#include "base/sharded_map.h"
#include "chervilpulley/units.h"
#include "link/frames.h"
#include "link/link.h"
#include "platform/live_list.h"
#include "policy/route_choice.h"

/// Links of a requester (an entry, or the sidecar of the previous stage) to the sidecars that may serve its requests.
/// Lost links are reopened with an exponential delay, and silent ones are probed.
namespace chervilpulley::link {

/// A sidecar that this process has a link to, or tries to connect to. Thread-safe.
class provider : public ref_counted
{
public:
  explicit provider(platform::live_instance aListed)
    : mListed(std::move(aListed))
    , mJoinedAt(instant::min())
  {
  }
  const instance_id& Instance() const { return mListed.mInstance; }
  const failure_domain_id& FailureDomain() const { return mListed.mFailureDomain; }
  const pool_name& Pool() const { return mListed.mPool; }
  const net::endpoint& Address() const { return mListed.mLink; }

  /// The open link; null while there is none.
  ref<connection> Link() const;
  /// The last load report; its instance is empty before the first report.
  load_report Report() const;
  /// Whether the sidecar is listed and not leaving, but has no link or has sent no load report yet. False once repeated
  /// attempts to connect have failed.
  bool IsAwaited() const;
  /// Input for the choice of a route.
  policy::route_candidate Candidate(instant aNow) const;
  /// Count the attempts and calls of this process that are in progress at the sidecar.
  void Began();
  void Ended();

private:
  friend class provider_links;

  const platform::live_instance mListed;
  mutable std::mutex mMutex;
  ref<connection> mLink;
  load_report mReport;
  instant mReportTime{};
  instant mJoinedAt; ///< instant::min() if it was on the first list, or was added by AddWanted()
  instant mProbeSentAt{};
  duration mLinkDelay{ 0 };
  bool mListedLeaving = false; ///< leaving according to the live list
  bool mWanted = true;
  bool mConnecting = false;
  instant mRetryAt{};
  std::uint32_t mConnectFailures = 0;
  std::uint32_t mInFlight = 0;        ///< started by this process and not ended
  std::uint32_t mSentSinceReport = 0; ///< work that the last report does not include
};

/// Callbacks of provider_links; calls for one provider never overlap.
struct provider_events
{
  std::function<void(const ref<provider>&, frame)> mOnFrame;
  std::function<void(const ref<provider>&)> mOnLost;
  /// Called with the configuration revision in each frame from a peer.
  std::function<void(const instance_id&, const failure_domain_id&, revision_number)> mOnRevision;
};

/// Maintains links to a changing set of sidecars.
class provider_links : public ref_counted
{
public:
  provider_links(boost::asio::io_context& aContext,
                 link_options aOptions,
                 hello aHello,
                 ref<local_revision> aOwnRevision,
                 provider_events aEvents);

  /// Sets the sidecars to link to. Connects new ones; closes links to the others once they are idle.
  void SetWanted(const std::vector<platform::live_instance>& aWanted, instant aNow);
  /// Adds a sidecar until the next SetWanted(), and connects to it.
  ref<provider> AddWanted(const platform::live_instance& aListed, instant aNow);
  /// Reconnects sidecars without a link, closes idle links that are no longer wanted, and probes silent links.
  void Tick(instant aNow);
  /// Providers of a pool in order of their instances, with or without a link.
  std::vector<ref<provider>> OfPool(const pool_name& aPool) const;
  std::vector<ref<provider>> All() const { return mProviders.Values(); }
  /// The provider of an instance; null when it is unknown.
  ref<provider> Find(const instance_id& aInstance) const;
  /// Sends over the provider's current link; false when there is none.
  bool Send(const ref<provider>& aProvider, frame aFrame);
  /// Sends over the given link only, not over one that replaced it; false when it is null or closed.
  bool SendOver(const ref<connection>& aLink, frame aFrame);
  /// Sends a hello, to which the provider responds with a load report.
  void Probe(const ref<provider>& aProvider);

private:
  void Connect(const ref<provider>& aProvider, instant aNow);
  boost::asio::awaitable<void> RunConnect(ref<provider> aProvider);
  void HandleMessage(const ref<provider>& aProvider, const std::string& aMessage);
  void HandleReport(provider& aProvider, const load_report& aReport);
  void OnClosed(const ref<provider>& aProvider);

  boost::asio::io_context& mContext;
  link_options mOptions;
  hello mHello;
  ref<local_revision> mOwnRevision;
  provider_events mEvents;
  sharded_map<instance_id, ref<provider>> mProviders;
};

} // namespace chervilpulley::link
