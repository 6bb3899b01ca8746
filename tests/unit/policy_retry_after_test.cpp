#include "policy/capacity_wait.h"
#include "policy/retry_after.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

/// A failure domain lacks 9 of 80 layers from the loss at 0 until they are loaded and listed again.
struct come_back_fixture
{
  shortage mShortage{ 9, 80, fractional_ms(14'000), 0s };
  duration mRepaired = 3s;
  std::mt19937_64 mRandom{ 20261204 };

  /// Share of the callers that are refused during the shortage and are served when they come back once.
  double ServedAtReturn(const shortage& aTold)
  {
    int refused = 0;
    int served = 0;
    for (duration arrival = 300ms; arrival < mRepaired; arrival += 10ms) {
      ++refused;
      served += arrival + RetryAfterDelay(aTold, 20s, mRandom()) >= mRepaired ? 1 : 0;
    }
    return static_cast<double>(served) / refused;
  }
};

} // namespace

TEST_CASE_METHOD(come_back_fixture, "come_back_during_a_repair_finds_most_callers_served_at_their_return")
{
  CHECK(ServedAtReturn(mShortage) >= 0.9);
  // Told the time of a moment without room, most would come too early.
  CHECK(ServedAtReturn({ 0, 80, fractional_ms(14'000), 0s }) < 0.5);
}

TEST_CASE("come_back_after_a_wave_is_when_those_who_wait_have_been_served")
{
  // 40 places, each taken for three seconds; 60 more requests stand at the door, and 100 were refused behind them.
  constexpr int kRefused = 100;
  const duration untilServed = WaitForecast({ 60, 40, 3s });
  std::mt19937_64 random(20261204);
  const auto early = [&](duration aQueue) {
    int count = 0;
    for (int each = 0; each < kRefused; ++each) {
      count += RetryAfterDelay({ 0, 80, fractional_ms(14'000), aQueue }, 20s, random()) < untilServed * 3 / 4 ? 1 : 0;
    }
    return count;
  };
  CHECK(early(untilServed) == 0);
  CHECK(early(0s) == kRefused);
}

TEST_CASE_METHOD(come_back_fixture, "come_back_times_are_spread_and_within_a_third_of_the_patience")
{
  duration earliest = 60s;
  duration latest = 0s;
  for (int each = 0; each < 1000; ++each) {
    const duration time = RetryAfterDelay(mShortage, 20s, mRandom());
    earliest = std::min(earliest, time);
    latest = std::max(latest, time);
  }
  CHECK(latest - earliest >= 1s);
  CHECK(RetryAfterDelay(mShortage, 3s, ~0ULL) == 1s);
  CHECK(RetryAfterDelay(mShortage, -1s, 0) == 0s);
}
