#include "comparisons.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

#include "policy/retry_budget.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr std::size_t kServers = 40;
constexpr std::size_t kDomains = 4;
constexpr std::size_t kSlots = 16;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kMaxAttempts = 6;
constexpr double kMeanService = 4.0;   // seconds
constexpr double kRefusalCost = 0.06;  // seconds of the one thread that accepts requests
constexpr double kLossTime = 60.0;     // seconds until one failure domain is lost
constexpr double kDetectionTime = 3.0; // seconds after the loss until no entry chooses a lost server
constexpr double kSeconds = 180.0;

instant At(double aSeconds)
{
  return instant(duration(static_cast<duration::rep>(aSeconds * 1e6)));
}

struct server
{
  std::priority_queue<double, std::vector<double>, std::greater<>> mEndTimes;
  double mIntakeFreeAt = 0.0; ///< when the thread that accepts requests is free
};

/// One attempt of a request, sent by an entry.
struct attempt
{
  double mTime;
  std::size_t mEntry;
  std::size_t mNumber;
  bool operator>(const attempt& aOther) const { return mTime > aOther.mTime; }
};

/// Results of one run.
struct retry_outcome
{
  double mAttempts = 0.0; ///< attempts per request after the loss
  double mServed = 0.0;   ///< as a fraction of the requests after the loss
};

enum class retry_rule
{
  Budget,
  Always,
  Never,
};

/// Returns whether the server is in the failure domain that is lost at kLossTime.
bool IsLost(std::size_t aServer)
{
  return aServer % kDomains == 0;
}

std::size_t RunningAt(server& aServer, double aNow)
{
  while (!aServer.mEndTimes.empty() && aServer.mEndTimes.top() <= aNow) {
    aServer.mEndTimes.pop();
  }
  return aServer.mEndTimes.size();
}

std::size_t DrawServer(double aNow, std::mt19937_64& aRandom)
{
  std::size_t candidate = aRandom() % kServers;
  while (aNow > kLossTime + kDetectionTime && IsLost(candidate)) {
    candidate = aRandom() % kServers;
  }
  return candidate;
}

/// Draws two servers and returns the less busy one.
std::size_t ChooseServer(std::vector<server>& aServers, double aNow, std::mt19937_64& aRandom)
{
  const std::size_t first = DrawServer(aNow, aRandom);
  const std::size_t second = DrawServer(aNow, aRandom);
  return RunningAt(aServers[first], aNow) <= RunningAt(aServers[second], aNow) ? first : second;
}

/// Simulates the loss of a failure domain. Servers without a free slot refuse requests; each attempt, even a refused
/// one, costs the server kRefusalCost.
retry_outcome RunRetries(retry_rule aRule, double aLoad, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<server> servers(kServers);
  std::vector<retry_budget> budgets(kEntries);
  std::priority_queue<attempt, std::vector<attempt>, std::greater<>> attempts;
  std::exponential_distribution<double> gap(aLoad * kServers * kSlots / kMeanService);
  std::exponential_distribution<double> service(1.0 / kMeanService);
  double nextArrival = gap(random);
  double requests = 0.0;
  double attemptCount = 0.0;
  double served = 0.0;
  while (nextArrival < kSeconds || !attempts.empty()) {
    attempt now{};
    if (attempts.empty() || (nextArrival < kSeconds && nextArrival <= attempts.top().mTime)) {
      now = { nextArrival, random() % kEntries, 1 };
      budgets[now.mEntry].RequestArrived(At(now.mTime));
      requests += now.mTime > kLossTime ? 1.0 : 0.0;
      nextArrival += gap(random);
    } else {
      now = attempts.top();
      attempts.pop();
    }
    const bool isMeasured = now.mTime > kLossTime;
    attemptCount += isMeasured ? 1.0 : 0.0;
    const std::size_t chosen = ChooseServer(servers, now.mTime, random);
    const bool isLost = isMeasured && IsLost(chosen);
    server& s = servers[chosen];
    s.mIntakeFreeAt = std::max(s.mIntakeFreeAt, now.mTime) + kRefusalCost;
    const bool intakeOverloaded = s.mIntakeFreeAt > now.mTime + 1.0;
    if (!isLost && !intakeOverloaded && s.mEndTimes.size() < kSlots) {
      s.mEndTimes.push(s.mIntakeFreeAt + service(random));
      served += isMeasured ? 1.0 : 0.0;
      continue;
    }
    const bool mayRetry = now.mNumber < kMaxAttempts && aRule != retry_rule::Never;
    if (mayRetry && (aRule == retry_rule::Always || budgets[now.mEntry].TryRetry(At(now.mTime)))) {
      attempts.push({ now.mTime + 0.005, now.mEntry, now.mNumber + 1 });
    }
  }
  return { attemptCount / requests, served / requests };
}

} // namespace

void CompareRetries(table& aTable, const seed_list& aSeeds)
{
  const std::pair<const char*, retry_rule> variants[] = { { "chervilpulley", retry_rule::Budget },
                                                          { "always retry", retry_rule::Always },
                                                          { "never retry", retry_rule::Never } };
  for (double load : { 0.6, 0.9, 1.2 }) {
    char scenario[64];
    std::snprintf(scenario, sizeof scenario, "1 of 4 lost, load %.1f", load);
    for (const auto& [name, rule] : variants) {
      row attempts{ "retry", scenario, name, "attempts / request", {}, false };
      row served{ "retry", scenario, name, "served / requests", {}, true };
      for (unsigned seed : aSeeds) {
        const retry_outcome outcome = RunRetries(rule, load, seed);
        attempts.mSamples.Add(outcome.mAttempts);
        served.mSamples.Add(outcome.mServed);
      }
      aTable.Add(attempts);
      aTable.Add(served);
    }
  }
}

} // namespace bench
