#include "policy/workspace_fairness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

#include "policy/capacity_allocation.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRank = 2;
const double kNotANumber = std::numeric_limits<double>::quiet_NaN();
const double kInfinite = std::numeric_limits<double>::infinity();

rank_demand DemandOf(const std::vector<double>& aTokens)
{
  rank_demand demand;
  for (std::size_t i = 0; i < aTokens.size(); ++i) {
    demand.mLargest.push_back({ kRank, static_cast<workspace_hash>(i), aTokens[i] });
  }
  return demand;
}

std::vector<double> AnyTokens()
{
  const int count = *rc::gen::inRange(1, 30);
  std::vector<double> tokens(static_cast<std::size_t>(count));
  for (double& amount : tokens) {
    amount = *rc::gen::inRange(0, 2000) * std::pow(10.0, *rc::gen::inRange(-3, 4));
  }
  return tokens;
}

rank_demand AnyDemand()
{
  rank_demand demand = DemandOf(AnyTokens());
  demand.mOthers = *rc::gen::inRange(0, 100000);
  demand.mOtherWorkspaces = *rc::gen::inRange<std::size_t>(0, 50);
  return demand;
}

double Total(const rank_demand& aDemand)
{
  double sum = aDemand.mOthers;
  for (const workspace_demand& demand : aDemand.mLargest) {
    sum += demand.mTokens;
  }
  return sum;
}

/// What each workspace gets; the last element is what the others get together.
std::vector<double> Results(const rank_demand& aDemand, double aAdmitted)
{
  const workspace_split split = SplitByWorkspace(aDemand, aAdmitted);
  std::vector<double> results;
  for (const workspace_demand& demand : aDemand.mLargest) {
    results.push_back(AdmittedFraction(aDemand, split, demand.mWorkspace) * demand.mTokens);
  }
  results.push_back(split.mOthersAdmitted * aDemand.mOthers);
  return results;
}

/// Gateways that get the same workspaces' requests, and admit them by what all have announced.
struct fleet
{
  static constexpr std::size_t kGateways = 5;
  static constexpr std::size_t kWorkspaces = 24;

  std::array<workspace_demand_meter, kGateways> mMeters;
  std::array<admission_credit, kGateways> mCredits;
  std::array<double, kWorkspaces> mOffered{};
  std::array<double, kWorkspaces> mAdmitted{};

  /// Admitted fraction of each workspace when workspace w sends aRequests[w] requests in each interval of 250 ms at
  /// each gateway, the last one aTimes[g] times as many at gateway g, and aAdmitted tokens may start in
  /// kAllocationHorizon.
  std::vector<double> Run(const std::vector<int>& aRequests, const std::array<int, kGateways>& aTimes, double aAdmitted)
  {
    instant now{ 1000s };
    std::vector<gateway_demand> announced;
    for (int step = 0; step < 160; ++step, now += 250ms) {
      std::vector<gateway_demand> next;
      for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
        std::vector<workspace_demand> heard;
        for (std::size_t other = 0; other < announced.size(); ++other) {
          const auto& largest = announced[other].mLargest;
          heard.insert(heard.end(), largest.begin(), other == gateway ? largest.begin() : largest.end());
        }
        next.push_back(mMeters.at(gateway).Measure(kMaxLargestWorkspaces, heard, now));
      }
      announced = std::move(next);
      const rank_demand demand = MergeDemand(announced, kRank);
      const workspace_split split = SplitByWorkspace(demand, aAdmitted);
      for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
        for (std::size_t w = 0; w < kWorkspaces; ++w) {
          const auto hash = static_cast<workspace_hash>(w);
          const int requests = aRequests[w] * (w + 1 == kWorkspaces ? aTimes.at(gateway) : 1);
          for (int i = 0; i < requests; ++i) {
            const double tokens = 100.0 * (1 + i % 3);
            mMeters.at(gateway).Arrived(kRank, hash, tokens, now + 125ms);
            const double fraction = AdmittedFraction(demand, split, hash);
            const bool admitted = mCredits.at(gateway).Admit(kRank, hash, fraction, now);
            const bool counts = step >= 40;
            mOffered.at(w) += counts ? tokens : 0.0;
            mAdmitted.at(w) += counts && admitted ? tokens : 0.0;
          }
        }
      }
    }
    std::vector<double> fractions;
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      fractions.push_back(mAdmitted.at(w) / mOffered.at(w));
    }
    return fractions;
  }
};

} // namespace

