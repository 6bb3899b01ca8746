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

struct job
{
  std::size_t mMember;
  double mTokens;
};

/// A queue before one server: Offer tells whether it took the job.
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

/// Takes turns by request, whatever a request costs.
struct turn_queue : job_queue
{
  std::vector<std::deque<job>> mJobs{ 16 };
  std::size_t mTurn = 0;
  bool Offer(const job& aJob, double) override
  {
    if (mJobs[aJob.mMember].size() >= kCapacity / 4) {
      return false;
    }
    mJobs[aJob.mMember].push_back(aJob);
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

struct our_queue : job_queue
{
  admission_queue mQueue{ kCapacity };
  std::unordered_map<admission_ticket, job> mJobs;
  bool Offer(const job& aJob, double aNow) override
  {
    admission_request request;
    request.mWorkspace = workspace_id("member" + std::to_string(aJob.mMember));
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

/// Demand of one member, as a part of the server's capacity, and tokens of its usual answer.
struct member
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

arrivals DrawArrivals(const std::vector<member>& aMembers, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  arrivals all;
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const double tokensPerSecond = aMembers[i].mDemand * kSlots / kStep;
    std::exponential_distribution<double> gap(tokensPerSecond / aMembers[i].mMeanTokens);
    std::exponential_distribution<double> tokens(1.0 / aMembers[i].mMeanTokens);
    for (double now = gap(random); now < kSeconds; now += gap(random)) {
      all.push({ now, { i, 1.0 + tokens(random) } });
    }
  }
  return all;
}

/// Tokens served for each member after the warm-up, as a part of the capacity.
std::vector<double> Serve(job_queue& aQueue, arrivals aArrivals, std::size_t aMembers)
{
  std::vector<double> served(aMembers);
  std::priority_queue<double, std::vector<double>, std::greater<>> ends;
  auto start = [&](double aNow) {
    job next{};
    while (ends.size() < kSlots && aQueue.Next(next, aNow)) {
      ends.push(aNow + next.mTokens * kStep);
      served[next.mMember] += aNow > kWarmUp ? next.mTokens : 0.0;
    }
  };
  while (!aArrivals.empty()) {
    if (!ends.empty() && ends.top() <= aArrivals.top().mTime) {
      const double now = ends.top();
      ends.pop();
      start(now);
      continue;
    }
    const arrival next = aArrivals.top();
    aArrivals.pop();
    aQueue.Offer(next.mJob, next.mTime);
    start(next.mTime);
  }
  for (double& tokens : served) {
    tokens /= (kSeconds - kWarmUp) * kSlots / kStep;
  }
  return served;
}

/// Tokens that each member asked for after the warm-up, as a part of the capacity.
std::vector<double> Offered(arrivals aArrivals, std::size_t aMembers)
{
  std::vector<double> offered(aMembers);
  while (!aArrivals.empty()) {
    const arrival& next = aArrivals.top();
    offered[next.mJob.mMember] += next.mTime > kWarmUp ? next.mJob.mTokens : 0.0;
    aArrivals.pop();
  }
  for (double& tokens : offered) {
    tokens /= (kSeconds - kWarmUp) * kSlots / kStep;
  }
  return offered;
}

/// Max-min fair part of each member.
std::vector<double> FairShares(const std::vector<double>& aOffered)
{
  std::vector<double> shares(aOffered.size());
  double left = 1.0;
  for (std::size_t round = 0; round < aOffered.size(); ++round) {
    std::size_t open = 0;
    for (std::size_t i = 0; i < aOffered.size(); ++i) {
      open += shares[i] < aOffered[i] ? 1 : 0;
    }
    if (open == 0) {
      break;
    }
    const double part = left / static_cast<double>(open);
    for (std::size_t i = 0; i < aOffered.size(); ++i) {
      const double more = std::min(part, aOffered[i] - shares[i]);
      shares[i] += more;
      left -= more;
    }
  }
  return shares;
}

double WorstOfFair(job_queue& aQueue, const std::vector<member>& aMembers, unsigned aSeed)
{
  const arrivals all = DrawArrivals(aMembers, aSeed);
  const std::vector<double> fair = FairShares(Offered(all, aMembers.size()));
  const std::vector<double> served = Serve(aQueue, all, aMembers.size());
  double worst = 1.0;
  for (std::size_t i = 0; i < served.size(); ++i) {
    worst = std::min(worst, served[i] / fair[i]);
  }
  return worst;
}

/// Two members that flood and eight that ask for aDemand, with answers of several lengths.
std::vector<member> WithFloods(double aDemand)
{
  return { { 4.0, 480.0 },     { 4.0, 240.0 },     { aDemand, 240.0 }, { aDemand, 240.0 }, { aDemand, 120.0 },
           { aDemand, 240.0 }, { aDemand, 120.0 }, { aDemand, 240.0 }, { aDemand, 60.0 },  { aDemand, 240.0 } };
}

template<class Queue>
void AddRow(table& aTable,
            const std::string& aScenario,
            const std::string& aVariant,
            const std::vector<member>& aMembers,
            const seed_list& aSeeds)
{
  row r{ "fairness", aScenario, aVariant, "worst share / fair share", {}, true };
  for (unsigned seed : aSeeds) {
    Queue queue;
    r.mSamples.Add(WorstOfFair(queue, aMembers, seed));
  }
  aTable.Add(r);
}

} // namespace

void CompareFairness(table& aTable, const seed_list& aSeeds)
{
  const std::vector<std::pair<std::string, std::vector<member>>> scenarios{
    { "flood of one of three", { { 8.0, 240.0 }, { 0.5, 240.0 }, { 0.5, 240.0 } } },
    { "flood, long answers", { { 8.0, 1200.0 }, { 0.3, 120.0 }, { 0.3, 120.0 } } },
    { "two floods of ten", WithFloods(0.08) },
    { "same, all at fair share", WithFloods(0.1) },
  };
  for (const auto& [name, members] : scenarios) {
    AddRow<our_queue>(aTable, name, "chervilpulley", members, aSeeds);
    AddRow<fifo_queue>(aTable, name, "first come first served", members, aSeeds);
    AddRow<turn_queue>(aTable, name, "turns by request", members, aSeeds);
  }
}

} // namespace bench
