#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "gateway/load_announcements.h"
#include "policy/capacity_allocation.h"
#include "policy/recent_maximum.h"
#include "policy/workspace_fairness.h"

/// Overload control for streams: allocates the engines' capacity by rank, consistently across gateways, and holds
/// requests back in the gateway while their rank and deadline still count. It answers a demand beyond the engines'
/// memory in pools whose requests differ in priority; requests of other pools do not pass through it. Used from a
/// single thread.
namespace chervilpulley::gateway {

/// Share of the engines' memory for requests that is allocated: estimates of outputs are inexact, and announcements are
/// some hundred milliseconds old.
inline constexpr double kAllocatedMemoryShare = 0.97;

/// A stream as overload control sees it.
struct stream_demand
{
  std::size_t mRank = 0;
  policy::workspace_hash mWorkspace = 0;
  double mTokens = 0; ///< prompt and expected output
};

/// Tokens by failure domain.
using domain_tokens = std::map<failure_domain_id, double>;

/// What this gateway sees of a pool and of its own load.
struct pool_load
{
  double mCapacity = 0; ///< tokens: minimum over all layers of the memory for requests of all usable engines
  domain_tokens mInUse; ///< of this gateway's streams; has all failure domains with engines of the pool
  std::vector<stream_demand> mWaiting; ///< in this gateway's queue
  std::size_t mGateways = 1;           ///< live gateways, this one included
};

/// The state of overload control, for logs and metrics.
struct overload_state
{
  bool mIsScarce = false;           ///< more is demanded than becomes free, now or within the last second
  double mCapacity = 0;             ///< tokens
  double mInUse = 0;                ///< tokens in use by all gateways
  double mQuota = 0;                ///< tokens that this gateway may have in use
  policy::rank_amounts mAdmitted{}; ///< admitted fraction of each rank
};

/// Admits streams of one pool, and says when they may start.
class overload_control
{
public:
  /// @param aHome failure domain of this gateway.
  explicit overload_control(failure_domain_id aHome);

  /// Records a stream that arrives.
  void Arrived(const stream_demand& aStream, instant aNow);
  /// Records how long a stream ran, from its last send to its end.
  void Ran(duration aTime);
  /// Records how much time a caller of a route gives, and returns whether the request is a retry: callers of a route
  /// give similar times, and one that retries has less of it left.
  bool IsRetry(const route_name& aRoute, duration aPatience, instant aNow);
  /// Computes the allocation anew; called periodically.
  void Update(const pool_load& aLoad, const load_announcements& aOthers, instant aNow);
  /// Whether a stream that arrives, or has just become late, is admitted; false means that it must be rejected now.
  bool Admits(const stream_demand& aStream, instant aNow);
  /// Admitted fraction of streams of the same rank and workspace.
  double AdmittedFraction(const stream_demand& aStream) const { return Fraction(aStream.mRank, aStream.mWorkspace); }
  /// Whether a stream of this size may start now.
  bool MayStart(double aTokens) const;
  /// Adds a stream that starts, until the next Update().
  void Started(double aTokens) { mStarted += aTokens; }
  /// Tokens that this gateway, or all others together, have in use in a failure domain.
  double OwnInUse(const failure_domain_id& aDomain) const;
  double OthersInUse(const failure_domain_id& aDomain) const;
  /// What this gateway announces; nothing before the first Update().
  const std::optional<load_announcement>& Own() const { return mOwn; }
  /// Time after which a rejected caller should retry; nothing while capacity is not scarce. A shortage that has lasted
  /// for a while is expected to last as long again.
  /// @param aFraction random number from 0 to 1 that spreads the delays.
  std::optional<duration> RetryAfter(duration aPatience, double aFraction, instant aNow) const;
  const overload_state& State() const { return mState; }

private:
  std::vector<policy::gateway_demand> Demands(const load_announcements& aOthers, instant aNow);
  void Announce(const pool_load& aLoad, const policy::gateway_load& aOwn, const policy::gateway_demand& aDemand);
  double OwnStarts(const policy::gateway_demand& aDemand) const;
  double LimitStarts(double aStarts, instant aNow);
  double Fraction(std::size_t aRank, policy::workspace_hash aWorkspace) const;
  void UpdateState(instant aNow);

  failure_domain_id mHome;
  policy::capacity_allocation mAllocation;
  std::array<policy::rank_demand, policy::kRankCount> mDemand;    ///< of all gateways
  std::array<policy::workspace_split, policy::kRankCount> mSplit; ///< of mDemand
  domain_tokens mOwnInUse;
  domain_tokens mOthersInUse;
  double mStarted = 0;                            ///< tokens of streams that have started since the last Update()
  std::deque<std::pair<instant, double>> mStarts; ///< tokens that this gateway could start, lately
  std::optional<load_announcement> mOwn;
  overload_state mState;
  policy::workspace_demand_meter mMeter;
  policy::admission_credit mCredit;
  duration mRunTime;
  std::map<route_name, policy::recent_maximum> mPatience;
  std::optional<instant> mScarceSince;
  instant mScarceAt; ///< when capacity was last found scarce
};

} // namespace chervilpulley::gateway