// Guards against a cap that leaves a small workspace below its demand while a larger one gets more.
TEST_CASE("workspace_split_of_any_demand_raises_no_result_except_by_lowering_a_smaller_one")
{
  REQUIRE(rc::check([] {
    const rank_demand demand = DemandOf(AnyTokens());
    const double total = Total(demand);
    const double admitted = total * *rc::gen::inRange(0, 1001) / 1000.0;
    const std::vector<double> results = Results(demand, admitted);
    const double largest = *std::max_element(results.begin(), results.end());
    const double margin = 1e-9 * total;
    for (std::size_t i = 0; i < demand.mLargest.size(); ++i) {
      const double wanted = demand.mLargest[i].mTokens;
      RC_ASSERT(results[i] <= wanted + margin);
      // One that gets less than it wants gets as much as any other, and all tokens are given away: so more for it is
      // less for one that has no more than it.
      RC_ASSERT(results[i] >= wanted - margin || results[i] >= largest - margin);
    }
  }));
}

// Guards against capacity that is left unused, or given away twice.
TEST_CASE("workspace_split_of_any_demand_adds_up_to_what_is_admitted")
{
  REQUIRE(rc::check([] {
    const rank_demand demand = AnyDemand();
    const double total = Total(demand);
    const double admitted = total * *rc::gen::inRange(0, 2001) / 1000.0;
    const std::vector<double> results = Results(demand, admitted);
    const double sum = std::accumulate(results.begin(), results.end(), 0.0);
    RC_ASSERT(std::abs(sum - std::min(admitted, total)) <= 1e-9 * total);
  }));
}

// Guards against a workspace that gains by sending more: above the cap, more demand of one changes nothing for others.
TEST_CASE("workspace_split_with_more_demand_above_the_cap_leaves_the_others_unchanged")
{
  REQUIRE(rc::check([] {
    rank_demand demand = AnyDemand();
    workspace_demand& first = demand.mLargest[0];
    first.mTokens = Total(demand) + 1;
    const double admitted = first.mTokens * *rc::gen::inRange(0, 1000) / 1000.0;
    RC_ASSERT(first.mTokens > SplitByWorkspace(demand, admitted).mCap);
    const std::vector<double> before = Results(demand, admitted);
    first.mTokens *= 10;
    const std::vector<double> after = Results(demand, admitted);
    for (std::size_t i = 0; i < after.size(); ++i) {
      RC_ASSERT(std::abs(after[i] - before[i]) <= 1e-9 * (1 + before[i]));
    }
  }));
}

// Guards against others being rejected for a workspace that sends ten times the share of the largest of them.
TEST_CASE("workspace_split_with_one_at_ten_times_its_share_admits_the_others_as_without_it")
{
  REQUIRE(rc::check([] {
    std::vector<double> tokens = AnyTokens();
    const double share = 1 + *std::max_element(tokens.begin(), tokens.end());
    tokens.push_back(share);
    const rank_demand usual = DemandOf(tokens);
    tokens.back() = 10 * share;
    const rank_demand flooded = DemandOf(tokens);
    const double admitted = Total(usual) * *rc::gen::inRange(1000, 1500) / 1000.0;
    const workspace_split split = SplitByWorkspace(flooded, admitted);
    for (std::size_t i = 0; i + 1 < tokens.size(); ++i) {
      RC_ASSERT(AdmittedFraction(flooded, split, static_cast<workspace_hash>(i)) >= 1.0 - 1e-9);
    }
  }));
}

// Guards against starvation: something is admitted of each workspace if anything is admitted at all.
TEST_CASE("workspace_split_with_any_tokens_admits_some_of_each_workspace")
{
  REQUIRE(rc::check([] {
    const rank_demand demand = AnyDemand();
    const double admitted = 0.001 * *rc::gen::inRange(1, 1000000);
    const workspace_split split = SplitByWorkspace(demand, admitted);
    RC_ASSERT(split.mCap > 0);
    RC_ASSERT(split.mOthersAdmitted > 0);
    const std::vector<double> results = Results(demand, admitted);
    for (std::size_t i = 0; i < demand.mLargest.size(); ++i) {
      RC_ASSERT(results[i] <= split.mCap * (1 + 1e-9));
      RC_ASSERT(results[i] > 0 || demand.mLargest[i].mTokens == 0);
    }
  }));
}

