#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/backend_call.h"
#include "gateway/configuration.h"
#include "gateway/load_announcements.h"
#include "gateway/overload_control.h"
#include "gateway/retry_limits.h"
#include "gateway/server_limits.h"
#include "gateway/wire.h"
#include "net/endpoint.h"
#include "policy/engine_queue.h"
#include "policy/key_freshness.h"
#include "policy/member_table.h"
#include "policy/path_choice.h"
#include "policy/service_choice.h"

/// This gateway's view of the backend servers: which are listed, the layers that they hold, the requests of this
/// gateway that run on them, and which were seen failing. Requests choose their path here, so that a server which dies,
/// refuses or slows down gets no new work before the platform's list shows it. Used from a single thread.
namespace chervilpulley::gateway {

/// A server marked as lost becomes usable again after this time unless it is found lost again: by then the platform's
/// list has dropped a dead server.
inline constexpr duration kLostHoldTime = std::chrono::milliseconds(4000);
/// A server that refused a request for lack of capacity gets no new requests for this time.
inline constexpr duration kRefusalHoldTime = std::chrono::milliseconds(150);
/// A server that reports its memory as full gets no new requests for this time: a request releases its memory after
/// about three seconds.
inline constexpr duration kFullHoldTime = std::chrono::milliseconds(400);
/// A server that does not hold the layers it is listed with gets no new requests for this time: the list catches up
/// within about a second.
inline constexpr duration kStaleHoldTime = std::chrono::milliseconds(700);
/// A slow engine is probed again after this time. Slow engines get no work, so nothing else would show that one has
/// recovered.
inline constexpr duration kSlowProbeInterval = std::chrono::milliseconds(1500);
/// Slowdown factor from which an engine counts as slow.
inline constexpr double kSlowFactor = 1.25;
/// Used share of the memory for requests above which an engine counts as full.
inline constexpr double kFullMemoryShare = 0.85;

/// A departed server that the list of a copy of the store shows again gets no requests for this time unless its entry
/// is written again: by then the platform has removed the entries of servers that are gone.
inline constexpr duration kCopyEntryTime = std::chrono::seconds(6);

/// An engine that moves to other layers gets no new requests for this time after the last message about the move.
inline constexpr duration kMovingHoldTime = std::chrono::milliseconds(3000);

/// Which gateway found a server lost.
enum class loss_source
{
  Own, ///< a request or probe of this gateway
  Hint ///< another gateway, confirmed by a probe of this one
};

/// What a server has said about itself, which holds until it restarts.
struct server_notices
{
  std::optional<instant> mLeavingSince; ///< when it was first seen leaving
  instant mPausedUntil;                 ///< it wants no requests from this gateway until then
};

/// State of one backend server in addition to its list entry.
struct backend_state
{
  net::endpoint mAddress;
  double mReserved = 0;        ///< tokens x layers reserved for requests of this gateway
  std::uint32_t mRunning = 0;  ///< requests of this gateway
  std::uint32_t mBegun = 0;    ///< of these, those whose path begins here
  policy::engine_queue mQueue; ///< requests of this gateway whose path begins here
  instant mLostUntil;
  instant mRefusingUntil;
  instant mUnconfirmedUntil;   ///< its entry may be that of a server which had left
  bool mIsUnlisted = false;    ///< its entry is gone, but may be listed again
  double mFailures = 0;        ///< moving average of the share of failed requests
  double mSlowdownFactor = 1;  ///< as reported by the engine; 1 is normal speed
  instant mSlowdownReportedAt; ///< when mSlowdownFactor was last reported
  std::uint64_t mStartedAt = 0;
  std::uint64_t mReportedStartedAt = 0; ///< of the process that sent the last report, which may not be listed yet
  server_notices mNotices;
  instant mMovingUntil;           ///< until then it counts as moving, unless it holds its new layers earlier
  policy::layer_span mMovingFrom; ///< layers that it held when it got the order
};

/// Whether a server may get new requests, as far as it and this gateway's calls say.
inline bool MayGetWork(const backend_state& aState, instant aNow)
{
  return !aState.mNotices.mLeavingSince && aState.mNotices.mPausedUntil <= aNow && aState.mLostUntil <= aNow &&
         aState.mUnconfirmedUntil <= aNow;
}

/// The engines chosen for a request, with what is needed to send the request and to reserve memory for it.
struct chosen_path
{
  struct stage
  {
    backend_id mEngine;
    std::string mAddress;
    policy::layer_span mRange;
    failure_domain_id mDomain;
  };
  std::vector<stage> mStages;
  pool_name mPool;
  double mTokens = 0; ///< reserved at each layer
  policy::path_cost mCost;
};

/// Counts of a pool's engines and layers as seen by this gateway, for logs and metrics.
struct engine_availability
{
  std::size_t mUsable = 0;
  std::size_t mLost = 0;
  std::size_t mRefusing = 0; ///< no capacity, or the list is out of date
  std::size_t mMoving = 0;
  std::size_t mLeaving = 0;
  std::size_t mPaused = 0;            ///< want no requests from this gateway for a while
  std::size_t mOverLimit = 0;         ///< no path may begin there until there is a permit
  std::size_t mUncoveredHere = 0;     ///< layers that no usable engine of this gateway's failure domain holds
  std::size_t mUncoveredAnywhere = 0; ///< layers that no usable engine holds
  duration mCoveredIn{ 0 };           ///< until the ends of pauses leave no layer without a usable engine
  std::size_t mHeldOnceHere = 0;      ///< layers that a single usable engine of this gateway's failure domain holds
};

/// What a request needs of a path.
struct path_query
{
  pool_name mPool;
  double mInputTokens = 0;  ///< tokens to prefill before the next one is generated
  double mOutputTokens = 0; ///< tokens expected in the output
  std::set<backend_id> mExcluded;
  std::optional<policy::layer_span> mSpan; ///< choose for these layers only
  /// Failure domains of the stages next to these layers in a running path. A replacement is best placed in
  /// mDomainBefore.
  std::optional<failure_domain_id> mDomainBefore;
  std::optional<failure_domain_id> mDomainAfter;
  duration mMaxQueueWait = duration::max(); ///< wait at the first engine beyond which the first event is late
  bool mFastEnginesOnly = false;
  bool mIsRepeated = false; ///< a path for the same request was searched for before, and none was found
};

/// The path that a request would get, and the engines among which it was chosen.
struct path_preview
{
  std::optional<chosen_path> mPath;
  std::vector<policy::path_engine> mEngines; ///< empty for a pool without model engines
  policy::path_request mRequest;
};

/// A plain service as a candidate for a request.
struct service_preview
{
  backend_id mId;
  policy::service_candidate mCandidate;
  bool mIsReplaced = false;  ///< a server started later is listed at its address
  bool mIsOverLimit = false; ///< no permit is left
};

/// A server that is no longer listed. It has terminated, or it is leaving without having reported it and serves its
/// requests for a while.
struct departed_backend
{
  net::endpoint mAddress;
  std::uint64_t mStartedAt = 0;
  bool mIsLost = false; ///< it was unreachable before or after its removal
  server_notices mNotices;
  instant mSince; ///< when it left the list
};

/// Departed servers are dropped after this time. It is longer than any stream that may still run on them, and than an
/// outage after which an old entry may be listed again.
inline constexpr duration kDepartedRetention = std::chrono::minutes(10);

/// The backend servers of all pools and their state; chooses paths and plain services for requests.
class fleet : public ref_counted
{
public:
  fleet(failure_domain_id aHome, duration aReturnTime, policy::retry_bounds aRetryBounds);

