#include "comparisons.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "policy/admission_queue.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr std::size_t kSlots = 16;
constexpr double kStep = 0.02; // seconds
constexpr std::size_t kCapacity = 128;
constexpr double kSeconds = 3600.0;
constexpr double kWarmUp = 60.0;

instant At(double aSeconds)
{
  return instant(duration(static_cast<duration::rep>(aSeconds * 1e6)));
}

/// A request of a workspace.
struct job
{
  std::size_t mWorkspaceIndex;
  double mTokens;
};

/// A queue in front of one server. Offer returns false when it refuses the job.
struct job_queue
{
  virtual ~job_queue() = default;
  virtual bool Offer(const job& aJob, double aNow) = 0;
  virtual bool Next(job& aJob, double aNow) = 0;
};

struct fifo_queue : job_queue
{
  std::deque<job> mJobs;
  bool Offer(const job& aJob, double) override
  {
    if (mJobs.size() >= kCapacity) {
      return false;
    }
    mJobs.push_back(aJob);
    return true;
  }
  bool Next(job& aJob, double) override
  {
    if (mJobs.empty()) {
      return false;
    }
    aJob = mJobs.front();
    mJobs.pop_front();
    return true;
  }
};

/// Round robin over the workspaces by request, regardless of what a request costs.
struct round_robin_queue : job_queue
{
  std::vector<std::deque<job>> mJobs{ 16 };
  std::size_t mTurn = 0;
  bool Offer(const job& aJob, double) override
  {
    if (mJobs[aJob.mWorkspaceIndex].size() >= kCapacity / 4) {
      return false;
    }
    mJobs[aJob.mWorkspaceIndex].push_back(aJob);
    return true;
  }
  bool Next(job& aJob, double) override
  {
    for (std::size_t i = 0; i < mJobs.size(); ++i) {
      std::deque<job>& jobs = mJobs[++mTurn % mJobs.size()];
      if (!jobs.empty()) {
        aJob = jobs.front();
        jobs.pop_front();
        return true;
      }
    }
    return false;
  }
};

/// The admission queue of the sidecar.
struct fair_queue : job_queue
{
  admission_queue mQueue{ kCapacity };
  std::unordered_map<admission_ticket, job> mJobs;
  bool Offer(const job& aJob, double aNow) override
  {
    admission_request request;
    request.mWorkspace = workspace_id("member" + std::to_string(aJob.mWorkspaceIndex));
    request.mOutputTokens = token_count(static_cast<std::uint64_t>(aJob.mTokens));
    auto offered = mQueue.Offer(request, At(aNow));
    if (!offered) {
      return false;
    }
    mJobs[offered.value()] = aJob;
    return true;
  }
  bool Next(job& aJob, double aNow) override
  {
    auto grant = mQueue.Next(At(aNow));
    if (!grant) {
      return false;
    }
    aJob = mJobs.at(grant->mTicket);
    mJobs.erase(grant->mTicket);
    return true;
  }
};

/// Demand of one workspace, as a fraction of the server's capacity, and mean output length of its requests.
struct workspace_load
{
  double mDemand;
  double mMeanTokens;
};

struct arrival
{
  double mTime;
  job mJob;
  bool operator>(const arrival& aOther) const { return mTime > aOther.mTime; }
};

using arrivals = std::priority_queue<arrival, std::vector<arrival>, std::greater<>>;

arrivals DrawArrivals(const std::vector<workspace_load>& aWorkspaces, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  arrivals arrivalQueue;
  for (std::size_t i = 0; i < aWorkspaces.size(); ++i) {
    const double tokensPerSecond = aWorkspaces[i].mDemand * kSlots / kStep;
    std::exponential_distribution<double> gap(tokensPerSecond / aWorkspaces[i].mMeanTokens);
    std::exponential_distribution<double> tokens(1.0 / aWorkspaces[i].mMeanTokens);
    for (double now = gap(random); now < kSeconds; now += gap(random)) {
      arrivalQueue.push({ now, { i, 1.0 + tokens(random) } });
    }
  }
  return arrivalQueue;
}

