#include "policy/route_choice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct route_choice_fixture
{
  std::vector<route_candidate> mCandidates;
  route_request mRequest{ layer_index(0), token_count(100) };

  route_candidate& Add(const std::string& aName, const std::string& aDomain = "a")
  {
    route_candidate candidate;
    candidate.mInstance = instance_id(aName);
    candidate.mFailureDomain = failure_domain_id(aDomain);
    candidate.mLastLayer = layer_index(15);
    candidate.mStep = 10ms;
    mCandidates.push_back(candidate);
    return mCandidates.back();
  }
  std::vector<int> Counts(int aDraws)
  {
    std::vector<int> counts(mCandidates.size());
    for (int i = 0; i < aDraws; ++i) {
      const auto first = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15ULL;
      ++counts[*ChooseRoute(mCandidates, mRequest, { first, first * 31 })];
    }
    return counts;
  }
};

double InMilliseconds(std::optional<duration> aTime)
{
  return static_cast<double>(aTime->count()) / 1000.0;
}

} // namespace

TEST_CASE_METHOD(route_choice_fixture, "route_choice_without_eligible_candidate_is_empty")
{
  Add("leaving").mLeaving = true;
  Add("down").mBackendUp = false;
  Add("avoided").mAvoid = true;
  Add("other-layers").mFirstLayer = layer_index(1);
  REQUIRE_FALSE(ChooseRoute(mCandidates, mRequest, { 1, 2 }));
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_between_two_takes_the_one_with_less_work")
{
  Add("busy").mRunning = 20;
  Add("idle");
  REQUIRE(Counts(1000)[1] == 1000);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_counts_own_requests_since_the_report")
{
  Add("reported-idle").mInFlightSinceReport = 18;
  Add("idle").mRunning = 14;
  REQUIRE(Counts(1000)[1] == 1000);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_gives_a_new_instance_less_than_its_share")
{
  for (int i = 0; i < 9; ++i) {
    Add("old" + std::to_string(i)).mRunning = 5;
  }
  Add("new").mJoinedFor = 500ms;
  REQUIRE(Counts(1000)[9] < 100);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_of_many_choosers_with_the_same_report_does_not_herd")
{
  for (int i = 0; i < 40; ++i) {
    Add("w" + std::to_string(i)).mRunning = 4;
  }
  mCandidates[7].mRunning = 0;
  REQUIRE(Counts(1000)[7] < 200);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_takes_holder_of_state_that_was_not_drawn")
{
  mRequest.mPromptTokens = token_count(4000);
  for (int i = 0; i < 40; ++i) {
    Add("w" + std::to_string(i)).mPrefillPerToken = 100us;
  }
  mCandidates[33].mPreferred = true;
  REQUIRE(Counts(100)[33] == 100);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_of_equal_costs_spreads_over_failure_domains")
{
  Add("a1", "a").mInFlight = 5;
  Add("b1", "b");
  REQUIRE(Counts(1000)[1] == 1000);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_draws_in_proportion_to_speed")
{
  for (int i = 0; i < 20; ++i) {
    Add("slow").mStep = 40ms;
    Add("fast").mStep = 10ms;
  }
  for (route_candidate& candidate : mCandidates) {
    candidate.mLinkDelay = 50ms - candidate.mStep;
  }
  const std::vector<int> counts = Counts(10000);
  int slow = 0;
  for (std::size_t i = 0; i < counts.size(); i += 2) {
    slow += counts[i];
  }
  REQUIRE(slow < 3000);
}

TEST_CASE_METHOD(route_choice_fixture, "route_choice_prefers_known_cost_to_go_over_unknown")
{
  Add("unknown");
  Add("known").mCostToGo = 500ms;
  mCandidates[0].mLinkDelay = 1us;
  REQUIRE(Counts(1000)[1] == 1000);
}

TEST_CASE_METHOD(route_choice_fixture, "cost_to_go_adds_the_cheapest_successor_including_its_link")
{
  const stage_load own{ layer_index(15), 32, 0, 2, 16, 10ms };
  for (auto [cost, link] : { std::pair(30ms, 100ms), std::pair(50ms, 1ms) }) {
    route_candidate& successor = Add("s");
    successor.mFirstLayer = layer_index(16);
    successor.mLastLayer = layer_index(31);
    successor.mCostToGo = cost;
    successor.mLinkDelay = link;
  }
  REQUIRE(InMilliseconds(CostToGo(own, mCandidates)) == Approx(10 + 51).epsilon(0.01));
}

TEST_CASE_METHOD(route_choice_fixture, "cost_to_go_of_the_last_stage_is_its_step_and_the_wait_for_a_slot")
{
  REQUIRE(InMilliseconds(CostToGo({ layer_index(31), 32, 0, 1, 16, 10ms }, {})) == Approx(10).epsilon(0.01));
  const double perRequest = 10 * kTypicalSteps / 16;
  const auto behindTwenty = CostToGo({ layer_index(31), 32, 20, 16, 16, 10ms }, {});
  REQUIRE(InMilliseconds(behindTwenty) == Approx(10 + 21 * perRequest).epsilon(0.01));
}

TEST_CASE_METHOD(route_choice_fixture, "cost_to_go_without_successor_is_empty")
{
  Add("wrong-layers");
  REQUIRE_FALSE(CostToGo({ layer_index(15), 32, 0, 0, 0, 10ms }, mCandidates));
}

TEST_CASE("route_choice_of_any_candidates_is_eligible")
{
  REQUIRE(rc::check([](std::uint64_t aFirst, std::uint64_t aSecond) {
    std::vector<route_candidate> candidates(*rc::gen::inRange<std::size_t>(0, 12));
    bool any = false;
    const route_request request{ layer_index(4), token_count(*rc::gen::inRange(0, 9000)) };
    for (route_candidate& candidate : candidates) {
      candidate.mFirstLayer = layer_index(*rc::gen::inRange(0, 8));
      candidate.mLastLayer = layer_index(*rc::gen::inRange(0, 8));
      candidate.mLeaving = *rc::gen::arbitrary<bool>();
      candidate.mStep = duration(*rc::gen::inRange(0, 100000));
      candidate.mReportAge = duration(*rc::gen::inRange(0, 100000000));
      candidate.mQueued = *rc::gen::inRange(0U, 100000U);
      any = any || IsEligible(candidate, request);
    }
    const auto chosen = ChooseRoute(candidates, request, { aFirst, aSecond });
    RC_ASSERT(chosen.has_value() == any);
    RC_ASSERT((!chosen || IsEligible(candidates[*chosen], request)));
  }));
}
