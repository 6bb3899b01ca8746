#include "policy/retry_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct retry_budget_fixture
{
  retry_budget mBudget;
  instant mNow{ 0s };

  int RetryAll()
  {
    int granted = 0;
    while (mBudget.TryRetry(mNow)) {
      ++granted;
    }
    return granted;
  }
};

} // namespace

TEST_CASE_METHOD(retry_budget_fixture, "retry_budget_of_failing_traffic_is_a_tenth_of_requests")
{
  RetryAll();
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    mBudget.RequestArrived(mNow);
    granted += mBudget.TryRetry(mNow) ? 1 : 0;
  }
  REQUIRE(granted >= 98);
  REQUIRE(granted <= 100);
}

TEST_CASE_METHOD(retry_budget_fixture, "retry_budget_charges_resumed_streams_but_never_refuses_them")
{
  for (int i = 0; i < 100; ++i) {
    mBudget.Recovered(mNow);
  }
  REQUIRE_FALSE(mBudget.TryRetry(mNow));
  mNow += 60s;
  REQUIRE(mBudget.TryRetry(mNow));
}

TEST_CASE("retry_budget_under_any_calls_is_never_exceeded")
{
  REQUIRE(rc::check([] {
    retry_budget budget;
    instant now{ 0s };
    double requests = 0;
    double retries = 0;
    for (int call : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      now += duration(*rc::gen::inRange(0, 1000000));
      if (call == 0) {
        budget.RequestArrived(now);
        ++requests;
      } else if (call == 1) {
        budget.Recovered(now);
      } else {
        retries += budget.TryRetry(now) ? 1 : 0;
      }
      const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
      RC_ASSERT(retries <= kRetryReserve + kRetryFraction * requests + kRetryFloorPerSecond * seconds + 1e-6);
    }
  }));
}
