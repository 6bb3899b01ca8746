#include "policy/retry_after.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Streams run for about three seconds: within one, a third of the places is free again. Sooner nobody is called back,
/// also where the queue is short.
constexpr duration kUntilRoom = std::chrono::milliseconds(1000);
/// From a loss to the order that repairs it, and from the end of the load to its being listed everywhere.
constexpr duration kRepairSlack = std::chrono::milliseconds(1500);
/// Times are spread over this part to either side.
constexpr double kSpread = 0.25;
/// Part of a caller's patience after which it does not come back.
constexpr int kPatienceParts = 3;

} // namespace

duration RetryAfterDelay(const shortage& aShortage, duration aPatience, std::uint64_t aRandom)
{
  duration time = std::max(kUntilRoom, aShortage.mQueueWait);
  if (aShortage.mUncoveredLayers > 0 && aShortage.mLayers > 0) {
    const double share = static_cast<double>(aShortage.mUncoveredLayers) / static_cast<double>(aShortage.mLayers);
    time = std::max(time, kRepairSlack + std::chrono::duration_cast<duration>(aShortage.mLoadTime * share));
  }
  // 53 bits of the random number make a fraction of a double's precision.
  const double fraction = static_cast<double>(aRandom >> 11U) / static_cast<double>(1ULL << 53U);
  const double factor = 1 + kSpread * (2 * fraction - 1);
  time = duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
  return std::min<duration>(time, std::max<duration>(aPatience / kPatienceParts, duration::zero()));
}

} // namespace chervilpulley::policy
