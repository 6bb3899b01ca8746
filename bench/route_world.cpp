#include "route_world.h"

#include <algorithm>
#include <deque>
#include <queue>

#include "policy/subset.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr double kMeanAnswer = 239.0;   // tokens
constexpr double kMeanPrompt = 800.0;   // tokens
constexpr double kReportInterval = 1.0; // seconds
constexpr double kReportLag = 0.3;      // seconds between the engine's state and its arrival at a chooser
constexpr double kLinkDelay = 0.00025;  // seconds, one way
constexpr std::uint64_t kLayersPerStage = 16;

duration Micros(double aSeconds)
{
  return duration(static_cast<duration::rep>(aSeconds * 1e6));
}

double MeanService(const accelerator& aKind)
{
  return kMeanPrompt * aKind.mPrefillPerToken + kMeanAnswer * aKind.mStep;
}

/// A server with a batch of slots, first come first served.
struct server
{
  accelerator mKind{};
  std::size_t mStage = 0;
  subset_member mMember;
  std::string mDomain;
  double mLink = kLinkDelay;
  std::priority_queue<double, std::vector<double>, std::greater<>> mFreeAt;
  std::vector<std::pair<double, double>> mWork; // start and end
  std::vector<std::size_t> mViews;              // views that hold it

  /// Start of a request that arrives at aNow.
  double StartOf(double aNow) const { return std::max(aNow, mFreeAt.top()); }
  void Take(double aStart, double aService)
  {
    mFreeAt.pop();
    mFreeAt.push(aStart + aService);
    mWork.emplace_back(aStart, aStart + aService);
  }
  void CountAt(double aNow, std::uint32_t& aQueued, std::uint32_t& aRunning)
  {
    std::erase_if(mWork, [&](const auto& aSpan) { return aSpan.second <= aNow; });
    aRunning = static_cast<std::uint32_t>(
      std::count_if(mWork.begin(), mWork.end(), [&](const auto& aSpan) { return aSpan.first <= aNow; }));
    aQueued = static_cast<std::uint32_t>(mWork.size()) - aRunning;
  }
};

/// What one chooser knows of the servers of one stage.
struct view
{
  std::vector<std::size_t> mServers;
  std::vector<route_candidate> mCandidates;
  std::vector<double> mReportedAt;
  std::vector<std::deque<double>> mSent;
  std::size_t mTurn = 0;
};

struct event
{
  double mTime;
  std::size_t mServer;
  bool mDelivery;
  std::uint32_t mQueued;
  std::uint32_t mRunning;
  duration mCostToGo;
  bool operator>(const event& aOther) const { return mTime > aOther.mTime; }
};

class route_world
{
public:
  route_world(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed)
    : mScenario(aScenario)
    , mPolicy(aPolicy)
    , mWholeChain(aWholeChain)
    , mRandom(aSeed)
  {
    MakeServers();
    MakeViews();
  }

  route_outcome Run()
  {
    const double requestsPerSecond = mScenario.mLoad * Bound();
    std::exponential_distribution<double> gap(requestsPerSecond);
    for (double now = gap(mRandom); now < mScenario.mSeconds; now += gap(mRandom)) {
      HandleReports(now);
      Arrive(now);
    }
    return Outcome();
  }

private:
  /// Requests per second that the hardware allows: the least over stages, which is the max-flow of a chain of ranges.
  double Bound() const
  {
    std::vector<double> perStage(mScenario.mStages);
    for (const server& s : mServers) {
      perStage[s.mStage] += static_cast<double>(s.mKind.mSlots) / MeanService(s.mKind);
    }
    return *std::min_element(perStage.begin(), perStage.end());
  }

