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

/// Links of a requester (an entry, or the sidecar of the stage before) to the sidecars that it may ask.
namespace chervilpulley::link {

/// One sidecar that this process has, or wants, a link to. Thread-safe.
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
  /// The last load report; its instance is empty before the first one.
  load_report Report() const;
  /// Whether it is listed for work and its link, or its first report, is still to come; not when it can't be reached.
  bool IsAwaited() const;
  /// What the choice of a route may know of it now.
  policy::route_candidate Candidate(instant aNow) const;
  /// Counts work that this process has in progress there.
  void Began();
  void Ended();

private:
  friend class provider_links;

  const platform::live_instance mListed;
  mutable std::mutex mMutex;
  ref<connection> mLink;
  load_report mReport;
  instant mReportAt{};
  instant mJoinedAt;
  instant mProbeSentAt{};
  duration mLinkDelay{ 0 };
  bool mListedLeaving = false;
  bool mWanted = true;
  bool mConnecting = false;
  instant mRetryAt{};
  std::uint32_t mFailures = 0;
  std::uint32_t mInFlight = 0;
  std::uint32_t mSentSinceReport = 0;
};

/// What provider_links tells its owner; calls for one provider never overlap.
struct provider_events
{
  std::function<void(const ref<provider>&, frame)> mOnFrame;
  std::function<void(const ref<provider>&)> mOnLost;
  /// A revision that a peer has shown on its traffic.
  std::function<void(const instance_id&, const failure_domain_id&, revision_number)> mOnRevision;
};

/// Keeps links to a changing set of sidecars.
class provider_links : public ref_counted
{
public:
  provider_links(boost::asio::io_context& aContext,
                 link_options aOptions,
                 hello aHello,
                 ref<local_revision> aBoard,
                 provider_events aEvents);

  /// Sets the sidecars to be linked with: new ones are connected, others are closed once they are idle.
  void SetWanted(const std::vector<platform::live_instance>& aWanted, instant aNow);
  /// Wants one more sidecar until the next SetWanted(), and connects it.
  ref<provider> AddWanted(const platform::live_instance& aListed, instant aNow);
  /// Connects what is wanted and not linked, and probes links that are silent.
  void Tick(instant aNow);
  /// Providers of a pool, with or without a link.
  std::vector<ref<provider>> OfPool(const pool_name& aPool) const;
  std::vector<ref<provider>> All() const { return mProviders.Values(); }
  /// The provider of that name; null when it is not known.
  ref<provider> Find(const instance_id& aInstance) const;
  bool Send(const ref<provider>& aProvider, frame aFrame);
  /// Sends over this very link; false when it is null or closed.
  bool SendOver(const ref<connection>& aLink, frame aFrame);
  /// Asks the provider for a sign of life.
  void Probe(const ref<provider>& aProvider);

private:
  void Connect(const ref<provider>& aProvider, instant aNow);
  boost::asio::awaitable<void> ConnectNow(ref<provider> aProvider);
  void TakeMessage(const ref<provider>& aProvider, const std::string& aMessage);
  void TakeReport(provider& aProvider, const load_report& aReport);
  void Closed(const ref<provider>& aProvider);

  boost::asio::io_context& mContext;
  link_options mOptions;
  hello mHello;
  ref<local_revision> mBoard;
  provider_events mEvents;
  sharded_map<instance_id, ref<provider>> mProviders;
};

} // namespace chervilpulley::link
