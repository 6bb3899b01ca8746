#include "policy/capacity_allocation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

/// Allowed relative error of sums.
constexpr double kRounding = 1e-9;
/// The platform counts a kind of request as starved that is served less than this part as often as all requests.
constexpr double kStarvedShare = 0.25;

double Sum(const rank_amounts& aAmounts)
{
  return std::accumulate(aAmounts.begin(), aAmounts.end(), 0.0);
}

/// A number of gateways, any capacity and any run time.
struct any_pool
{
  double mCapacity = *rc::gen::inRange(0, 2'000'000);
  duration mRunTime = std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
  std::vector<gateway_load> mLoads;

  explicit any_pool(std::size_t aGateways)
  {
    const int scale = *rc::gen::inRange(1, 100'000);
    for (std::size_t each = 0; each < aGateways; ++each) {
      gateway_load load;
      load.mInUse = *rc::gen::inRange(0, 100'000);
      for (double& wanted : load.mWanted) {
        wanted = *rc::gen::element(0, 1) * *rc::gen::inRange(0, scale);
      }
      mLoads.push_back(load);
    }
  }
  any_pool()
    : any_pool(static_cast<std::size_t>(*rc::gen::inRange(1, 30)))
  {
  }

  capacity_allocation Allocate() const { return AllocateCapacity(mCapacity, mRunTime, mLoads); }
};

/// The sum of the quotas when each gateway starts the admitted fraction of what it wants.
double SumOfQuotas(const capacity_allocation& aAllocation, const std::vector<gateway_load>& aLoads)
{
  double sum = 0;
  for (const gateway_load& load : aLoads) {
    double starts = 0;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      starts += load.mWanted[rank] * aAllocation.AdmittedFraction(rank);
    }
    sum += QuotaOf(aAllocation, load, starts);
  }
  return sum;
}

} // namespace

// Guards against engines that are sent more than they have memory for.
TEST_CASE("capacity_allocation_of_any_demand_starts_no_more_than_becomes_free")
{
  REQUIRE(rc::check([] {
    const any_pool pool;
    const capacity_allocation allocation = pool.Allocate();
    double starts = 0;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      RC_ASSERT(allocation.mStarts[rank] >= 0);
      RC_ASSERT(allocation.mStarts[rank] <= allocation.mWanted[rank] * (1 + kRounding));
      starts += allocation.mStarts[rank];
    }
    const double becomesFree =
      allocation.mInUse * allocation.mEnding + std::max(0.0, pool.mCapacity - allocation.mInUse);
    RC_ASSERT(starts <= becomesFree * (1 + kRounding));
    RC_ASSERT(pool.mCapacity > 0 || starts == 0);
  }));
}

// Guards against an urgent request that is rejected while less urgent ones are served.
TEST_CASE("capacity_allocation_of_any_demand_admits_no_on_time_rank_more_than_a_more_urgent_one")
{
  REQUIRE(rc::check([] {
    const capacity_allocation allocation = any_pool().Allocate();
    double least = 1;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (IsOnTimeRank(rank) && allocation.mWanted[rank] > 0) {
        RC_ASSERT(allocation.AdmittedFraction(rank) <= least * (1 + kRounding));
        least = std::min(least, allocation.AdmittedFraction(rank));
      }
    }
  }));
}

// Guards against starvation of a rank, also by a constant of the code that falls below the platform's bound.
TEST_CASE("capacity_allocation_of_any_demand_leaves_each_on_time_rank_a_minimum_share")
{
  REQUIRE(rc::check([] {
    const any_pool pool;
    const capacity_allocation allocation = pool.Allocate();
    const double wanted = Sum(allocation.mWanted);
    RC_PRE(wanted > 0);
    const double minimum = std::max(kStarvedShare, kMinAdmittedShare);
    const double ofAll = Sum(allocation.mStarts) / wanted;
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      if (IsOnTimeRank(rank)) {
        RC_ASSERT(allocation.AdmittedFraction(rank) >= minimum * ofAll * (1 - kRounding));
      }
    }
  }));
}

// Guards against gateways that together use more than the capacity though each keeps to its quota.
TEST_CASE("capacity_allocation_quotas_of_all_gateways_add_up_to_at_most_the_capacity")
{
  for (const std::size_t gateways : { 1, 2, 25, 60 }) {
    INFO(gateways << " gateways");
    REQUIRE(rc::check([gateways] {
      const any_pool pool(gateways);
      const capacity_allocation allocation = pool.Allocate();
      const double sum = SumOfQuotas(allocation, pool.mLoads);
      // Use above the capacity, as after the loss of an engine, is not interrupted, but must not grow.
      const double limit = std::max(pool.mCapacity, allocation.mInUse);
      RC_ASSERT(sum <= limit * (1 + kRounding) + kRounding);
      if (!allocation.mIsScarce && allocation.mInUse <= pool.mCapacity) {
        RC_ASSERT(sum >= Sum(allocation.mWanted));
      }
    }));
  }
}

// Guards against use above the capacity that stays: after the loss of an engine it must fall to the capacity.
TEST_CASE("capacity_allocation_of_a_pool_used_above_its_capacity_lets_the_use_fall")
{
  for (const double inUse : { 1'100.0, 2'000.0, 10'000.0 }) {
    double used = inUse;
    for (int step = 0; step < 100; ++step) {
      gateway_load load{ used, {} };
      load.mWanted[0] = 100'000;
      const capacity_allocation allocation = AllocateCapacity(1'000, 3s, { load });
      const double next = SumOfQuotas(allocation, { load });
      REQUIRE(next <= used * (1 + kRounding));
      used = next;
    }
    CHECK(used == Approx(1'000).epsilon(0.01));
  }
}

// Guards against gateways that decide differently because they hear of each other in another order.
TEST_CASE("capacity_allocation_does_not_depend_on_the_order_of_the_gateways")
{
  REQUIRE(rc::check([] {
    any_pool pool;
    const capacity_allocation first = pool.Allocate();
    std::rotate(pool.mLoads.begin(),
                pool.mLoads.begin() + *rc::gen::inRange<long>(0, long(pool.mLoads.size())),
                pool.mLoads.end());
    std::reverse(pool.mLoads.begin(), pool.mLoads.end());
    const capacity_allocation second = pool.Allocate();
    RC_ASSERT(first.mIsScarce == second.mIsScarce);
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      RC_ASSERT(std::abs(first.AdmittedFraction(rank) - second.AdmittedFraction(rank)) <= kRounding);
    }
  }));
}

// Guards against division by zero and amounts that are not numbers.
TEST_CASE("capacity_allocation_without_capacity_gateways_or_run_time_gives_finite_amounts")
{
  for (const double capacity : { 0.0, 1'000.0 }) {
    for (const duration runTime : { duration(-1s), duration(0), duration(3s) }) {
      for (const std::size_t gateways : { 0, 1 }) {
        const std::vector<gateway_load> loads(gateways);
        const capacity_allocation allocation = AllocateCapacity(capacity, runTime, loads);
        CHECK(Sum(allocation.mStarts) == 0);
        CHECK(allocation.mUnclaimed == capacity);
        CHECK(std::isfinite(QuotaOf(allocation, {}, 0)));
        CHECK(allocation.AdmittedFraction(0) == 1);
      }
    }
  }
}