  void SetConfiguration(ref<const configuration> aConfiguration) { mConfiguration = std::move(aConfiguration); }
  const ref<const configuration>& Configuration() const { return mConfiguration; }
  policy::member_table& Members() { return mMembers; }
  const policy::member_table& Members() const { return mMembers; }
  /// Updates the state of the servers; must be called after each change of Members().
  void MembersChanged(instant aNow);
  /// The next change of Members() is the list of a store that has come back from a copy: it may show servers that had
  /// left.
  void ListRestored(instant aNow) { mCopyUntil = aNow + kCopyEntryTime; }
  /// A server, or somebody else, has written its entry.
  void EntryWritten(const backend_id& aId);

  /// Chooses the cheapest path through usable engines; nothing when some layer has none.
  std::optional<chosen_path> ChoosePath(const path_query& aQuery, instant aNow);
  /// Like ChoosePath(), but without recording a missed permit, for explanations: no decision changes.
  path_preview PreviewPath(const path_query& aQuery, instant aNow);
  /// The plain services of a pool, each with the facts from which one is chosen. Records nothing.
  std::vector<service_preview> PreviewServices(const pool_name& aPool, instant aNow) const;
  /// State of a listed server, or nullptr.
  const backend_state* FindState(const backend_id& aId) const;
  /// Counts for logs and metrics; all zero for a pool without model engines.
  engine_availability Availability(const pool_name& aPool, instant aNow);
  /// Chooses a plain service of a pool; nothing when none is usable.
  std::optional<backend_id> ChooseService(const pool_name& aPool,
                                          const std::set<backend_id>& aExcluded,
                                          std::uint64_t aRandom,
                                          instant aNow);

