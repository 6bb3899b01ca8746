#pragma once

#include "policy/engine_model.h"

/// When a caller that was refused is told to come back. It answers to a failure domain that lacks layers until a repair
/// is done, and to a wave for which there is no room: who comes back while others still wait is refused again. Times
/// are spread, so that those refused together do not return together.
namespace chervilpulley::policy {

/// What is known where a request found no path.
struct shortage
{
  std::size_t mUncoveredLayers = 0; ///< layers without a usable holder in our failure domain
  std::size_t mLayers = 0;          ///< of the model
  fractional_ms mLoadTime{ 0 };     ///< loading all layers
  duration mQueueWait{ 0 };         ///< until those who wait for room have it
};

/// @param aPatience how long the caller waits in all from now; it comes back only within a third of that.
/// @param aRandom spreads the times.
duration RetryAfterDelay(const shortage& aShortage, duration aPatience, std::uint64_t aRandom);

} // namespace chervilpulley::policy