// Guards against gateways that compute different caps from the same announcements.
TEST_CASE("workspace_split_of_workspaces_in_another_order_is_the_same")
{
  REQUIRE(rc::check([] {
    rank_demand demand = AnyDemand();
    const double admitted = *rc::gen::inRange(0, 1000000);
    const workspace_split split = SplitByWorkspace(demand, admitted);
    std::rotate(demand.mLargest.begin(), demand.mLargest.begin() + 1, demand.mLargest.end());
    std::reverse(demand.mLargest.begin() + 1, demand.mLargest.end());
    const workspace_split other = SplitByWorkspace(demand, admitted);
    RC_ASSERT(split.mCap == other.mCap);
    RC_ASSERT(split.mOthersAdmitted == other.mOthersAdmitted);
  }));
}

// Guards against malformed amounts of one gateway that make the result of all others negative or not a number.
TEST_CASE("workspace_split_of_malformed_amounts_is_finite_and_not_negative")
{
  const std::vector<double> odd = { kNotANumber, kInfinite, -kInfinite, -5.0, 0.0, 1e300, 5e-324, 10.0 };
  REQUIRE(rc::check([&] {
    rank_demand demand = DemandOf(*rc::gen::container<std::vector<double>>(5, rc::gen::elementOf(odd)));
    demand.mOthers = *rc::gen::elementOf(odd);
    demand.mOtherWorkspaces = *rc::gen::inRange<std::size_t>(0, 3);
    const workspace_split split = SplitByWorkspace(demand, *rc::gen::elementOf(odd));
    RC_ASSERT(std::isfinite(split.mCap));
    RC_ASSERT(split.mCap >= 0);
    for (workspace_hash workspace = 0; workspace < 6; ++workspace) {
      const double fraction = AdmittedFraction(demand, split, workspace);
      RC_ASSERT(fraction >= 0.0);
      RC_ASSERT(fraction <= 1.0);
    }
  }));
}

// Guards against rejecting a workspace that no gateway has announced while nothing is short.
TEST_CASE("workspace_split_without_demand_admits_all")
{
  const workspace_split split = SplitByWorkspace({}, 0);
  REQUIRE(AdmittedFraction({}, split, 7) == 1.0);
}

// Guards against counting others as one workspace: they get a cap for each.
TEST_CASE("workspace_split_gives_each_of_the_other_workspaces_a_cap")
{
  rank_demand demand = DemandOf({ 100.0 });
  demand.mOthers = 30;
  demand.mOtherWorkspaces = 3;
  const workspace_split split = SplitByWorkspace(demand, 20);
  REQUIRE(split.mCap == Approx(5.0));
  REQUIRE(split.mOthersAdmitted == Approx(0.5));
  REQUIRE(AdmittedFraction(demand, split, 0) == Approx(0.05));
}

// Guards against a workspace that evades the cap by spreading its requests over gateways.
TEST_CASE("workspace_merge_adds_up_the_same_workspace_in_the_same_rank_only")
{
  gateway_demand first;
  first.mLargest = { { kRank, 1, 10.0 }, { kRank, 2, 5.0 }, { kRank + 2, 1, 7.0 }, { kRank, 3, kNotANumber } };
  first.mOthers.at(kRank) = 4;
  first.mWorkspaces.at(kRank) = 5;
  gateway_demand second;
  second.mLargest = { { kRank, 1, 20.0 } };
  second.mOthers.at(kRank) = 6;
  second.mWorkspaces.at(kRank) = 3;
  const rank_demand merged = MergeDemand(std::vector{ first, second }, kRank);
  REQUIRE(merged.mLargest.size() == 2);
  REQUIRE(merged.mLargest[0].mTokens == Approx(30.0));
  REQUIRE(merged.mLargest[1].mTokens == Approx(5.0));
  REQUIRE(merged.mOthers == Approx(10.0));
  REQUIRE(merged.mOtherWorkspaces == 3);
}