  /// Time until a plain service of a pool, none of which is usable, wants requests again; nothing when none will.
  std::optional<duration> ServiceReturnsIn(const pool_name& aPool, instant aNow) const;

  /// Adds the load that aTokens tokens on a path put on the interconnect between failure domains.
  void AddInterconnectLoad(const pool_name& aPool, const chosen_path& aPath, double aTokens, instant aNow);
  /// Reserves memory for a request at the engines of its path, or releases it.
  void Reserve(const chosen_path& aPath);
  void Release(const chosen_path& aPath);
  /// Counts a request, sent at aAt, that waits in the queue of the first engine of its path, until Unqueued().
  void Queued(const backend_id& aEngine, instant aAt);
  /// The engine has started the request, or the request has ended there.
  void Unqueued(const backend_id& aEngine, instant aAt);
  /// Counts requests that run at a plain service.
  void Started(const backend_id& aId);
  void Ended(const backend_id& aId);
  /// Adds the outcome of a request to a server's share of failures.
  void RecordOutcome(const backend_id& aId, bool aFailed);

  /// Marks a server that was found dead or unreachable as lost.
  void MarkLost(const backend_id& aId, instant aNow, loss_source aSource = loss_source::Own);
  /// Marks a server as lost because no connection to it could be made. The request was not sent.
  void MarkUnreachable(const backend_id& aId, const std::string& aRequest, const std::string& aReason, instant aNow);
  /// Sets the callback for engines that this gateway itself finds lost and that were not marked as lost before.
  void OnLossFound(std::function<void(const backend_id&)> aCallback) { mOnLossFound = std::move(aCallback); }
  /// Sets the callback for each report in which an engine is slow.
  void OnSlowFound(std::function<void(const backend_id&)> aCallback) { mOnSlowFound = std::move(aCallback); }
  /// Number of engines that were slow by their last report.
  std::size_t SlowEngines() const;
  /// Calls aVisit(member, kind) for each listed engine of a pool whose kind of accelerator is known. Of the servers
  /// listed at one address, only the one started last is visited.
  template<class Visit>
  void ForEachEngine(const pool& aPool, Visit aVisit) const
  {
    for (const auto& [id, member] : mMembers.Members()) {
      const policy::accelerator_kind* kind = aPool.mEngine->FindKind(member.mAccelerator);
      if (member.mPool == aPool.mName && kind != nullptr && !IsReplaced(id)) {
        aVisit(member, *kind);
      }
    }
  }
  /// Whether a server belongs to a pool of model engines.
  bool IsEngine(const backend_id& aId) const;
  /// Marks a server as refusing for aTime. An engine then gets no new requests; a plain service is chosen last.
  void MarkRefusing(const backend_id& aId, instant aNow, duration aTime = kRefusalHoldTime);
  /// Applies an engine's report: its slowdown factor, its memory and the layers that it holds.
  void HandleReport(const backend_id& aId, const wire::engine_report& aReport, instant aNow);
  /// Whether a server gets no new requests because it is marked as lost or no longer listed.
  bool IsLostOrUnlisted(const backend_id& aId, instant aNow) const;
  /// Whether a server was found dead or unreachable, or is unknown. One that is no longer listed may still serve the
  /// requests that it has.
  bool IsMarkedLost(const backend_id& aId, instant aNow) const;
  /// Whether a server is in the platform's list.
  bool IsListed(const backend_id& aId) const { return mMembers.Find(aId) != nullptr; }
  /// Whether a process of a server has ended: it was found lost, or the list or a report shows that another has
  /// started.
  bool HasEnded(const policy::server_start& aServer, instant aNow) const;
  /// Whether requests that were sent to this process of a server, identified by its start time, may still be running.
  bool MayBeAlive(const policy::backend_member& aServer) const;
  /// Engines that were slow by their last report, which is older than kSlowProbeInterval.
  std::vector<backend_id> SlowEnginesToProbe(instant aNow) const;

