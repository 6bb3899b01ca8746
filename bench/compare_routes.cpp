#include "comparisons.h"
#include "route_simulation.h"

#include <algorithm>

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

using candidates = std::vector<route_candidate>;

constexpr std::size_t kDefaultSubset = 40;

/// A routing policy and its name in the table.
struct variant
{
  std::string mName;
  route_policy mPolicy;
  bool mWholeChain = false;
};

std::size_t Random(const candidates& aCandidates, const route_request&, std::size_t&, std::mt19937_64& aRandom)
{
  return aRandom() % aCandidates.size();
}

std::size_t RoundRobin(const candidates& aCandidates, const route_request&, std::size_t& aTurn, std::mt19937_64&)
{
  return aTurn++ % aCandidates.size();
}

std::size_t LeastReported(const candidates& aCandidates, const route_request&, std::size_t&, std::mt19937_64&)
{
  auto load = [](const route_candidate& aCandidate) { return aCandidate.mQueued + aCandidate.mRunning; };
  auto best = std::min_element(aCandidates.begin(), aCandidates.end(), [&](const auto& aLeft, const auto& aRight) {
    return load(aLeft) < load(aRight);
  });
  return static_cast<std::size_t>(best - aCandidates.begin());
}

/// Earlier policy of the project: draws two candidates by speed and takes the lower load times step time.
std::size_t LoadTimesStep(const candidates& aCandidates, const route_request&, std::size_t&, std::mt19937_64& aRandom)
{
  std::vector<double> speeds;
  speeds.reserve(aCandidates.size());
  for (const route_candidate& candidate : aCandidates) {
    speeds.push_back(std::max(1U, candidate.mSlots) / static_cast<double>(candidate.mStep.count()));
  }
  std::discrete_distribution<std::size_t> draw(speeds.begin(), speeds.end());
  const std::size_t first = draw(aRandom);
  const std::size_t second = draw(aRandom);
  auto cost = [&](std::size_t aIndex) {
    const route_candidate& c = aCandidates[aIndex];
    return (1.0 + c.mQueued + c.mRunning + c.mInFlightSinceReport) / speeds[aIndex];
  };
  return cost(first) <= cost(second) ? first : second;
}

std::size_t CurrentPolicy(const candidates& aCandidates,
                          const route_request& aRequest,
                          std::size_t&,
                          std::mt19937_64& aRandom)
{
  return *ChooseRoute(aCandidates, aRequest, { aRandom(), aRandom() });
}

/// Chooses the lowest expected cost of all candidates instead of two drawn ones.
std::size_t LeastCost(const candidates& aCandidates, const route_request& aRequest, std::size_t&, std::mt19937_64&)
{
  const route_fallback fallback = FallbackFor(aCandidates, aRequest);
  std::size_t best = 0;
  duration least = duration::max();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const duration cost = ExpectedCost(aCandidates[i], aRequest, fallback);
    if (cost < least) {
      best = i;
      least = cost;
    }
  }
  return best;
}

std::vector<variant> Variants(const route_scenario& aScenario)
{
  if (aScenario.mSubset < kDefaultSubset) {
    return { { "chervilpulley", CurrentPolicy } };
  }
  std::vector<variant> variants{ { "chervilpulley", CurrentPolicy },
                                 { "random", Random },
                                 { "round robin", RoundRobin },
                                 { "least reported load", LeastReported },
                                 { "load x step, 2 draws", LoadTimesStep },
                                 { "least cost of all", LeastCost } };
  if (aScenario.mStages > 1) {
    variants.push_back({ "whole chain, least cost", LeastCost, true });
    variants.push_back({ "whole chain, 2 draws", CurrentPolicy, true });
  }
  return variants;
}

const std::vector<accelerator> kTegidAccelerators{ { 0.010, 0.00002, 16 },
                                                   { 0.020, 0.00004, 16 },
                                                   { 0.040, 0.0001, 12 } };
const std::vector<accelerator> kGudumaleAccelerators{ { 0.025, 0.00005, 12 }, { 0.050, 0.0001, 8 } };

route_scenario Scenario(const std::string& aName, std::size_t aEntries, std::size_t aServers, std::size_t aStages)
{
  route_scenario scenario;
  scenario.mName = aName;
  scenario.mEntries = aEntries;
  scenario.mServers = aServers;
  scenario.mStages = aStages;
  scenario.mDomains = aEntries > 10 ? 20 : 3;
  scenario.mAccelerators = kTegidAccelerators;
  scenario.mSeconds = aEntries > 10 ? 50.0 : 120.0;
  return scenario;
}

std::vector<route_scenario> Scenarios()
{
  std::vector<route_scenario> all{ Scenario("tegid", 3, 40, 1),
                                   Scenario("tegid 2 stages", 3, 40, 2),
                                   Scenario("gudumale 2 stages", 3, 40, 2),
                                   Scenario("tegid slow link", 3, 40, 2),
                                   Scenario("tegid 1.2x load", 3, 40, 2),
                                   Scenario("390 entries, 40 servers", 390, 40, 1),
                                   Scenario("2 years, one model", 390, 340, 2),
                                   Scenario("2 years", 390, 3400, 1),
                                   Scenario("one model, subset 20", 390, 340, 2),
                                   Scenario("one model, subset 10", 390, 340, 2),
                                   Scenario("one model, subset 4", 390, 340, 2) };
  all[2].mAccelerators = kGudumaleAccelerators;
  all[3].mSlowLink = 0.025;
  all[4].mLoad = 1.2;
  all[4].mDeadline = 5.0;
  all[8].mSubset = 20;
  all[9].mSubset = 10;
  all[10].mSubset = 4;
  return all;
}

} // namespace

void CompareRoutes(table& aTable, const seed_list& aSeeds)
{
  for (const route_scenario& scenario : Scenarios()) {
    const bool overload = scenario.mLoad > 1.0;
    for (const variant& v : Variants(scenario)) {
      row throughput{
        "route", scenario.mName, v.mName, overload ? "achieved / bound" : "achieved / offered", {}, true
      };
      row firstToken{ "route", scenario.mName, v.mName, "p95 first token (s)", {}, false };
      for (unsigned seed : aSeeds) {
        const route_outcome outcome = RunRoutes(scenario, v.mPolicy, v.mWholeChain, seed);
        throughput.mSamples.Add(overload ? outcome.mThroughput : outcome.mThroughput / scenario.mLoad);
        firstToken.mSamples.Add(outcome.mFirstTokenP95);
      }
      aTable.Add(throughput);
      if (!overload) { // under overload, all times to the first token are close to the deadline
        aTable.Add(firstToken);
      }
    }
  }
}

} // namespace bench
