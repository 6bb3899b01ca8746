#include "policy/capacity_allocation.h"

#include <algorithm>
#include <numeric>

namespace chervilpulley::policy {

namespace {

/// Part of the unused capacity that may be used within one horizon under scarcity. Gateways always leave some of their
/// quota unused, so counting all of it each time would admit more than can start.
constexpr double kUsableSlack = 0.3;
/// Part of the capacity that becomes free which may be used again even when more is in use than there is capacity, as
/// after the loss of an engine: streams that moved to other engines should not stop all new ones for seconds.
constexpr double kMinReuse = 0.3;
/// Excess of the demand over what becomes free up to which all may start: engines absorb it with short queues, and
/// rejecting costs callers more.
constexpr double kToleratedExcess = 0.1;
/// Part of the unclaimed capacity that the gateways share equally; the rest is shared by demand.
constexpr double kEqualShare = 0.5;

double Sum(const rank_amounts& aAmounts)
{
  return std::accumulate(aAmounts.begin(), aAmounts.end(), 0.0);
}

/// Tokens that may start of each rank when aFree tokens become free: the minimum shares first, then in the order of the
/// ranks.
rank_amounts StartsByRank(const rank_amounts& aWanted, double aFree)
{
  const double wanted = Sum(aWanted);
  const double minShare = wanted > 0 ? kMinAdmittedShare * std::min(1.0, aFree / wanted) : 0;
  rank_amounts starts{};
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    starts[rank] = IsOnTimeRank(rank) ? aWanted[rank] * minShare : 0;
  }
  double left = aFree - Sum(starts);
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const double more = std::min(aWanted[rank] - starts[rank], std::max(0.0, left));
    starts[rank] += more;
    left -= more;
  }
  return starts;
}

} // namespace

double capacity_allocation::AdmittedFraction(std::size_t aRank) const
{
  if (mWanted[aRank] > 0) {
    return std::min(1.0, mStarts[aRank] / mWanted[aRank]);
  }
  // On-time requests have a minimum share of any capacity, and the first ones show the demand of their rank.
  return IsOnTimeRank(aRank) || !mIsScarce ? 1 : 0;
}

capacity_allocation AllocateCapacity(double aCapacity, duration aRunTime, const std::vector<gateway_load>& aLoads)
{
  capacity_allocation allocation;
  allocation.mGateways = aLoads.size();
  for (const gateway_load& load : aLoads) {
    allocation.mInUse += load.mInUse;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      allocation.mWanted[rank] += load.mWanted[rank];
    }
  }
  if (aRunTime > kAllocationHorizon) {
    allocation.mEnding = std::chrono::duration<double>(kAllocationHorizon) / std::chrono::duration<double>(aRunTime);
  }
  const double wanted = Sum(allocation.mWanted);
  const double slack = aCapacity - allocation.mInUse;
  const double becomesFree = allocation.mInUse * allocation.mEnding;
  const double usableSlack = slack > 0 && wanted > slack ? slack * kUsableSlack : slack;
  const double free = aCapacity > 0 ? std::max(becomesFree * kMinReuse, becomesFree + usableSlack) : 0;
  allocation.mIsScarce = wanted > free * (1 + kToleratedExcess);
  allocation.mStarts = allocation.mIsScarce ? StartsByRank(allocation.mWanted, free) : allocation.mWanted;
  allocation.mUnclaimed = std::max(0.0, free - wanted);
  return allocation;
}

double QuotaOf(const capacity_allocation& aAllocation, const gateway_load& aOwn, double aOwnStarts)
{
  double quota = aOwn.mInUse * (1 - aAllocation.mEnding) + aOwnStarts;
  if (aAllocation.mUnclaimed > 0) {
    const double wanted = Sum(aAllocation.mWanted);
    const double equalPart = 1.0 / static_cast<double>(std::max<std::size_t>(1, aAllocation.mGateways));
    const double byDemand = wanted > 0 ? Sum(aOwn.mWanted) / wanted : equalPart;
    quota += aAllocation.mUnclaimed * (kEqualShare * equalPart + (1 - kEqualShare) * byDemand);
  }
  return quota;
}

} // namespace chervilpulley::policy
