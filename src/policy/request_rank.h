#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "chervilpulley/policy_types.h"

/// Orders requests for capacity under overload: by priority, and by whether they can still be on time. Late requests
/// give way to those that can be on time and are not much less urgent, since a late response is worth a fraction.
namespace chervilpulley::policy {

/// Number of priority levels that are distinguished, as in the engines.
inline constexpr std::size_t kRankedLevels = 10;
/// Number of ranks; rank 0 is served first.
inline constexpr std::size_t kRankCount = 2 * kRankedLevels + 2;

/// An amount for each rank, in tokens unless said otherwise.
using rank_amounts = std::array<double, kRankCount>;

/// The rank of a request. A late request comes after the on-time requests of the next lower priority and before those
/// of the one below that.
/// @param aLevel 0 is the most urgent.
constexpr std::size_t RankOf(std::size_t aLevel, bool aCanBeOnTime)
{
  return 2 * std::min(aLevel, kRankedLevels - 1) + (aCanBeOnTime ? 0 : 3);
}

/// Whether requests of a rank can be on time.
constexpr bool IsOnTimeRank(std::size_t aRank)
{
  return aRank % 2 == 0;
}

} // namespace chervilpulley::policy
