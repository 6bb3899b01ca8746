#pragma once

#include <vector>

#include "gateway/stream_request.h"

/// Shared by the files of the streams' work.
namespace chervilpulley::gateway {

/// Pauses between two inquiries about one stream.
inline constexpr duration kFirstInquiryPause = std::chrono::milliseconds(250);

inline duration ToDuration(policy::fractional_ms aTime)
{
  return std::chrono::duration_cast<duration>(aTime);
}

inline double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

inline std::vector<wire::hop> HopsOf(const chosen_path& aPath)
{
  std::vector<wire::hop> hops;
  for (const chosen_path::part& part : aPath.mStages) {
    hops.push_back({ part.mAddress, part.mRange });
  }
  return hops;
}

} // namespace chervilpulley::gateway