  /// Marks an engine that was ordered to replace its layers. Streams move away from it, so that it need not wait for
  /// them.
  void MarkMoving(const backend_id& aId, instant aNow);
  /// Whether an engine is marked as moving and has not loaded its new layers yet.
  bool IsMoving(const backend_id& aId, instant aNow) const;
  /// Handles the head of a server's response. One that says it is leaving gets no new requests until it restarts,
  /// whatever the list shows; one that asks for a pause gets none during it.
  /// @param aSentAt when the request of the response was sent; the epoch of the clock if that is unknown.
  void HandleHead(const policy::server_start& aServer,
                  const wire::response_metadata& aResponse,
                  instant aSentAt,
                  instant aNow);
  /// Whether a server wants no requests from this gateway for a while.
  bool IsPaused(const backend_id& aId, instant aNow) const;
  /// The limits that servers name, with the permits to send requests to them.
  server_limits& Limits() { return mLimits; }
  const server_limits& Limits() const { return mLimits; }
  /// Limits of the listed servers.
  std::vector<server_limit> LimitsInForce(instant aNow) const;
  /// Responds to another gateway's ask for permits.
  permit_grant GrantPermits(const permit_ask& aAsk, instant aNow);
  /// Uses up a permit for a request that is sent to a server.
  void RequestSent(const backend_id& aId, instant aNow);
  /// Number of servers of a pool that could be sent requests if their limits allowed it.
  std::size_t OverLimit(const pool_name& aPool, instant aNow) const;
  /// Whether an ask for permits of a plain service of a pool may be answered with some now.
  bool MayGetPermits(const pool_name& aPool, instant aNow) const;
  /// Time until a request with aAhead others before it gets a permit for one of the servers of a pool at which it can
  /// begin; zero when it needs none there, or no server is usable for another reason.
  duration PermitWait(const pool_name& aPool, std::size_t aAhead, instant aNow) const;

  /// When a server was first seen leaving; nothing when it is not leaving or no longer listed.
  std::optional<instant> LeavingSince(const backend_id& aId) const;

  /// The address and process of a server. Includes departed servers as long as no other server is listed at their
  /// address.
  std::optional<backend_address> AddressOf(const backend_id& aId) const;
  /// Whether a server that was started later is listed at the same address.
  bool IsReplaced(const backend_id& aId) const;
  /// The server that is listed at an address; of several, the one started last.
  std::optional<backend_id> AtAddress(const std::string& aAddress) const;

