#include "policy/retry_after.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Streams run for about three seconds, so within one second a third of the capacity is free again. No caller is asked
/// to retry sooner, even when the queue is short.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(1000);
/// Time from a loss to the order that repairs it, plus the time from the end of the load until every gateway lists it.
constexpr duration kRepairSlack = std::chrono::milliseconds(1500);
/// Delays are randomized by up to this fraction in either direction.
constexpr double kJitter = 0.25;
/// A caller does not retry after this fraction (1/n) of its patience.
constexpr int kPatienceDivisor = 3;

} // namespace

duration RetryAfterDelay(const shortage& aShortage, duration aPatience, std::uint64_t aRandom)
{
  duration time = std::max(kMinRetryAfter, aShortage.mQueueWait);
  if (aShortage.mUncoveredLayers > 0 && aShortage.mLayers > 0) {
    const double share = static_cast<double>(aShortage.mUncoveredLayers) / static_cast<double>(aShortage.mLayers);
    time = std::max(time, kRepairSlack + std::chrono::duration_cast<duration>(aShortage.mLoadTime * share));
  }
  time = std::max(time, aShortage.mPause);
  const double factor = 1 + kJitter * (2 * ToFraction(aRandom) - 1);
  time = duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
  return std::min<duration>(time, std::max<duration>(aPatience / kPatienceDivisor, duration::zero()));
}

} // namespace chervilpulley::policy
