#pragma once

#include <vector>

#include "gateway/stream_request.h"

/// Helper functions shared by the source files of stream_request.
namespace chervilpulley::gateway {

/// Pause after the first probe for a stalled stream; it doubles with each further one, up to a second.
inline constexpr duration kInitialProbePause = std::chrono::milliseconds(250);

/// Pause before resuming a broken stream is tried again after the retry budget or the engines did not allow it. A
/// caller that has received part of the output decides itself how long it waits for the rest.
inline constexpr duration kResumePause = std::chrono::milliseconds(120);

inline duration ToDuration(policy::fractional_ms aTime)
{
  return std::chrono::duration_cast<duration>(aTime);
}

inline double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

inline std::vector<wire::path_hop> HopsOf(const chosen_path& aPath)
{
  std::vector<wire::path_hop> hops;
  for (const chosen_path::stage& stage : aPath.mStages) {
    hops.push_back({ stage.mAddress, stage.mRange });
  }
  return hops;
}

} // namespace chervilpulley::gateway