// Guards against a wrong number of other workspaces, by which they would get too little or too much together: callers
// of a workspace use all gateways, or only one.
TEST_CASE("workspace_merge_counts_other_workspaces_of_all_gateways_once")
{
  std::vector<gateway_demand> shared(10);
  std::vector<gateway_demand> separate(10);
  for (std::size_t i = 0; i < 10; ++i) {
    for (gateway_demand* gateway : { &shared[i], &separate[i] }) {
      gateway->mOthers.at(kRank) = 20;
      gateway->mWorkspaces.at(kRank) = 24;
      for (std::size_t w = 0; w < 4; ++w) {
        const std::size_t name = gateway == &shared[i] ? w : 4 * i + w;
        gateway->mLargest.push_back({ kRank, static_cast<workspace_hash>(name), 10.0 });
      }
    }
  }
  REQUIRE(MergeDemand(shared, kRank).mOtherWorkspaces == 20);
  REQUIRE(MergeDemand(separate, kRank).mOtherWorkspaces == 200);
  REQUIRE(MergeDemand({}, kRank).mOtherWorkspaces == 0);
  for (gateway_demand& gateway : separate) {
    gateway.mLargest[0].mWorkspace = 1000; // of one workspace at all gateways, beside those of one gateway each
  }
  REQUIRE(MergeDemand(separate, kRank).mOtherWorkspaces == 200);
  shared[0].mLargest[0].mWorkspace = 1000; // of one gateway, beside those at all gateways
  REQUIRE(MergeDemand(shared, kRank).mOtherWorkspaces == 20);
  for (std::size_t i = 1; i < 10; ++i) {
    shared[i].mOthers.at(kRank) = 0;
  }
  REQUIRE(MergeDemand(shared, kRank).mOtherWorkspaces == 20);
}

// Guards against gateways that compute different demands because announcements arrived in another order.
TEST_CASE("workspace_merge_of_gateways_in_another_order_is_the_same")
{
  REQUIRE(rc::check([] {
    std::vector<gateway_demand> gateways(8);
    for (gateway_demand& gateway : gateways) {
      for (int i = 0; i < 4; ++i) {
        gateway.mLargest.push_back({ kRank, *rc::gen::inRange<workspace_hash>(0, 9), *rc::gen::inRange(0, 999) / 7.0 });
      }
      gateway.mOthers.at(kRank) = *rc::gen::inRange(0, 999) / 7.0;
      gateway.mWorkspaces.at(kRank) = *rc::gen::inRange<std::uint32_t>(0, 9);
    }
    const rank_demand merged = MergeDemand(gateways, kRank);
    std::rotate(gateways.begin(), gateways.begin() + 3, gateways.end());
    std::reverse(gateways.begin() + 2, gateways.end());
    const rank_demand other = MergeDemand(gateways, kRank);
    RC_ASSERT(merged.mOthers == other.mOthers);
    RC_ASSERT(merged.mOtherWorkspaces == other.mOtherWorkspaces);
    RC_ASSERT(std::equal(merged.mLargest.begin(),
                         merged.mLargest.end(),
                         other.mLargest.begin(),
                         other.mLargest.end(),
                         [](const workspace_demand& aLeft, const workspace_demand& aRight) {
                           return aLeft.mWorkspace == aRight.mWorkspace && aLeft.mTokens == aRight.mTokens;
                         }));
  }));
}

