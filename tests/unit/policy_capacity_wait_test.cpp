#include "policy/capacity_wait.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <new>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

using std::chrono::milliseconds;

/// A gateway with capacity for kCapacity requests of three seconds each. Callers give up when they have received
/// nothing within four objectives, and don't retry.
struct capacity_wait_fixture
{
  static constexpr std::size_t kCapacity = 40;
  static constexpr duration kRunTime = milliseconds(3000);
  static constexpr duration kObjective = milliseconds(500);
  static constexpr duration kTick = milliseconds(40);

  const instant mBegin{};
  std::vector<instant> mFreeAt = std::vector<instant>(kCapacity, mBegin);
  std::vector<waiting_request> mWaiting;
  /// Priorities that are assigned to requests in turn, and the results by priority.
  std::vector<std::uint32_t> mPriorities{ 0 };
  std::map<std::uint32_t, std::size_t> mServedOf;
  std::map<std::uint32_t, std::size_t> mOnTimeOf;
  std::size_t mArrivals = 0;
  std::size_t mOnTime = 0;
  std::size_t mLate = 0;
  std::size_t mRefused = 0;
  std::size_t mGivenUp = 0;

  void Arrive(instant aNow, std::size_t aCount)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      const std::uint32_t priority = mPriorities.at(mArrivals++ % mPriorities.size());
      mWaiting.push_back({ aNow, kObjective, milliseconds(20'000), priority });
    }
  }

  template<class May>
  void Serve(instant aNow, May aMayWait)
  {
    std::stable_sort(mWaiting.begin(), mWaiting.end(), [&](const auto& aLeft, const auto& aRight) {
      return IsServedBefore(aLeft, aRight, aNow);
    });
    std::vector<waiting_request> stillWaiting;
    for (const waiting_request& request : mWaiting) {
      const auto slot = std::min_element(mFreeAt.begin(), mFreeAt.end());
      const duration waited = aNow - request.mArrived;
      if (*slot <= aNow) {
        *slot = aNow + kRunTime;
        (waited < kObjective ? mOnTime : mLate) += 1;
        mServedOf[request.mPriority] += 1;
        mOnTimeOf[request.mPriority] += waited < kObjective ? 1 : 0;
      } else if (waited > kObjective * 4) {
        ++mGivenUp;
      } else if (aMayWait(request, queue_state{ stillWaiting.size(), kCapacity, kRunTime }, aNow)) {
        stillWaiting.push_back(request);
      } else {
        ++mRefused;
      }
    }
    mWaiting = stillWaiting;
  }

  /// Simulates ten seconds: a burst at the beginning, then single requests.
  template<class May>
  void Simulate(std::size_t aBurst, duration aPause, May aMayWait)
  {
    Arrive(mBegin, aBurst);
    instant next = mBegin + aPause;
    for (instant now = mBegin; now < mBegin + std::chrono::seconds(10); now += kTick) {
      for (; next <= now; next += aPause) {
        Arrive(next, 1);
      }
      Serve(now, aMayWait);
    }
  }
};

bool RefusesEarly(const waiting_request& aRequest, const queue_state&, instant aNow)
{
  return aNow - aRequest.mArrived <= aRequest.mObjective * 3 / 10;
}

} // namespace

TEST_CASE_METHOD(capacity_wait_fixture,
                 "capacity_wait_in_a_burst_serves_more_than_early_refusal_and_no_caller_gives_up")
{
  Simulate(60, milliseconds(100), MayWait);
  const std::size_t served = mOnTime + mLate;
  CHECK(mGivenUp == 0);
  capacity_wait_fixture withEarlyRefusal;
  withEarlyRefusal.Simulate(60, milliseconds(100), RefusesEarly);
  CHECK(served > withEarlyRefusal.mOnTime + withEarlyRefusal.mLate);
}

TEST_CASE_METHOD(capacity_wait_fixture, "capacity_wait_in_lasting_overload_keeps_requests_on_time_and_refuses_the_rest")
{
  // 20 requests per second, capacity for 13 per second.
  Simulate(60, milliseconds(50), MayWait);
  capacity_wait_fixture withEarlyRefusal;
  withEarlyRefusal.Simulate(60, milliseconds(50), RefusesEarly);
  CHECK(mOnTime + mLate >= withEarlyRefusal.mOnTime + withEarlyRefusal.mLate);
  CHECK(mOnTime * 10 >= withEarlyRefusal.mOnTime * 9);
  CHECK(mGivenUp == 0);
  CHECK(mRefused > 0);
}

TEST_CASE_METHOD(capacity_wait_fixture,
                 "capacity_wait_in_lasting_overload_serves_urgent_requests_first_and_starves_none")
{
  mPriorities = { 1, 3 };
  Simulate(60, milliseconds(50), MayWait);
  capacity_wait_fixture withEqualPriorities;
  withEqualPriorities.Simulate(60, milliseconds(50), MayWait);
  // By the users' rules a difference counts from 15 in 100 on.
  CHECK(mOnTimeOf[1] * 100 >= mOnTimeOf[3] * 115);
  CHECK(mServedOf[3] * 4 >= mServedOf[1]);
  CHECK((mOnTime + mLate) * 100 >= (withEqualPriorities.mOnTime + withEqualPriorities.mLate) * 95);
  CHECK(mGivenUp == 0);
}

