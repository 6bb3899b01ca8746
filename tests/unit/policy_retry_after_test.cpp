#include "policy/capacity_wait.h"
#include "policy/retry_after.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

/// A failure domain lacks 9 of 80 layers, from the loss at time 0 until the layers are loaded and listed again.
struct retry_after_fixture
{
  shortage mShortage{ 9, 80, fractional_ms(14'000), 0s };
  duration mRepairedAt = 3s;
  std::mt19937_64 mRandom{ 20261204 };

  /// Share of the callers refused during the shortage that are served when they retry once.
  double ServedOnRetry(const shortage& aReported)
  {
    int refused = 0;
    int served = 0;
    for (duration arrival = 300ms; arrival < mRepairedAt; arrival += 10ms) {
      ++refused;
      served += arrival + RetryAfterDelay(aReported, 20s, mRandom()) >= mRepairedAt ? 1 : 0;
    }
    return static_cast<double>(served) / refused;
  }
};

} // namespace

TEST_CASE_METHOD(retry_after_fixture, "retry_after_during_a_repair_lets_most_callers_be_served_on_retry")
{
  CHECK(ServedOnRetry(mShortage) >= 0.9);
  // With the delay for a mere lack of capacity most callers would retry too early.
  CHECK(ServedOnRetry({ 0, 80, fractional_ms(14'000), 0s }) < 0.5);
}

TEST_CASE("retry_after_in_a_burst_is_when_queued_requests_have_been_served")
{
  // Capacity for 40 requests of three seconds each; 60 more are queued, and 100 were refused behind them.
  constexpr int kRefused = 100;
  const duration untilServed = WaitForecast({ 60, 40, 3s });
  std::mt19937_64 random(20261204);
  const auto early = [&](duration aQueueWait) {
    int count = 0;
    for (int each = 0; each < kRefused; ++each) {
      count +=
        RetryAfterDelay({ 0, 80, fractional_ms(14'000), aQueueWait }, 20s, random()) < untilServed * 3 / 4 ? 1 : 0;
    }
    return count;
  };
  CHECK(early(untilServed) == 0);
  CHECK(early(0s) == kRefused);
}

TEST_CASE_METHOD(retry_after_fixture, "retry_after_delays_are_randomized_and_within_a_third_of_the_patience")
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

TEST_CASE("retry_after_of_engines_that_asked_for_a_pause_is_its_end")
{
  std::mt19937_64 random(20261204);
  shortage paused{ 80, 80, fractional_ms(14'000), 0s };
  paused.mPause = 30s;
  for (int each = 0; each < 20; ++each) {
    CHECK(RetryAfterDelay(paused, 300s, random()) >= 22s);
    CHECK(RetryAfterDelay(paused, 300s, random()) <= 38s);
  }
}
