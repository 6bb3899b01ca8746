#include "policy/priority_levels.h"

#include <catch2/catch.hpp>

#include <array>

using namespace chervilpulley::policy;

namespace {

priority_levels LevelsOf(const std::vector<request_priority>& aPriorities)
{
  priority_levels levels;
  for (const request_priority& each : aPriorities) {
    levels.Add(each);
  }
  levels.Sort();
  return levels;
}

} // namespace

// Guards against a late request that is served before those that can still be on time, or that is never served.
TEST_CASE("request_rank_of_a_late_request_is_behind_the_next_lower_priority_and_before_the_one_below")
{
  for (std::size_t level = 0; level + 2 < kRankedLevels; ++level) {
    CHECK(RankOf(level, true) < RankOf(level + 1, true));
    CHECK(RankOf(level, false) > RankOf(level + 1, true));
    CHECK(RankOf(level, false) < RankOf(level + 2, true));
  }
}

// Guards against an index past the end of a rank_amounts, and against ranks that two kinds of request share.
TEST_CASE("request_rank_of_any_level_is_valid_and_tells_on_time_from_late")
{
  std::array<int, kRankCount> used{};
  for (std::size_t level = 0; level < kRankedLevels; ++level) {
    for (const bool onTime : { true, false }) {
      REQUIRE(RankOf(level, onTime) < kRankCount);
      CHECK(IsOnTimeRank(RankOf(level, onTime)) == onTime);
      CHECK(++used.at(RankOf(level, onTime)) == 1);
    }
  }
  CHECK(RankOf(1'000'000, false) == RankOf(kRankedLevels - 1, false));
}

// Guards against a route's priority that overrides the workspace's.
TEST_CASE("priority_levels_order_by_workspace_first_and_then_by_route")
{
  const priority_levels levels = LevelsOf({ { 1, 2 }, { 0, 9 }, { 1, 0 }, { 1, 2 } });
  CHECK(levels.LevelOf({ 0, 9 }) == 0);
  CHECK(levels.LevelOf({ 1, 0 }) == 1);
  CHECK(levels.LevelOf({ 1, 2 }) == 2);
  CHECK(request_priority::Of(std::nullopt, 3) == request_priority{ 3, 3 });
  CHECK(request_priority::Of(0, 3) == request_priority{ 0, 3 });
}

// Guards against two levels for the same priority, and against an index into no levels.
TEST_CASE("priority_levels_of_equal_priorities_have_one_level")
{
  CHECK(LevelsOf({}).LevelOf({ 5, 5 }) == 0);
  CHECK(LevelsOf({ { 1, 1 } }).LevelOf({ 1, 1 }) == 0);
  CHECK(LevelsOf({ { 1, 1 }, { 1, 1 }, { 2, 2 } }).LevelOf({ 2, 2 }) == 1);
}

// Guards against a request of an older configuration whose priority is in no level, and against levels without a rank.
TEST_CASE("priority_levels_of_an_unknown_priority_and_of_many_priorities_stay_in_range")
{
  const priority_levels few = LevelsOf({ { 1, 1 }, { 3, 3 } });
  CHECK(few.LevelOf({ 0, 0 }) == 0);
  CHECK(few.LevelOf({ 2, 2 }) == 1);
  std::vector<request_priority> many;
  for (std::uint32_t each = 0; each < 50; ++each) {
    many.push_back({ each, 0 });
  }
  const priority_levels levels = LevelsOf(many);
  CHECK(levels.LevelOf({ 8, 0 }) == 8);
  CHECK(levels.LevelOf({ 9, 0 }) == kRankedLevels - 1);
  CHECK(levels.LevelOf({ 49, 0 }) == kRankedLevels - 1);
  CHECK(levels.LevelOf({ 99, 0 }) == kRankedLevels - 1);
}
