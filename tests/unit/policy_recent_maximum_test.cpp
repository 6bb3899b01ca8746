#include "policy/recent_maximum.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

TEST_CASE("recent_maximum_keeps_the_longest_value_for_one_to_two_windows")
{
  recent_maximum times;
  const instant begin = instant() + 1h;
  CHECK_FALSE(times.Longest(begin));
  times.Observed(2s, begin);
  times.Observed(100ms, begin + 1s);
  CHECK(times.Longest(begin + 1s) == duration(2s));
  times.Observed(100ms, begin + kMaximumWindow + 1s);
  CHECK(times.Longest(begin + kMaximumWindow + 1s) == duration(2s));
  times.Observed(100ms, begin + kMaximumWindow * 2 + 2s);
  CHECK(times.Longest(begin + kMaximumWindow * 2 + 2s) == duration(100ms));
  CHECK_FALSE(times.Longest(begin + kMaximumWindow * 10));
}
