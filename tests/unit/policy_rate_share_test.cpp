#include "policy/rate_share.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct rate_share_fixture
{
  rate_coordinator mCoordinator;
  rate_bucket mBucket;
  workspace_id mWorkspace{ "w" };
  instant mNow{ 1000s };

  int TakeAll(request_rate aLimit, std::size_t aEntries)
  {
    int taken = 0;
    while (!mBucket.Take(aLimit, aEntries, mNow)) {
      ++taken;
    }
    return taken;
  }
  double Report(std::uint64_t aEntry, double aDemand)
  {
    return mCoordinator.Report(member_key(aEntry), mWorkspace, { aDemand }, { 100.0 }, mNow).mPerSecond;
  }
};

} // namespace

TEST_CASE_METHOD(rate_share_fixture, "rate_share_follows_demand")
{
  for (int i = 0; i < 10; ++i) {
    Report(1, 300.0);
    Report(2, 100.0);
    mNow += 1s;
  }
  REQUIRE(Report(1, 300.0) == Approx(75.0).margin(1.0));
  REQUIRE(Report(2, 100.0) == Approx(25.0).margin(1.0));
}

TEST_CASE_METHOD(rate_share_fixture, "rate_share_of_silent_entry_returns_to_the_others")
{
  Report(1, 300.0);
  mNow += kRateGrantTime;
  REQUIRE(Report(2, 100.0) == Approx(100.0));
  mNow += kRateGrantTime;
  mCoordinator.Report(member_key(1), workspace_id("other"), { 1.0 }, { 1.0 }, mNow);
  REQUIRE(mCoordinator.Size() == 1);
}

TEST_CASE_METHOD(rate_share_fixture, "rate_share_bucket_whose_coordinator_is_silent_uses_an_even_share")
{
  for (int second = 0; second < 3; ++second) {
    REQUIRE(TakeAll({ 100.0 }, 4) == 25);
    mNow += 1s;
  }
  TakeAll({ 100.0 }, 4);
  REQUIRE(*mBucket.Take({ 100.0 }, 4, mNow) == 40ms);
}

TEST_CASE_METHOD(rate_share_fixture, "rate_share_bucket_with_grant_uses_it_until_it_expires")
{
  TakeAll({ 100.0 }, 4);
  mBucket.Granted({ 60.0 }, mNow);
  mNow += 1s;
  REQUIRE(TakeAll({ 100.0 }, 4) == 60);
  mNow += 2s;
  REQUIRE(TakeAll({ 100.0 }, 4) == 50);
  mNow += 1s;
  REQUIRE(TakeAll({ 100.0 }, 4) == 25);
}

TEST_CASE_METHOD(rate_share_fixture, "rate_share_bucket_while_idle_accumulates_no_even_share")
{
  TakeAll({ 100.0 }, 4);
  mBucket.Granted({ 0.0 }, mNow);
  mNow += 60s;
  REQUIRE(TakeAll({ 100.0 }, 4) == 0);
}

TEST_CASE_METHOD(rate_share_fixture, "rate_share_bucket_reports_demand_only_while_there_is_some")
{
  REQUIRE_FALSE(mBucket.DueReport(mNow));
  TakeAll({ 1.0 }, 1);
  REQUIRE(mBucket.DueReport(mNow)->mPerSecond == Approx(2.0));
  TakeAll({ 1.0 }, 1);
  REQUIRE_FALSE(mBucket.DueReport(mNow + 500ms));
  REQUIRE(mBucket.DueReport(mNow + 2s)->mPerSecond == Approx(0.5));
  REQUIRE_FALSE(mBucket.DueReport(mNow + 5s));
}

TEST_CASE("rate_share_under_any_reports_never_exceeds_the_limit")
{
  REQUIRE(rc::check([] {
    rate_coordinator coordinator;
    instant now{ 1000s };
    std::map<std::uint64_t, std::pair<double, instant>> granted;
    const int reports = *rc::gen::inRange(1, 100);
    for (int i = 0; i < reports; ++i) {
      now += duration(*rc::gen::inRange(0, 1500000));
      const auto entry = *rc::gen::inRange<std::uint64_t>(0, 8);
      const double demand = *rc::gen::inRange(0, 1000);
      const double share =
        coordinator.Report(member_key(entry), workspace_id("w"), { demand }, { 50.0 }, now).mPerSecond;
      granted[entry] = { share, now + kRateGrantTime };
      double sum = 0.0;
      for (const auto& grant : granted) {
        sum += grant.second.second > now ? grant.second.first : 0.0;
      }
      RC_ASSERT(sum <= 50.0 + 1e-6);
    }
  }));
}
