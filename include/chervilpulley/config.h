#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "chervilpulley/units.h"

/// Limits that are fixed at compile time.
namespace chervilpulley {

/// Number of shards of each table that several threads share.
inline constexpr std::size_t kShardCount = 16;
/// Number of token positions that the last stage may be ahead of the caller.
inline constexpr std::uint64_t kDeliveryWindow = 8;
/// Largest frame on a link, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 8U << 20U;
/// Maximum of unsent bytes on one link; beyond it the link is closed as too slow.
inline constexpr std::size_t kMaxLinkBacklogBytes = 32U << 20U;
/// Largest value in the platform's object API, in bytes.
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;
/// Maximum number of attempts of a request.
inline constexpr std::uint32_t kMaxAttempts = 6;
/// Interval of load reports on a link while the reported state does not change.
inline constexpr duration kLoadReportInterval = std::chrono::seconds(1);

} // namespace chervilpulley
