#include "policy/stop_schedule.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct stop_schedule_fixture
{
  instant mNow{ 100s };
  stop_schedule mSchedule;
};

} // namespace

TEST_CASE("stop_margin_of_an_instance_that_gets_processor_time_late_is_longer")
{
  CHECK(StopMargin(8s, 0s) == kMinStopMargin);
  CHECK(StopMargin(8s, 100ms) == kMinStopMargin + 200ms);
  CHECK(StopMargin(6s, 5s) == kMinStopMargin + 500ms);
}

TEST_CASE("stop_margin_of_a_short_grace_period_leaves_requests_their_time_until_the_last_sixth")
{
  for (const duration grace : { duration(100ms), duration(2s), duration(4s), duration(8s) }) {
    for (const duration delay : { duration(0ms), duration(100ms), duration(5s) }) {
      CHECK(StopMargin(grace, delay) + LastResponseTime(grace) <= grace / 6);
    }
  }
}

TEST_CASE_METHOD(stop_schedule_fixture, "stop_schedule_of_an_instance_that_stays_lets_every_request_begin")
{
  CHECK(mSchedule.MayBegin(24h, mNow));
  CHECK(mSchedule.EndsInTime(24h, mNow));
}

TEST_CASE_METHOD(stop_schedule_fixture, "stop_schedule_of_a_leaving_instance_lets_only_requests_that_end_in_time_begin")
{
  mSchedule.StopAt(mNow + 6s, mNow + 3s);
  CHECK(mSchedule.MayBegin(4s, mNow));
  CHECK_FALSE(mSchedule.MayBegin(4100ms, mNow));
  CHECK_FALSE(mSchedule.MayBegin(4s, mNow + 1ms));
  CHECK(mSchedule.EndsInTime(6s, mNow));
  CHECK_FALSE(mSchedule.EndsInTime(6001ms, mNow));
  CHECK_FALSE(mSchedule.MayBegin(0s, mNow + 7s));
}

TEST_CASE_METHOD(stop_schedule_fixture, "stop_schedule_of_a_leaving_instance_tells_late_requests")
{
  CHECK_FALSE(mSchedule.IsLate(mNow));
  mSchedule.StopAt(mNow + 6s, mNow + 3s);
  CHECK_FALSE(mSchedule.IsLate(mNow + 3s));
  CHECK(mSchedule.IsLate(mNow + 3001ms));
}
