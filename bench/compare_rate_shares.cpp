#include "comparisons.h"

#include <algorithm>
#include <numeric>
#include <random>

#include "policy/rate_share.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr double kSeconds = 60.0;
constexpr double kWarmUp = 10.0;
constexpr double kTick = 0.05; // seconds

instant At(double aSeconds)
{
  return instant(std::chrono::hours(1) + duration(static_cast<duration::rep>(aSeconds * 1e6)));
}

/// Results of one run.
struct rate_outcome
{
  double mPassed = 0.0;  ///< per second, as a fraction of the smaller of limit and demand
  double mReports = 0.0; ///< per second for each entry
};

/// Limit and demand of one workspace. Some of the entries receive requests, in proportion to 1/rank.
struct rate_scenario
{
  const char* mName;
  std::size_t mEntries;
  std::size_t mUsedEntries;
  double mLimit;      ///< requests per second
  double mDemand;     ///< requests per second
  double mMovePeriod; ///< seconds after which the demand shifts by one entry
};

/// Simulates one workspace. Without Shared, entries send no demand reports, so each keeps an even part of the limit.
template<bool Shared>
rate_outcome RunRates(const rate_scenario& aScenario, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<rate_bucket> buckets(aScenario.mEntries);
  rate_coordinator coordinator;
  std::vector<double> weights(aScenario.mUsedEntries);
  for (std::size_t i = 0; i < aScenario.mUsedEntries; ++i) {
    weights[i] = 1.0 / static_cast<double>(i + 1);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::poisson_distribution<int> arrivals(aScenario.mDemand * kTick);
  const workspace_id workspace("w");
  double passed = 0.0;
  double reports = 0.0;
  for (double now = 0.0; now < kSeconds; now += kTick) {
    const auto shift = static_cast<std::size_t>(now / aScenario.mMovePeriod);
    for (int i = arrivals(random); i > 0; --i) {
      const std::size_t entry = (pick(random) + shift) % aScenario.mEntries;
      const bool passes = !buckets[entry].Take({ aScenario.mLimit }, aScenario.mEntries, At(now));
      passed += passes && now >= kWarmUp ? 1.0 : 0.0;
      if (!Shared) {
        continue;
      }
      if (auto due = buckets[entry].DueReport(At(now))) {
        reports += 1.0;
        buckets[entry].Granted(coordinator.Report(member_key(entry), workspace, *due, { aScenario.mLimit }, At(now)),
                               At(now));
      }
    }
  }
  const double allowed = std::min(aScenario.mLimit, aScenario.mDemand) * (kSeconds - kWarmUp);
  return { passed / allowed, reports / kSeconds / static_cast<double>(aScenario.mEntries) };
}

} // namespace

void CompareRateShares(table& aTable, const seed_list& aSeeds)
{
  const rate_scenario scenarios[] = {
    { "3 entries, over limit", 3, 3, 20.0, 60.0, 1e9 },      { "3 entries, one used", 3, 1, 20.0, 40.0, 1e9 },
    { "3 entries, moving", 3, 1, 20.0, 40.0, 10.0 },         { "390 entries, over limit", 390, 390, 100.0, 300.0, 1e9 },
    { "390 entries, at half", 390, 390, 200.0, 100.0, 1e9 }, { "390 entries, 5 used", 390, 5, 50.0, 100.0, 1e9 },
  };
  for (const rate_scenario& scenario : scenarios) {
    row ours{ "rate", scenario.mName, "chervilpulley", "passed / allowed", {}, true };
    row even{ "rate", scenario.mName, "even parts", "passed / allowed", {}, true };
    row reports{ "rate", scenario.mName, "chervilpulley", "reports/s an entry", {}, false };
    for (unsigned seed : aSeeds) {
      const rate_outcome shared = RunRates<true>(scenario, seed);
      ours.mSamples.Add(shared.mPassed);
      reports.mSamples.Add(shared.mReports);
      even.mSamples.Add(RunRates<false>(scenario, seed).mPassed);
    }
    aTable.Add(ours);
    aTable.Add(even);
    aTable.Add(reports);
  }
}

} // namespace bench
