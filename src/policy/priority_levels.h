#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "policy/request_rank.h"

/// Combines the priorities of workspaces and routes into one order for the requests of a pool.
namespace chervilpulley::policy {

/// Priorities of a request. The workspace's takes precedence, so they are compared in this order; 0 is the most urgent.
struct request_priority
{
  std::uint32_t mWorkspace = 0;
  std::uint32_t mRoute = 0;

  /// A workspace without a priority has that of the route.
  static request_priority Of(std::optional<std::uint32_t> aWorkspace, std::uint32_t aRoute)
  {
    return { aWorkspace.value_or(aRoute), aRoute };
  }
  auto operator<=>(const request_priority&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

/// The distinct priorities of the requests of one pool, most urgent first.
class priority_levels
{
public:
  void Add(request_priority aPriority) { mPriorities.push_back(aPriority); }
  /// Must be called after the last Add().
  void Sort()
  {
    std::sort(mPriorities.begin(), mPriorities.end());
    mPriorities.erase(std::unique(mPriorities.begin(), mPriorities.end()), mPriorities.end());
  }
  /// Whether requests differ in priority.
  bool AreMixed() const { return mPriorities.size() > 1; }
  /// Index of a priority, from 0 for the most urgent to kRankedLevels - 1; a priority that was not added has the
  /// level of the next less urgent one.
  std::size_t LevelOf(request_priority aPriority) const
  {
    const auto at = std::lower_bound(mPriorities.begin(), mPriorities.end(), aPriority);
    return std::min(static_cast<std::size_t>(at - mPriorities.begin()), kRankedLevels - 1);
  }

private:
  std::vector<request_priority> mPriorities;
};

} // namespace chervilpulley::policy