// Guards against announced demand in another unit than that of the allocation: tokens in kAllocationHorizon.
TEST_CASE("workspace_meter_of_a_steady_rate_returns_the_tokens_of_the_horizon")
{
  workspace_demand_meter meter;
  instant now{ 1000s };
  for (int i = 0; i < 1000; ++i, now += 10ms) {
    for (workspace_hash w = 1; w <= 6; ++w) {
      meter.Arrived(kRank, w, 10.0 * w, now);
    }
  }
  const gateway_demand demand = meter.Measure(9, {}, now);
  REQUIRE(demand.mLargest.size() == kMaxLargestWorkspaces);
  const double perToken = std::chrono::duration<double>(kAllocationHorizon) / 10ms;
  for (std::size_t i = 0; i < 4; ++i) {
    REQUIRE(demand.mLargest[i].mRank == kRank);
    REQUIRE(demand.mLargest[i].mWorkspace == 6 - i);
    REQUIRE(demand.mLargest[i].mTokens == Approx(perToken * 10.0 * static_cast<double>(6 - i)).epsilon(0.01));
  }
  REQUIRE(demand.mOthers.at(kRank) == Approx(perToken * 30.0).epsilon(0.01));
  REQUIRE(demand.mWorkspaces.at(kRank) == 6);
  REQUIRE(demand.mWorkspaces.at(kRank + 1) == 0);
  REQUIRE(meter.Measure(1, {}, now).mOthers.at(kRank) == Approx(perToken * 150.0).epsilon(0.01));
}

// Guards against a large workspace that is hidden among the others at gateways where it is small.
TEST_CASE("workspace_meter_announces_first_what_is_largest_at_all_gateways")
{
  workspace_demand_meter meter;
  const instant now{ 1000s };
  meter.Arrived(kRank, 1, 10.0, now);
  meter.Arrived(kRank, 2, 20.0, now);
  const std::vector<workspace_demand> elsewhere = {
    { kRank, 1, 6.0 }, { kRank, 1, 6.0 }, { kRank + 1, 2, 50.0 }, { kRank, 3, 99.0 }, { kRank, 2, kNotANumber },
  };
  const gateway_demand demand = meter.Measure(1, elsewhere, now);
  REQUIRE(demand.mLargest.size() == 1);
  REQUIRE(demand.mLargest[0].mWorkspace == 1);
  REQUIRE(demand.mLargest[0].mTokens == Approx(5.0));
  REQUIRE(demand.mOthers.at(kRank) == Approx(10.0));
}

// Guards against demand that outlives the requests: caps would stay low, and memory in use.
TEST_CASE("workspace_meter_without_requests_forgets_the_workspaces")
{
  workspace_demand_meter meter;
  const instant now{ 1000s };
  meter.Arrived(kRank, 1, 100.0, now);
  meter.Arrived(kRank, 2, kNotANumber, now);
  meter.Arrived(kRank, 3, -1.0, now);
  REQUIRE(meter.Size() == 1);
  REQUIRE(meter.Measure(4, {}, now - 1s).mLargest[0].mTokens == Approx(50.0));
  REQUIRE(meter.Measure(4, {}, now + kDemandMemory - 1us).mLargest.size() == 1);
  const gateway_demand demand = meter.Measure(0, {}, now + kDemandMemory);
  REQUIRE(demand.mWorkspaces.at(kRank) == 0);
  REQUIRE(demand.mOthers.at(kRank) == 0.0);
  REQUIRE(meter.Size() == 0);
}

// Guards against unbounded memory, and against a flood of small workspaces that displaces the large ones.
TEST_CASE("workspace_meter_with_too_many_workspaces_drops_the_smallest_and_keeps_their_demand")
{
  workspace_demand_meter meter;
  const instant now{ 1000s };
  meter.Arrived(kRank, 0, 500.0, now);
  for (workspace_hash w = 1; w <= 3 * kMaxTrackedWorkspaces; ++w) {
    meter.Arrived(kRank, w, 1.0, now);
    REQUIRE(meter.Size() <= kMaxTrackedWorkspaces);
  }
  const gateway_demand demand = meter.Measure(1, {}, now);
  REQUIRE(demand.mLargest[0].mWorkspace == 0);
  REQUIRE(demand.mLargest[0].mTokens == Approx(250.0));
  REQUIRE(demand.mOthers.at(kRank) == Approx(0.5 * 3 * kMaxTrackedWorkspaces));
}

