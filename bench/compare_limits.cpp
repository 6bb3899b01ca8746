#include "comparisons.h"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include "policy/permits.h"
#include "policy/rate_share.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr double kSeconds = 60.0;
constexpr double kWarmUp = 10.0;
constexpr double kTick = 0.02; // seconds
/// The users' rule: in 4 s one and a half times the limit, and 5 requests more.
constexpr double kWindow = 4.0;

instant At(double aSeconds)
{
  return instant(std::chrono::hours(1) + duration(static_cast<duration::rep>(aSeconds * 1e6)));
}

/// A server with a limit, and gateways whose callers send in proportion to 1/rank. A lull before aBurstAt lets unused
/// shares pile up.
struct limit_scenario
{
  const char* mName;
  std::size_t mGateways;
  double mLimit;  ///< requests per second
  double mDemand; ///< requests per second of all gateways
  double mLullFrom;
  double mLullTo;
};

/// Results of one run.
struct limit_outcome
{
  double mUsed = 0;     ///< as a fraction of the smaller of limit and demand
  double mWorst = 0;    ///< requests of the worst window, as a fraction of what the users' rule allows
  double mMessages = 0; ///< datagrams per second at each gateway
};

/// An equal part of the limit for each of the first aSharers gateways, with room for one request.
class equal_parts
{
public:
  equal_parts(std::size_t aGateways, std::size_t aSharers, double aLimit)
    : mTokens(aGateways, 0.0)
    , mFilledAt(aGateways, 0.0)
    , mSharers(aSharers)
    , mLimit(aLimit)
  {
  }
  bool Take(std::size_t aGateway, double aNow)
  {
    if (aGateway % std::max<std::size_t>(1, mTokens.size() / mSharers) != 0 || aGateway >= mTokens.size()) {
      return false;
    }
    double& tokens = mTokens[aGateway];
    tokens = std::min(1.0, tokens + mLimit / static_cast<double>(mSharers) * (aNow - mFilledAt[aGateway]));
    mFilledAt[aGateway] = aNow;
    const bool passes = tokens >= 1;
    tokens -= passes ? 1 : 0;
    return passes;
  }
  double TimePassed(double) { return 0; }
  static std::size_t Late() { return 0; }

private:
  std::vector<double> mTokens;
  std::vector<double> mFilledAt;
  std::size_t mSharers;
  double mLimit;
};

/// Shares of the limit by demand, as entries share the limit of a workspace.
class demand_shares
{
public:
  demand_shares(std::size_t aGateways, double aLimit)
    : mBuckets(aGateways)
    , mLimit{ aLimit }
  {
  }
  bool Take(std::size_t aGateway, double aNow)
  {
    const bool passes = !mBuckets[aGateway].Take(mLimit, mBuckets.size(), At(aNow));
    if (auto due = mBuckets[aGateway].DueReport(At(aNow))) {
      mReports += 2;
      mBuckets[aGateway].Granted(mCoordinator.Report(member_key(aGateway), workspace_id("w"), *due, mLimit, At(aNow)),
                                 At(aNow));
    }
    return passes;
  }
  double TimePassed(double) { return std::exchange(mReports, 0.0); }
  static std::size_t Late() { return 0; }

private:
  std::vector<rate_bucket> mBuckets;
  rate_coordinator mCoordinator;
  request_rate mLimit;
  double mReports = 0;
};

/// Permits of a coordinator.
class permits
{
public:
  permits(std::size_t aGateways, double aLimit)
    : mHeld(aGateways)
    , mWaiting(aGateways, 0)
    , mLimit(aLimit)
  {
  }
  bool Take(std::size_t aGateway, double aNow)
  {
    const bool passes = mHeld[aGateway].Has(At(aNow));
    if (passes) {
      mHeld[aGateway].Use(At(aNow));
    } else {
      mHeld[aGateway].Missed(true, At(aNow));
      ++mWaiting[aGateway];
    }
    return passes;
  }
  /// Requests that waited for the response to an ask and pass now.
  std::size_t Late() { return std::exchange(mLate, 0U); }
  double TimePassed(double aNow)
  {
    double messages = 0;
    for (std::size_t gateway = 0; gateway < mHeld.size(); ++gateway) {
      if (const auto due = mHeld[gateway].DueAsk(At(aNow))) {
        const auto granted = mSource.Grant(instance_id(std::to_string(gateway)), *due, mLimit, At(aNow));
        mHeld[gateway].Received(granted, At(aNow), At(aNow));
        messages += 2;
        for (; mWaiting[gateway] > 0 && mHeld[gateway].Has(At(aNow)); --mWaiting[gateway]) {
          mHeld[gateway].Use(At(aNow));
          ++mLate;
        }
        mWaiting[gateway] = 0;
      }
    }
    return messages;
  }

private:
  std::vector<held_permits> mHeld;
  std::vector<std::size_t> mWaiting;
  std::size_t mLate = 0;
  permit_source mSource;
  double mLimit;
};