TEST_CASE("capacity_wait_head_start_of_urgent_requests_is_made_up_for_by_waiting")
{
  const instant now = instant() + std::chrono::seconds(10);
  const auto waiting = [&](int aAgo, std::uint32_t aPriority) {
    return waiting_request{ now - milliseconds(aAgo), milliseconds(500), milliseconds(20'000), aPriority };
  };
  CHECK(IsServedBefore(waiting(50, 1), waiting(140, 2), now));
  CHECK(IsServedBefore(waiting(160, 2), waiting(50, 1), now));
  CHECK(IsServedBefore(waiting(100, 9), waiting(900, 0), now));
  CHECK_FALSE(IsServedBefore(waiting(50, 9), waiting(50, 90), now));
}

TEST_CASE("run_time_average_before_the_first_run_is_the_default_whatever_the_memory_held")
{
  alignas(run_time_average) std::array<std::byte, sizeof(run_time_average)> memory;
  memory.fill(std::byte{ 0x5a });
  auto* const fresh = new (memory.data()) run_time_average;
  CHECK(fresh->Average() == std::chrono::seconds(3));
  fresh->Ran(milliseconds(1600));
  CHECK(fresh->Average() == milliseconds(1600));
  fresh->Ran(milliseconds(3200));
  CHECK(fresh->Average() == milliseconds(1700));
  fresh->~run_time_average();
}

TEST_CASE("capacity_wait_refuses_a_request_at_once_whose_permit_comes_after_its_longest_wait")
{
  const instant now = instant() + std::chrono::seconds(10);
  const waiting_request request{ now, milliseconds(500), milliseconds(20'000) };
  queue_state queue;
  queue.mRunning = 10;
  queue.mTypicalRunTime = milliseconds(1000);
  queue.mPermitWait = milliseconds(1400);
  CHECK(MayWait(request, queue, now));
  queue.mPermitWait = milliseconds(1600);
  CHECK_FALSE(MayWait(request, queue, now));
  const waiting_request brief{ now, milliseconds(500), milliseconds(2000) };
  queue.mPermitWait = milliseconds(600);
  CHECK_FALSE(MayWait(brief, queue, now));
}

TEST_CASE("capacity_wait_forecast_divides_requests_ahead_by_running_requests")
{
  CHECK(WaitForecast({ 9, 20, milliseconds(3000) }) == milliseconds(1500));
  CHECK(WaitForecast({ 0, 0, milliseconds(3000) }) == milliseconds(3000));
}

TEST_CASE("capacity_wait_serves_requests_that_can_be_on_time_first_and_then_the_oldest")
{
  const instant now = instant() + std::chrono::seconds(10);
  const auto waiting = [&](int aAgo) {
    return waiting_request{ now - milliseconds(aAgo), milliseconds(500), milliseconds(20'000) };
  };
  CHECK(IsServedBefore(waiting(100), waiting(900), now));
  CHECK(IsServedBefore(waiting(200), waiting(100), now));
  CHECK(IsServedBefore(waiting(900), waiting(800), now));
}

// Guards against an urgent request that waits behind an older one of a later rank, or behind a younger one of its own.
TEST_CASE("capacity_wait_of_ranked_requests_serves_them_by_rank_and_then_by_age")
{
  const instant now = instant() + std::chrono::seconds(10);
  const auto waiting = [&](int aAgo, std::size_t aRank) {
    return waiting_request{ now - milliseconds(aAgo), milliseconds(500), milliseconds(20'000), 0, aRank };
  };
  CHECK(IsServedBefore(waiting(10, 0), waiting(290, 2), now));
  CHECK(IsServedBefore(waiting(10, 2), waiting(900, 3), now));
  CHECK(IsServedBefore(waiting(20, 2), waiting(10, 2), now));
  CHECK_FALSE(IsServedBefore(waiting(10, 2), waiting(10, 2), now));
}

// Guards against a sort with an order that is none: requests of pools with and without overload control, and streams
// that their callers resume, wait in one queue.
TEST_CASE("capacity_wait_of_requests_with_and_without_ranks_has_a_strict_weak_order")
{
  const instant now = instant() + std::chrono::seconds(10);
  REQUIRE(rc::check([&] {
    std::array<waiting_request, 3> of;
    for (waiting_request& each : of) {
      each.mArrived = now - milliseconds(*rc::gen::inRange(0, 10) * 100);
      each.mObjective = milliseconds(*rc::gen::element(500, 600, 1200));
      each.mPriority = *rc::gen::inRange(0U, 3U);
      each.mRank = *rc::gen::element(false, true) ? std::optional(*rc::gen::inRange<std::size_t>(0, 6)) : std::nullopt;
    }
    const auto before = [&](std::size_t aLeft, std::size_t aRight) {
      return IsServedBefore(of.at(aLeft), of.at(aRight), now);
    };
    const auto areEqual = [&](std::size_t aLeft, std::size_t aRight) {
      return !before(aLeft, aRight) && !before(aRight, aLeft);
    };
    RC_ASSERT(!before(0, 0));
    RC_ASSERT(!(before(0, 1) && before(1, 0)));
    RC_ASSERT(!(before(0, 1) && before(1, 2)) || before(0, 2));
    RC_ASSERT(!(areEqual(0, 1) && areEqual(1, 2)) || areEqual(0, 2));
  }));
}
