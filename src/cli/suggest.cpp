#include "cli/suggest.h"

#include <algorithm>

namespace chervilpulley::cli {

namespace {

/// Maximum edit distance of a suggested name.
constexpr std::size_t kMaxDistance = 3;

std::size_t DistanceLimit(std::string_view aTyped)
{
  return std::min(kMaxDistance, (aTyped.size() + 1) / 2);
}

} // namespace

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::vector<std::size_t>> cost(aLeft.size() + 1, std::vector<std::size_t>(aRight.size() + 1));
  for (std::size_t i = 0; i <= aLeft.size(); ++i) {
    for (std::size_t j = 0; j <= aRight.size(); ++j) {
      if (i == 0 || j == 0) {
        cost[i][j] = i + j;
        continue;
      }
      const std::size_t replaced = cost[i - 1][j - 1] + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      cost[i][j] = std::min({ cost[i - 1][j] + 1, cost[i][j - 1] + 1, replaced });
      if (i > 1 && j > 1 && aLeft[i - 1] == aRight[j - 2] && aLeft[i - 2] == aRight[j - 1]) {
        cost[i][j] = std::min(cost[i][j], cost[i - 2][j - 2] + 1);
      }
    }
  }
  return cost[aLeft.size()][aRight.size()];
}

std::string Suggest(std::string_view aTyped, const std::vector<std::string>& aKnown)
{
  std::string best;
  std::size_t bestDistance = DistanceLimit(aTyped) + 1;
  for (const std::string& name : aKnown) {
    const std::size_t distance = EditDistance(aTyped, name);
    if (distance < bestDistance) {
      bestDistance = distance;
      best = name;
    }
  }
  return best;
}

} // namespace chervilpulley::cli
