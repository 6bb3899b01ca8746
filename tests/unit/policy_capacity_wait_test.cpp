#include "policy/capacity_wait.h"

#include <catch2/catch.hpp>

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

/// A gateway with so many places, each taken for three seconds, and callers that leave when nothing has come within
/// four objectives and don't come back.
struct room_wait_fixture
{
  static constexpr std::size_t kPlaces = 40;
  static constexpr duration kUsualTime = milliseconds(3000);
  static constexpr duration kObjective = milliseconds(500);
  static constexpr duration kTick = milliseconds(40);

  const instant mBegin{};
  std::vector<instant> mFreeAt = std::vector<instant>(kPlaces, mBegin);
  std::vector<waiting_request> mWaiting;
  /// Priorities that requests have in turn, and what became of those of each.
  std::vector<std::uint32_t> mPriorities{ 0 };
  std::map<std::uint32_t, std::size_t> mServedOf;
  std::map<std::uint32_t, std::size_t> mOnTimeOf;
  std::size_t mArrivals = 0;
  std::size_t mOnTime = 0;
  std::size_t mLate = 0;
  std::size_t mRefused = 0;
  std::size_t mLeft = 0;

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
    std::vector<waiting_request> still;
    for (const waiting_request& request : mWaiting) {
      const auto place = std::min_element(mFreeAt.begin(), mFreeAt.end());
      const duration waited = aNow - request.mArrived;
      if (*place <= aNow) {
        *place = aNow + kUsualTime;
        (waited < kObjective ? mOnTime : mLate) += 1;
        mServedOf[request.mPriority] += 1;
        mOnTimeOf[request.mPriority] += waited < kObjective ? 1 : 0;
      } else if (waited > kObjective * 4) {
        ++mLeft;
      } else if (aMayWait(request, queue_state{ still.size(), kPlaces, kUsualTime }, aNow)) {
        still.push_back(request);
      } else {
        ++mRefused;
      }
    }
    mWaiting = still;
  }

  /// A wave at the beginning, then requests one by one, for ten seconds.
  template<class May>
  void Play(std::size_t aWave, duration aPause, May aMayWait)
  {
    Arrive(mBegin, aWave);
    instant next = mBegin + aPause;
    for (instant now = mBegin; now < mBegin + std::chrono::seconds(10); now += kTick) {
      for (; next <= now; next += aPause) {
        Arrive(next, 1);
      }
      Serve(now, aMayWait);
    }
  }
};

bool RefusesSoon(const waiting_request& aRequest, const queue_state&, instant aNow)
{
  return aNow - aRequest.mArrived <= aRequest.mObjective * 3 / 10;
}

} // namespace

TEST_CASE_METHOD(room_wait_fixture, "room_wait_in_a_wave_serves_more_than_refusing_soon_and_nobody_waits_in_vain")
{
  Play(60, milliseconds(100), MayWait);
  const std::size_t served = mOnTime + mLate;
  CHECK(mLeft == 0);
  room_wait_fixture before;
  before.Play(60, milliseconds(100), RefusesSoon);
  CHECK(served > before.mOnTime + before.mLate);
}

TEST_CASE_METHOD(room_wait_fixture, "room_wait_in_lasting_overload_keeps_those_on_time_and_refuses_the_rest")
{
  // 20 requests a second for 13 places a second.
  Play(60, milliseconds(50), MayWait);
  room_wait_fixture before;
  before.Play(60, milliseconds(50), RefusesSoon);
  CHECK(mOnTime + mLate >= before.mOnTime + before.mLate);
  CHECK(mOnTime * 10 >= before.mOnTime * 9);
  CHECK(mLeft == 0);
  CHECK(mRefused > 0);
}

TEST_CASE_METHOD(room_wait_fixture, "room_wait_in_lasting_overload_serves_the_urgent_first_and_starves_nobody")
{
  mPriorities = { 1, 3 };
  Play(60, milliseconds(50), MayWait);
  room_wait_fixture alike;
  alike.Play(60, milliseconds(50), MayWait);
  // The users' rules see a difference of 15 in 100.
  CHECK(mOnTimeOf[1] * 100 >= mOnTimeOf[3] * 115);
  CHECK(mServedOf[3] * 4 >= mServedOf[1]);
  CHECK((mOnTime + mLate) * 100 >= (alike.mOnTime + alike.mLate) * 95);
  CHECK(mLeft == 0);
}

TEST_CASE("room_wait_head_start_of_the_urgent_is_made_up_for_by_waiting")
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

TEST_CASE("run_time_before_the_first_run_is_a_guess_whatever_the_memory_held")
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

TEST_CASE("room_wait_forecast_counts_those_ahead_over_those_that_run")
{
  CHECK(WaitForecast({ 9, 20, milliseconds(3000) }) == milliseconds(1500));
  CHECK(WaitForecast({ 0, 0, milliseconds(3000) }) == milliseconds(3000));
}

TEST_CASE("room_wait_lets_fresh_requests_go_first_and_then_the_oldest")
{
  const instant now = instant() + std::chrono::seconds(10);
  const auto waiting = [&](int aAgo) {
    return waiting_request{ now - milliseconds(aAgo), milliseconds(500), milliseconds(20'000) };
  };
  CHECK(IsServedBefore(waiting(100), waiting(900), now));
  CHECK(IsServedBefore(waiting(200), waiting(100), now));
  CHECK(IsServedBefore(waiting(900), waiting(800), now));
}
