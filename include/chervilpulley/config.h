#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "chervilpulley/units.h"

/// Limits and switches that are fixed when the program is built.
namespace chervilpulley {

/// Shards of each table that several threads share.
inline constexpr std::size_t kShardCount = 16;
/// Positions that the last stage may be ahead of the caller.
inline constexpr std::uint64_t kDeliveryWindow = 8;
/// Largest frame on a link, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 8U << 20U;
/// Bytes that may wait on one link before it is closed as too slow.
inline constexpr std::size_t kMaxLinkBacklogBytes = 32U << 20U;
/// Largest value in the platform's object API, in bytes.
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;
/// Attempts that a request gets at most.
inline constexpr std::uint32_t kMaxAttempts = 6;
/// Time between two load reports on a link whose state does not change.
inline constexpr duration kLoadReportInterval = std::chrono::seconds(1);

} // namespace chervilpulley
