#include "policy/permits.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

constexpr duration kStep = 20ms;
constexpr duration kWindow = 4s;

/// Gateways that send requests at given mean rates to one server with a limit, and its coordinators.
class simulation
{
public:
  simulation(std::vector<double> aPerSecond, double aLimit, std::uint64_t aSeed)
    : mPerSecond(std::move(aPerSecond))
    , mHeld(mPerSecond.size())
    , mSent(mPerSecond.size())
    , mLimit(aLimit)
    , mRandom(aSeed)
  {
  }

  void Run(duration aTime)
  {
    for (const instant end = mNow + aTime; mNow < end; mNow += kStep) {
      for (std::size_t gateway = 0; gateway < mPerSecond.size(); ++gateway) {
        Arrive(gateway);
        if (const auto demand = mHeld[gateway].DueAsk(mNow)) {
          ++mAsks;
          permit_source& source = mSources[gateway % mSources.size()];
          const auto granted = source.Grant(instance_id(std::to_string(gateway)), *demand, mLimit, mNow);
          mHeld[gateway].Received(granted, mNow, mNow);
        }
      }
    }
  }

  /// Largest number of requests in any window.
  std::size_t Most() const
  {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < mTimes.size(); ++last) {
      while (mTimes[last] - mTimes[first] >= kWindow) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::vector<double> mPerSecond;
  std::vector<held_permits> mHeld;
  std::vector<std::size_t> mSent;
  std::vector<permit_source> mSources{ 1 };
  double mLimit;
  std::size_t mAsks = 0;
  std::vector<instant> mTimes; ///< of all requests sent
  instant mNow = instant() + 1h;

private:
  void Arrive(std::size_t aGateway)
  {
    std::poisson_distribution<int> arrivals(mPerSecond[aGateway] * std::chrono::duration<double>(kStep).count());
    for (int left = arrivals(mRandom); left > 0; --left) {
      if (mHeld[aGateway].Has(mNow)) {
        mHeld[aGateway].Use(mNow);
        ++mSent[aGateway];
        mTimes.push_back(mNow);
      } else {
        mHeld[aGateway].Missed(true, mNow);
      }
    }
  }

  std::mt19937_64 mRandom;
};

} // namespace

TEST_CASE("permits_of_any_number_of_gateways_with_any_demand_stay_within_the_limit_in_each_window")
{
  rc::prop("sum of all gateways", [] {
    const auto gateways = *rc::gen::inRange<std::size_t>(1, 120);
    const double limit = *rc::gen::inRange(0, 400) / 10.0;
    std::vector<double> rates;
    for (std::size_t each = 0; each < gateways; ++each) {
      rates.push_back(*rc::gen::inRange(0, 100) / 10.0);
    }
    simulation run(rates, limit, *rc::gen::arbitrary<std::uint64_t>());
    run.Run(12s);
    RC_ASSERT(static_cast<double>(run.Most()) <= 1.5 * 4 * limit + 5);
  });
}

TEST_CASE("permits_wanted_by_uneven_gateways_use_most_of_the_limit")
{
  for (const double limit : { 0.5, 2.0, 5.0, 20.0 }) {
    INFO(limit);
    simulation run({ 12, 6, 3, 1, 0.3, 0 }, limit, 7);
    run.Run(60s);
    const double used = static_cast<double>(run.mTimes.size()) / 60;
    CHECK(used >= 0.75 * std::min(limit, 22.3));
    CHECK(used <= limit + 0.1);
  }
}

TEST_CASE("permits_are_shared_by_demand_between_gateways")
{
  simulation run({ 8, 4, 4 }, 5, 11);
  run.Run(120s);
  const auto total = static_cast<double>(run.mTimes.size());
  CHECK(static_cast<double>(run.mSent[0]) / total > 0.4);
  CHECK(static_cast<double>(run.mSent[1]) / total > 0.17);
  CHECK(static_cast<double>(run.mSent[2]) / total > 0.17);
}

TEST_CASE("permits_of_a_server_that_takes_nothing_still_let_a_request_through_now_and_then")
{
  simulation run({ 5, 5, 5 }, 0, 3);
  run.Run(60s);
  CHECK(run.mTimes.size() >= 6);
  CHECK(run.Most() <= 2);
}

TEST_CASE("permits_of_two_coordinators_for_two_seconds_stay_within_the_users_bound")
{
  for (const double limit : { 0.5, 2.0, 10.0, 40.0 }) {
    INFO(limit);
    simulation run({ 30, 30, 30, 30 }, limit, 5);
    run.Run(6s);
    run.mSources.resize(2);
    run.Run(2s);
    run.mSources.resize(1);
    run.Run(6s);
    CHECK(static_cast<double>(run.Most()) <= 1.5 * 4 * limit + 5);
  }
}

TEST_CASE("permits_that_are_not_used_expire")
{
  held_permits held;
  const instant now = instant() + 1h;
  held.Received(2, now, now);
  CHECK(held.Has(now + kPermitTime - 1ms));
  CHECK_FALSE(held.Has(now + kPermitTime));
  held.Use(now + kPermitTime);
  held.Received(1, now + kPermitTime, now + kPermitTime);
  CHECK(held.Has(now + kPermitTime));
}

// Guards against permits that are used long after they were granted because the response was delayed.
TEST_CASE("permits_whose_response_is_delayed_expire_by_the_time_of_the_ask")
{
  held_permits held;
  const instant askedAt = instant() + 1h;
  held.Received(1, askedAt, askedAt + 300ms);
  CHECK(held.Has(askedAt + kPermitTime - 1ms));
  CHECK_FALSE(held.Has(askedAt + kPermitTime));
  held.Received(1, askedAt, askedAt + kPermitTime);
  CHECK_FALSE(held.Has(askedAt + kPermitTime));
}

TEST_CASE("permits_are_asked_for_while_there_are_requests_and_no_longer")
{
  held_permits held;
  const instant now = instant() + 1h;
  CHECK_FALSE(held.DueAsk(now));
  held.Missed(true, now);
  const auto first = held.DueAsk(now);
  REQUIRE(first);
  CHECK(first->mWanted >= 1);
  CHECK(first->mPerSecond > 0);
  CHECK_FALSE(held.DueAsk(now + kPermitMissInterval));
  held.Missed(false, now + kPermitMissInterval);
  CHECK(held.DueAsk(now + kPermitMissInterval));
  CHECK_FALSE(held.DueAsk(now + 1min));
}