// Guards against admitting more or less than the fraction over time, also when it changes.
TEST_CASE("workspace_credit_of_any_fractions_differs_by_less_than_two_requests")
{
  REQUIRE(rc::check([] {
    admission_credit credit;
    double sum = 0;
    double admitted = 0;
    const int requests = *rc::gen::inRange(1, 300);
    for (int i = 0; i < requests; ++i) {
      const double fraction = *rc::gen::inRange(0, 101) / 100.0;
      const bool isAdmitted = credit.Admit(kRank, 1, fraction, instant(i * 1ms));
      RC_ASSERT(fraction < 1.0 || isAdmitted);
      RC_ASSERT(fraction > 0.0 || !isAdmitted);
      sum += fraction;
      admitted += isAdmitted ? 1 : 0;
      RC_ASSERT(std::abs(sum - admitted) < 2.0);
    }
  }));
}

// Guards against rejecting all requests of a kind that recurs regularly, such as every second one being large.
TEST_CASE("workspace_credit_of_requests_that_recur_regularly_admits_each_kind_alike")
{
  for (int percent = 5; percent < 100; percent += 5) {
    for (int period = 2; period <= 20; ++period) {
      admission_credit credit;
      std::vector<int> admitted(static_cast<std::size_t>(period));
      for (int i = 0; i < 1000 * period; ++i) {
        admitted[static_cast<std::size_t>(i % period)] += credit.Admit(kRank, 1, percent / 100.0, instant(0s)) ? 1 : 0;
      }
      INFO("fraction " << percent << " %, period " << period);
      REQUIRE(*std::min_element(admitted.begin(), admitted.end()) >= 5 * percent);
    }
  }
}

// Guards against workspaces with a single request that are all admitted, or all rejected for as long as they send
// rarely.
TEST_CASE("workspace_credit_of_workspaces_with_few_requests_admits_the_fraction")
{
  admission_credit credit;
  int admitted = 0;
  for (workspace_hash w = 0; w < 5000; ++w) {
    admitted += credit.Admit(kRank, w, 0.3, instant(0s)) ? 1 : 0;
  }
  REQUIRE(admitted == Approx(1500).margin(100));
  int admittedAnew = 0;
  for (int i = 0; i < 5000; ++i) {
    admittedAnew += admission_credit().Admit(kRank, 1, 0.3, instant(i * 7s)) ? 1 : 0;
  }
  REQUIRE(admittedAnew == Approx(1500).margin(100));
}

// Guards against unbounded memory, and against dropping the credit of workspaces that are in use.
TEST_CASE("workspace_credit_with_too_many_workspaces_drops_those_without_requests_longest")
{
  admission_credit credit;
  int admitted = 0;
  for (workspace_hash w = 1; w <= 30 * kMaxTrackedWorkspaces; ++w) {
    credit.Admit(kRank, w, 0.5, instant(w * 1ms));
    admitted += credit.Admit(kRank, 0, 0.5, instant(w * 1ms)) ? 1 : 0;
  }
  REQUIRE(credit.Size() <= kMaxTrackedWorkspaces);
  REQUIRE(std::abs(admitted - 15.0 * kMaxTrackedWorkspaces) < 2.0);
}

// Guards against an overload of one workspace that reaches the others through the whole path, from arrival to
// admission at several gateways.
TEST_CASE("workspace_at_ten_times_its_share_leaves_the_others_admitted_as_before")
{
  std::vector<int> requests(fleet::kWorkspaces, 3);
  for (std::size_t w = 0; w < 8; ++w) {
    requests[w] = 1 + static_cast<int>(w % 2);
  }
  double tokens = 0;
  for (int count : requests) {
    tokens += count * 50.0 * (count + 1);
  }
  const double wanted = 2 * fleet::kGateways * tokens; // two intervals in kAllocationHorizon
  for (const double covered : { 1.0, 0.8 }) {
    const std::vector<double> usual = fleet().Run(requests, { 1, 1, 1, 1, 1 }, wanted * covered);
    for (const auto& times : { std::array{ 10, 10, 10, 10, 10 }, std::array{ 46, 1, 1, 1, 1 } }) {
      const std::vector<double> fractions = fleet().Run(requests, times, wanted * covered);
      for (std::size_t w = 0; w + 1 < fleet::kWorkspaces; ++w) {
        INFO("workspace " << w << ", admitted amount " << covered << " of the usual demand, " << times[0]
                          << " times as many requests at the first gateway");
        CHECK(fractions[w] >= usual[w] - 0.02);
      }
      CHECK(fractions.back() >= 0.05);
    }
  }
}
