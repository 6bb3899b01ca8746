#pragma once

#include "policy/engine_model.h"

/// Computes the Retry-After delay of refused requests. Guards against two loads: a failure domain that lacks layers
/// until a repair is done, and a burst for which there is no capacity. A caller that retries while others still wait is
/// refused again. Delays are randomized so that requests refused together do not return together.
namespace chervilpulley::policy {

/// The state of the pool when no path was found for a request.
struct shortage
{
  std::size_t mUncoveredLayers = 0; ///< layers without a usable holder in our failure domain
  std::size_t mLayers = 0;          ///< layers of the model
  fractional_ms mLoadTime{ 0 };     ///< time to load all layers
  duration mQueueWait{ 0 };         ///< time until the requests already queued have capacity
  duration mPause{ 0 };             ///< until engines that asked for a pause want requests again
};

/// A number in [0, 1) from a random one: its top 53 bits give a fraction with the full precision of a double.
inline double ToFraction(std::uint64_t aRandom)
{
  return static_cast<double>(aRandom >> 11U) / static_cast<double>(1ULL << 53U);
}

/// Returns the delay after which a refused caller should retry.
/// @param aPatience how long the caller still waits in total; the delay is at most a third of that.
/// @param aRandom random number that spreads the delays.
duration RetryAfterDelay(const shortage& aShortage, duration aPatience, std::uint64_t aRandom);

} // namespace chervilpulley::policy