  retry_limits& Retries() { return mRetries; }
  /// What this gateway has heard of the load of the others.
  load_announcements& Announcements() { return mAnnouncements; }
  /// Overload control of a pool, or nullptr when its requests don't differ in priority.
  overload_control* Overload(const pool_name& aPool);
  const overload_control* FindOverload(const pool_name& aPool) const;
  /// Computes the allocation of each pool anew, and announces this gateway's load; called periodically.
  /// @param aWaiting the streams that wait for capacity, by pool.
  void UpdateOverload(const std::map<pool_name, std::vector<stream_demand>>& aWaiting, instant aNow);
  /// Number of gateways that share each global limit.
  std::size_t Gateways() const { return mGateways; }
  /// Sets the number of live gateways, in all and in this failure domain.
  void SetGateways(std::size_t aAll, std::size_t aInDomain);

private:
  backend_state& State(const backend_id& aId);
  backend_state NewState(const policy::backend_member& aMember, instant aNow) const;
  /// What a process of a listed or departed server has said about itself, or nullptr.
  server_notices* NoticesOf(const policy::server_start& aServer);
  void MarkUnlisted(instant aNow);
  void MarkLeaving(const policy::server_start& aServer, std::string_view aSource, instant aNow);
  void Pause(const policy::server_start& aServer, duration aTime, instant aNow);
  void Limit(const policy::server_start& aServer,
             const wire::response_metadata& aResponse,
             instant aSentAt,
             instant aNow);
  policy::server_start StartOf(const backend_id& aId) const;
  failure_domain_id DomainOf(const backend_id& aId) const;
  void MissPermits(const std::vector<backend_id>& aServers, bool aIsNew, instant aNow);
  void FillEngines(const pool& aPool);
  policy::path_request PrepareSearch(const pool& aPool, const path_query& aQuery, instant aNow);
  bool IsUsable(const backend_id& aId, const backend_state& aState, const path_query& aQuery, instant aNow) const;
  bool AdmitUnlisted(const path_query& aQuery, instant aNow);
  /// Searches a path through listed engines, or, where there is none, also through engines that may be listed again.
  std::optional<chosen_path> SearchPath(const pool& aPool,
                                        const path_query& aQuery,
                                        const policy::path_request& aRequest,
                                        instant aNow);
  std::optional<chosen_path> FindPath(const pool& aPool,
                                      const path_query& aQuery,
                                      const policy::path_request& aRequest) const;
  void FillEngineShares(const policy::engine_model& aModel);
  void AddOthersLoad(const policy::engine_model& aModel, const overload_control& aOverload);
  void UpdateCapacity(const pool& aPool, instant aNow);
  void AddTokensInUse(const chosen_path& aPath, double aTokens);
  void AddDeparted(const backend_id& aId, const backend_state& aState, instant aNow);

  failure_domain_id mHome;
  std::function<void(const backend_id&)> mOnLossFound;
  std::function<void(const backend_id&)> mOnSlowFound;
  ref<const configuration> mConfiguration;
  policy::member_table mMembers;
  std::map<backend_id, backend_state> mStates;
  std::unordered_map<std::string, backend_id> mByAddress;
  std::map<backend_id, departed_backend> mDeparted;
  instant mCopyUntil; ///< entries of departed servers may be of a copy of the store until then
  server_limits mLimits;
  policy::interconnect_load mInterconnect;
  retry_limits mRetries;
  load_announcements mAnnouncements;
  std::map<pool_name, overload_control> mOverload;
  /// The capacity of the pool under overload control, and the tokens x layers of this gateway's streams.
  struct pool_capacity
  {
    double mTokens = 0;
    instant mNextUpdate;
    domain_tokens mTokenLayersInUse;
  };
  std::map<pool_name, pool_capacity> mCapacities;
  std::size_t mGateways = 1;
  std::size_t mGatewaysInDomain = 1;
  /// Part of what is in use in an engine's failure domain that it has, if the engines that hold a layer share it in
  /// proportion to their memory.
  struct engine_share
  {
    double mTokenLayers = 0; ///< for each token in use
    double mBegun = 0;       ///< of the paths that begin in the domain
  };
  std::vector<engine_share> mEngineShares;   ///< of mEngines
  std::vector<policy::path_engine> mEngines; ///< of the pool, list version and configuration below
  pool_name mEnginesOf;
  std::uint64_t mEnginesVersion = 0;
  const configuration* mEnginesConfiguration = nullptr;
};

} // namespace chervilpulley::gateway