/// Tokens served for each workspace after the warm-up, as a fraction of the capacity.
std::vector<double> Serve(job_queue& aQueue, arrivals aArrivals, std::size_t aWorkspaces)
{
  std::vector<double> served(aWorkspaces);
  std::priority_queue<double, std::vector<double>, std::greater<>> endTimes;
  auto startJobs = [&](double aNow) {
    job next{};
    while (endTimes.size() < kSlots && aQueue.Next(next, aNow)) {
      endTimes.push(aNow + next.mTokens * kStep);
      served[next.mWorkspaceIndex] += aNow > kWarmUp ? next.mTokens : 0.0;
    }
  };
  while (!aArrivals.empty()) {
    if (!endTimes.empty() && endTimes.top() <= aArrivals.top().mTime) {
      const double now = endTimes.top();
      endTimes.pop();
      startJobs(now);
      continue;
    }
    const arrival next = aArrivals.top();
    aArrivals.pop();
    aQueue.Offer(next.mJob, next.mTime);
    startJobs(next.mTime);
  }
  for (double& tokens : served) {
    tokens /= (kSeconds - kWarmUp) * kSlots / kStep;
  }
  return served;
}

/// Tokens that each workspace requested after the warm-up, as a fraction of the capacity.
std::vector<double> Offered(arrivals aArrivals, std::size_t aWorkspaces)
{
  std::vector<double> offered(aWorkspaces);
  while (!aArrivals.empty()) {
    const arrival& next = aArrivals.top();
    offered[next.mJob.mWorkspaceIndex] += next.mTime > kWarmUp ? next.mJob.mTokens : 0.0;
    aArrivals.pop();
  }
  for (double& tokens : offered) {
    tokens /= (kSeconds - kWarmUp) * kSlots / kStep;
  }
  return offered;
}

/// Returns the max-min fair share of each workspace.
std::vector<double> FairShares(const std::vector<double>& aOffered)
{
  std::vector<double> shares(aOffered.size());
  double remaining = 1.0;
  for (std::size_t round = 0; round < aOffered.size(); ++round) {
    std::size_t unsatisfied = 0;
    for (std::size_t i = 0; i < aOffered.size(); ++i) {
      unsatisfied += shares[i] < aOffered[i] ? 1 : 0;
    }
    if (unsatisfied == 0) {
      break;
    }
    const double portion = remaining / static_cast<double>(unsatisfied);
    for (std::size_t i = 0; i < aOffered.size(); ++i) {
      const double added = std::min(portion, aOffered[i] - shares[i]);
      shares[i] += added;
      remaining -= added;
    }
  }
  return shares;
}

/// Returns the lowest ratio of served tokens to fair share among the workspaces.
double WorstOfFair(job_queue& aQueue, const std::vector<workspace_load>& aWorkspaces, unsigned aSeed)
{
  const arrivals arrivalQueue = DrawArrivals(aWorkspaces, aSeed);
  const std::vector<double> fair = FairShares(Offered(arrivalQueue, aWorkspaces.size()));
  const std::vector<double> served = Serve(aQueue, arrivalQueue, aWorkspaces.size());
  double worst = 1.0;
  for (std::size_t i = 0; i < served.size(); ++i) {
    worst = std::min(worst, served[i] / fair[i]);
  }
  return worst;
}

/// Two workspaces that each request four times the capacity and eight that request aDemand, with several output
/// lengths.
std::vector<workspace_load> WithFloods(double aDemand)
{
  return { { 4.0, 480.0 },     { 4.0, 240.0 },     { aDemand, 240.0 }, { aDemand, 240.0 }, { aDemand, 120.0 },
           { aDemand, 240.0 }, { aDemand, 120.0 }, { aDemand, 240.0 }, { aDemand, 60.0 },  { aDemand, 240.0 } };
}

template<class Queue>
void AddRow(table& aTable,
            const std::string& aScenario,
            const std::string& aVariant,
            const std::vector<workspace_load>& aWorkspaces,
            const seed_list& aSeeds)
{
  row r{ "fairness", aScenario, aVariant, "worst share / fair share", {}, true };
  for (unsigned seed : aSeeds) {
    Queue queue;
    r.mSamples.Add(WorstOfFair(queue, aWorkspaces, seed));
  }
  aTable.Add(r);
}

} // namespace

void CompareFairness(table& aTable, const seed_list& aSeeds)
{
  const std::vector<std::pair<std::string, std::vector<workspace_load>>> scenarios{
    { "flood of one of three", { { 8.0, 240.0 }, { 0.5, 240.0 }, { 0.5, 240.0 } } },
    { "flood, long answers", { { 8.0, 1200.0 }, { 0.3, 120.0 }, { 0.3, 120.0 } } },
    { "two floods of ten", WithFloods(0.08) },
    { "same, all at fair share", WithFloods(0.1) },
  };
  for (const auto& [name, workspaces] : scenarios) {
    AddRow<fair_queue>(aTable, name, "chervilpulley", workspaces, aSeeds);
    AddRow<fifo_queue>(aTable, name, "first come first served", workspaces, aSeeds);
    AddRow<round_robin_queue>(aTable, name, "turns by request", workspaces, aSeeds);
  }
}

} // namespace bench