template<class Scheme>
limit_outcome Run(const limit_scenario& aScenario, Scheme aScheme, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> weights;
  for (std::size_t each = 0; each < aScenario.mGateways; ++each) {
    weights.push_back(1.0 / static_cast<double>(each + 1));
  }
  std::shuffle(weights.begin(), weights.end(), random);
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::poisson_distribution<int> arrivals(aScenario.mDemand * kTick);
  std::deque<double> window;
  limit_outcome outcome;
  double used = 0;
  double offered = 0;
  for (double now = 0; now < kSeconds; now += kTick) {
    const bool isLull = now >= aScenario.mLullFrom && now < aScenario.mLullTo;
    for (int left = isLull ? 0 : arrivals(random); left > 0; --left) {
      offered += now >= kWarmUp ? 1 : 0;
      if (aScheme.Take(pick(random), now)) {
        used += now >= kWarmUp ? 1 : 0;
        window.push_back(now);
      }
    }
    while (!window.empty() && window.front() <= now - kWindow) {
      window.pop_front();
    }
    const double allowed = aScenario.mLimit * 1.5 * kWindow + 5;
    outcome.mWorst = std::max(outcome.mWorst, now >= kWarmUp ? static_cast<double>(window.size()) / allowed : 0);
    outcome.mMessages += aScheme.TimePassed(now);
    for (std::size_t late = aScheme.Late(); late > 0; --late) {
      used += now >= kWarmUp ? 1 : 0;
      window.push_back(now);
    }
  }
  outcome.mUsed = used / std::min(offered, aScenario.mLimit * (kSeconds - kWarmUp));
  outcome.mMessages /= kSeconds * static_cast<double>(aScenario.mGateways);
  return outcome;
}

void AddRows(table& aTable,
             const limit_scenario& aScenario,
             const char* aVariant,
             const std::vector<limit_outcome>& aAll)
{
  row used{ "limit", aScenario.mName, aVariant, "used / min(limit, demand)", {}, true };
  row worst{ "limit", aScenario.mName, aVariant, "worst 4 s / allowed", {}, false };
  row messages{ "limit", aScenario.mName, aVariant, "datagrams/s a gateway", {}, false };
  for (const limit_outcome& each : aAll) {
    used.mSamples.Add(each.mUsed);
    worst.mSamples.Add(each.mWorst);
    messages.mSamples.Add(each.mMessages);
  }
  aTable.Add(used);
  aTable.Add(worst);
  aTable.Add(messages);
}

} // namespace

void CompareLimits(table& aTable, const seed_list& aSeeds)
{
  const limit_scenario scenarios[] = {
    { "2 gateways, 5/s of 20/s", 2, 5, 20, 0, 0 },
    { "6 gateways, 5/s of 20/s", 6, 5, 20, 0, 0 },
    { "6 gateways, 5/s of 5/s", 6, 5, 5, 0, 0 },
    { "29 gateways, 1/s of 30/s", 29, 1, 30, 0, 0 },
    { "29 gateways, 1/s, after a lull", 29, 1, 30, 20, 50 },
    { "20 gateways, 12/s of 40/s", 20, 12, 40, 0, 0 },
  };
  for (const limit_scenario& scenario : scenarios) {
    std::vector<limit_outcome> ours;
    std::vector<limit_outcome> even;
    std::vector<limit_outcome> few;
    std::vector<limit_outcome> shares;
    const std::size_t gateways = scenario.mGateways;
    const auto sharers = std::min(gateways, static_cast<std::size_t>(scenario.mLimit) + 2);
    for (const unsigned seed : aSeeds) {
      ours.push_back(Run(scenario, permits(gateways, scenario.mLimit), seed));
      even.push_back(Run(scenario, equal_parts(gateways, gateways, scenario.mLimit), seed));
      few.push_back(Run(scenario, equal_parts(gateways, sharers, scenario.mLimit), seed));
      shares.push_back(Run(scenario, demand_shares(gateways, scenario.mLimit), seed));
    }
    AddRows(aTable, scenario, "chervilpulley", ours);
    AddRows(aTable, scenario, "even parts", even);
    AddRows(aTable, scenario, "even parts of few", few);
    AddRows(aTable, scenario, "shares by demand", shares);
  }
}

} // namespace bench