  void MakeServers()
  {
    mServers.resize(mScenario.mServers);
    std::uniform_real_distribution<double> phase(0.0, kReportInterval);
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      server& s = mServers[i];
      s.mStage = i % mScenario.mStages;
      s.mKind = mScenario.mKinds[(i / mScenario.mStages) % mScenario.mKinds.size()];
      const std::size_t domain = (i / mScenario.mStages) % mScenario.mDomains;
      s.mDomain = "domain" + std::to_string(domain);
      s.mMember = { KeyOf(instance_id("s" + std::to_string(i))), KeyOf(failure_domain_id(s.mDomain)) };
      s.mLink = domain + 1 == mScenario.mDomains ? mScenario.mSlowLink : kLinkDelay;
      for (std::size_t slot = 0; slot < s.mKind.mSlots; ++slot) {
        s.mFreeAt.push(0.0);
      }
      mEvents.push({ phase(mRandom), i, false, 0, 0, duration(0) });
    }
  }

  std::vector<std::size_t> OfStage(std::size_t aStage) const
  {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      if (mServers[i].mStage == aStage) {
        found.push_back(i);
      }
    }
    return found;
  }

  void MakeViews()
  {
    std::vector<subset_member> entries;
    for (std::size_t i = 0; i < mScenario.mEntries; ++i) {
      const std::string domain = "domain" + std::to_string(i % mScenario.mDomains);
      entries.push_back({ KeyOf(instance_id("e" + std::to_string(i))), KeyOf(failure_domain_id(domain)) });
    }
    const std::size_t stages = mWholeChain ? mScenario.mStages : 1;
    mEntryViews.resize(stages);
    for (std::size_t stage = 0; stage < stages; ++stage) {
      for (const subset_member& entry : entries) {
        mEntryViews[stage].push_back(MakeView(stage, entries, entry));
      }
    }
    mNextView.assign(mServers.size(), 0);
    if (mWholeChain) {
      return;
    }
    for (std::size_t stage = 0; stage + 1 < mScenario.mStages; ++stage) {
      const std::vector<std::size_t> own = OfStage(stage);
      std::vector<subset_member> choosers;
      choosers.reserve(own.size());
      for (std::size_t i : own) {
        choosers.push_back(mServers[i].mMember);
      }
      for (std::size_t i : own) {
        mNextView[i] = MakeView(stage + 1, choosers, mServers[i].mMember);
      }
    }
  }

  std::size_t MakeView(std::size_t aStage, const std::vector<subset_member>& aChoosers, const subset_member& aSelf)
  {
    const std::vector<std::size_t> all = OfStage(aStage);
    std::vector<subset_member> members;
    members.reserve(all.size());
    for (std::size_t i : all) {
      members.push_back(mServers[i].mMember);
    }
    const std::size_t target = mWholeChain ? members.size() : mScenario.mSubset;
    view made;
    for (std::size_t index : ChooseSubset(members, aChoosers, aSelf, target)) {
      const server& s = mServers[all[index]];
      made.mServers.push_back(all[index]);
      route_candidate candidate;
      candidate.mInstance = instance_id("s" + std::to_string(all[index]));
      candidate.mFailureDomain = failure_domain_id(s.mDomain);
      candidate.mFirstLayer = layer_index(aStage * kLayersPerStage);
      candidate.mLastLayer = layer_index((aStage + 1) * kLayersPerStage - 1);
      candidate.mStep = Micros(s.mKind.mStep);
      candidate.mPrefillPerToken = Micros(s.mKind.mPrefillPerToken);
      candidate.mLinkDelay = Micros(s.mLink);
      made.mCandidates.push_back(candidate);
      mServers[all[index]].mViews.push_back(mViews.size());
    }
    made.mReportedAt.assign(made.mServers.size(), 0.0);
    made.mSent.resize(made.mServers.size());
    mViews.push_back(std::move(made));
    return mViews.size() - 1;
  }

  void HandleReports(double aNow)
  {
    while (mEvents.top().mTime <= aNow) {
      event e = mEvents.top();
      mEvents.pop();
      if (e.mDelivery) {
        Deliver(e);
        continue;
      }
      mServers[e.mServer].CountAt(e.mTime, e.mQueued, e.mRunning);
      e.mCostToGo = Advertised(e);
      mEvents.push({ e.mTime + kReportInterval, e.mServer, false, 0, 0, duration(0) });
      e.mDelivery = true;
      e.mTime += kReportLag;
      mEvents.push(e);
    }
  }

  duration Advertised(const event& aEvent)
  {
    const server& s = mServers[aEvent.mServer];
    const stage_load own{ layer_index((s.mStage + 1) * kLayersPerStage - 1),
                          static_cast<std::uint32_t>(mScenario.mStages * kLayersPerStage),
                          aEvent.mQueued,
                          aEvent.mRunning,
                          static_cast<std::uint32_t>(s.mKind.mSlots),
                          Micros(s.mKind.mStep) };
    if (mWholeChain || s.mStage + 1 == mScenario.mStages) {
      return duration(0);
    }
    return CostToGo(own, mViews[mNextView[aEvent.mServer]].mCandidates).value_or(duration(0));
  }

  void Deliver(const event& aEvent)
  {
    const double madeAt = aEvent.mTime - kReportLag;
    for (std::size_t index : mServers[aEvent.mServer].mViews) {
      view& v = mViews[index];
      const auto place = std::lower_bound(v.mServers.begin(), v.mServers.end(), aEvent.mServer) - v.mServers.begin();
      route_candidate& candidate = v.mCandidates[place];
      candidate.mQueued = aEvent.mQueued;
      candidate.mRunning = aEvent.mRunning;
      candidate.mCostToGo = aEvent.mCostToGo;
      candidate.mSlots = static_cast<std::uint32_t>(mServers[aEvent.mServer].mKind.mSlots);
      v.mReportedAt[place] = madeAt;
      std::deque<double>& sent = v.mSent[place];
      while (!sent.empty() && sent.front() <= madeAt) {
        sent.pop_front();
      }
      candidate.mInFlightSinceReport = static_cast<std::uint32_t>(sent.size());
    }
  }

  std::size_t Choose(std::size_t aView, std::size_t aStage, double aPrompt, double aNow)
  {
    view& v = mViews[aView];
    for (std::size_t i = 0; i < v.mCandidates.size(); ++i) {
      v.mCandidates[i].mReportAge = Micros(aNow - v.mReportedAt[i]);
    }
    const route_request request{ layer_index(aStage * kLayersPerStage),
                                 token_count(static_cast<std::uint64_t>(aPrompt)) };
    const std::size_t chosen = mPolicy(v.mCandidates, request, v.mTurn, mRandom);
    v.mSent[chosen].push_back(aNow);
    ++v.mCandidates[chosen].mInFlightSinceReport;
    return v.mServers[chosen];
  }

  void Arrive(double aNow)
  {
    std::uniform_int_distribution<std::size_t> anyEntry(0, mScenario.mEntries - 1);
    std::exponential_distribution<double> answer(1.0 / kMeanAnswer);
    std::exponential_distribution<double> prompt(1.0 / kMeanPrompt);
    const std::size_t entry = anyEntry(mRandom);
    const double answerTokens = 1.0 + answer(mRandom);
    const double promptTokens = 1.0 + prompt(mRandom);
    double at = aNow;
    std::vector<std::pair<std::size_t, double>> starts;
    std::size_t previous = 0;
    for (std::size_t stage = 0; stage < mScenario.mStages; ++stage) {
      const bool byEntry = stage == 0 || mWholeChain;
      const std::size_t chooser = byEntry ? mEntryViews[mWholeChain ? stage : 0][entry] : mNextView[previous];
      const std::size_t chosen = Choose(chooser, stage, promptTokens, aNow);
      const server& s = mServers[chosen];
      const double start = s.StartOf(at + s.mLink);
      starts.emplace_back(chosen, start);
      at = start + promptTokens * s.mKind.mPrefillPerToken + s.mKind.mStep;
      previous = chosen;
    }
    const double firstToken = at - aNow;
    if (mScenario.mDeadline > 0.0 && firstToken > mScenario.mDeadline) {
      return; // its stages see that the deadline can't be met and refuse it
    }
    for (const auto& [chosen, start] : starts) {
      const accelerator& kind = mServers[chosen].mKind;
      mServers[chosen].Take(start, promptTokens * kind.mPrefillPerToken + answerTokens * kind.mStep);
    }
    if (aNow > mScenario.mWarmUp) {
      mFirstTokens.push_back(firstToken);
      const bool inTime = firstToken < mScenario.mSeconds - aNow;
      mServed += inTime ? 1.0 : 0.0;
    }
  }

  route_outcome Outcome()
  {
    std::sort(mFirstTokens.begin(), mFirstTokens.end());
    route_outcome outcome;
    outcome.mThroughput = mServed / (mScenario.mSeconds - mScenario.mWarmUp) / Bound();
    outcome.mFirstTokenP95 = mFirstTokens[mFirstTokens.size() * 95 / 100];
    return outcome;
  }

  const route_scenario& mScenario;
  const route_policy& mPolicy;
  bool mWholeChain;
  std::mt19937_64 mRandom;
  std::vector<server> mServers;
  std::vector<view> mViews;
  std::vector<std::vector<std::size_t>> mEntryViews; // by stage and entry
  std::vector<std::size_t> mNextView;                // by server
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::vector<double> mFirstTokens;
  double mServed = 0.0;
};

} // namespace

route_outcome RunRoutes(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed)
{
  return route_world(aScenario, aPolicy, aWholeChain, aSeed).Run();
}

} // namespace bench
