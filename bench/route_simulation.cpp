#include "route_simulation.h"

#include <algorithm>
#include <deque>
#include <queue>

#include "policy/subset.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr double kMeanOutput = 239.0;   // tokens
constexpr double kMeanPrompt = 800.0;   // tokens
constexpr double kReportInterval = 1.0; // seconds
constexpr double kReportLag = 0.3;      // seconds from reading the engine's state to the delivery of the report
constexpr double kLinkDelay = 0.00025;  // seconds, one way
constexpr std::uint64_t kLayersPerStage = 16;

duration Micros(double aSeconds)
{
  return duration(static_cast<duration::rep>(aSeconds * 1e6));
}

double MeanService(const accelerator& aKind)
{
  return kMeanPrompt * aKind.mPrefillPerToken + kMeanOutput * aKind.mStep;
}

/// A backend server with a batch of slots; requests are served in order of arrival.
struct server
{
  accelerator mKind{};
  std::size_t mStage = 0;
  subset_member mMember;
  std::string mDomain;
  double mOneWayDelay = kLinkDelay;
  std::priority_queue<double, std::vector<double>, std::greater<>> mFreeAt;
  std::vector<std::pair<double, double>> mBusyIntervals; // start and end time
  std::vector<std::size_t> mViews;                       // indices of the views that include this server

  /// Returns when a request that arrives at aNow starts.
  double StartTime(double aNow) const { return std::max(aNow, mFreeAt.top()); }
  void Schedule(double aStart, double aService)
  {
    mFreeAt.pop();
    mFreeAt.push(aStart + aService);
    mBusyIntervals.emplace_back(aStart, aStart + aService);
  }
  void CountAt(double aNow, std::uint32_t& aQueued, std::uint32_t& aRunning)
  {
    std::erase_if(mBusyIntervals, [&](const auto& aInterval) { return aInterval.second <= aNow; });
    aRunning = static_cast<std::uint32_t>(std::count_if(
      mBusyIntervals.begin(), mBusyIntervals.end(), [&](const auto& aInterval) { return aInterval.first <= aNow; }));
    aQueued = static_cast<std::uint32_t>(mBusyIntervals.size()) - aRunning;
  }
};

/// State of the servers of one stage as known to one instance that chooses among them.
struct view
{
  std::vector<std::size_t> mServers;
  std::vector<route_candidate> mCandidates;
  std::vector<double> mReportedAt;
  std::vector<std::deque<double>> mSendTimes;
  std::size_t mTurn = 0;
};

/// The making of a load report, or its delivery to the views.
struct event
{
  double mTime;
  std::size_t mServer;
  bool mIsDelivery;
  std::uint32_t mQueued;
  std::uint32_t mRunning;
  duration mCostToGo;
  bool operator>(const event& aOther) const { return mTime > aOther.mTime; }
};

/// One run of a scenario with one policy.
class route_simulation
{
public:
  route_simulation(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed)
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
    const double requestsPerSecond = mScenario.mLoad * MaxRequestRate();
    std::exponential_distribution<double> gap(requestsPerSecond);
    for (double now = gap(mRandom); now < mScenario.mSeconds; now += gap(mRandom)) {
      HandleReports(now);
      HandleArrival(now);
    }
    return Outcome();
  }

private:
  /// Requests per second that the hardware allows: the minimum over the stages, which is the max-flow of a chain of
  /// ranges.
  double MaxRequestRate() const
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
      s.mKind = mScenario.mAccelerators[(i / mScenario.mStages) % mScenario.mAccelerators.size()];
      const std::size_t domain = (i / mScenario.mStages) % mScenario.mDomains;
      s.mDomain = "domain" + std::to_string(domain);
      s.mMember = { KeyOf(instance_id("s" + std::to_string(i))), KeyOf(failure_domain_id(s.mDomain)) };
      s.mOneWayDelay = domain + 1 == mScenario.mDomains ? mScenario.mSlowLink : kLinkDelay;
      for (std::size_t slot = 0; slot < s.mKind.mSlots; ++slot) {
        s.mFreeAt.push(0.0);
      }
      mEvents.push({ phase(mRandom), i, false, 0, 0, duration(0) });
    }
  }

  std::vector<std::size_t> ServersOfStage(std::size_t aStage) const
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
    mNextStageView.assign(mServers.size(), 0);
    if (mWholeChain) {
      return;
    }
    for (std::size_t stage = 0; stage + 1 < mScenario.mStages; ++stage) {
      const std::vector<std::size_t> own = ServersOfStage(stage);
      std::vector<subset_member> clients;
      clients.reserve(own.size());
      for (std::size_t i : own) {
        clients.push_back(mServers[i].mMember);
      }
      for (std::size_t i : own) {
        mNextStageView[i] = MakeView(stage + 1, clients, mServers[i].mMember);
      }
    }
  }

  std::size_t MakeView(std::size_t aStage, const std::vector<subset_member>& aClients, const subset_member& aSelf)
  {
    const std::vector<std::size_t> all = ServersOfStage(aStage);
    std::vector<subset_member> members;
    members.reserve(all.size());
    for (std::size_t i : all) {
      members.push_back(mServers[i].mMember);
    }
    const std::size_t target = mWholeChain ? members.size() : mScenario.mSubset;
    view made;
    for (std::size_t index : ChooseSubset(members, aClients, aSelf, target)) {
      const server& s = mServers[all[index]];
      made.mServers.push_back(all[index]);
      route_candidate candidate;
      candidate.mInstance = instance_id("s" + std::to_string(all[index]));
      candidate.mFailureDomain = failure_domain_id(s.mDomain);
      candidate.mFirstLayer = layer_index(aStage * kLayersPerStage);
      candidate.mLastLayer = layer_index((aStage + 1) * kLayersPerStage - 1);
      candidate.mStep = Micros(s.mKind.mStep);
      candidate.mPrefillPerToken = Micros(s.mKind.mPrefillPerToken);
      candidate.mLinkDelay = Micros(s.mOneWayDelay);
      made.mCandidates.push_back(candidate);
      mServers[all[index]].mViews.push_back(mViews.size());
    }
    made.mReportedAt.assign(made.mServers.size(), 0.0);
    made.mSendTimes.resize(made.mServers.size());
    mViews.push_back(std::move(made));
    return mViews.size() - 1;
  }

  void HandleReports(double aNow)
  {
    while (mEvents.top().mTime <= aNow) {
      event e = mEvents.top();
      mEvents.pop();
      if (e.mIsDelivery) {
        Deliver(e);
        continue;
      }
      mServers[e.mServer].CountAt(e.mTime, e.mQueued, e.mRunning);
      e.mCostToGo = AdvertisedCost(e);
      mEvents.push({ e.mTime + kReportInterval, e.mServer, false, 0, 0, duration(0) });
      e.mIsDelivery = true;
      e.mTime += kReportLag;
      mEvents.push(e);
    }
  }

  duration AdvertisedCost(const event& aEvent)
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
    return CostToGo(own, mViews[mNextStageView[aEvent.mServer]].mCandidates).value_or(duration(0));
  }

  void Deliver(const event& aEvent)
  {
    const double madeAt = aEvent.mTime - kReportLag;
    for (std::size_t index : mServers[aEvent.mServer].mViews) {
      view& chooserView = mViews[index];
      const auto position = std::lower_bound(chooserView.mServers.begin(), chooserView.mServers.end(), aEvent.mServer) -
                            chooserView.mServers.begin();
      route_candidate& candidate = chooserView.mCandidates[position];
      candidate.mQueued = aEvent.mQueued;
      candidate.mRunning = aEvent.mRunning;
      candidate.mCostToGo = aEvent.mCostToGo;
      candidate.mSlots = static_cast<std::uint32_t>(mServers[aEvent.mServer].mKind.mSlots);
      chooserView.mReportedAt[position] = madeAt;
      std::deque<double>& sent = chooserView.mSendTimes[position];
      while (!sent.empty() && sent.front() <= madeAt) {
        sent.pop_front();
      }
      candidate.mInFlightSinceReport = static_cast<std::uint32_t>(sent.size());
    }
  }

  std::size_t Choose(std::size_t aView, std::size_t aStage, double aPrompt, double aNow)
  {
    view& chooserView = mViews[aView];
    for (std::size_t i = 0; i < chooserView.mCandidates.size(); ++i) {
      chooserView.mCandidates[i].mReportAge = Micros(aNow - chooserView.mReportedAt[i]);
    }
    const route_request request{ layer_index(aStage * kLayersPerStage),
                                 token_count(static_cast<std::uint64_t>(aPrompt)) };
    const std::size_t chosen = mPolicy(chooserView.mCandidates, request, chooserView.mTurn, mRandom);
    chooserView.mSendTimes[chosen].push_back(aNow);
    ++chooserView.mCandidates[chosen].mInFlightSinceReport;
    return chooserView.mServers[chosen];
  }

  void HandleArrival(double aNow)
  {
    std::uniform_int_distribution<std::size_t> anyEntry(0, mScenario.mEntries - 1);
    std::exponential_distribution<double> outputLength(1.0 / kMeanOutput);
    std::exponential_distribution<double> promptLength(1.0 / kMeanPrompt);
    const std::size_t entry = anyEntry(mRandom);
    const double outputTokens = 1.0 + outputLength(mRandom);
    const double promptTokens = 1.0 + promptLength(mRandom);
    double at = aNow;
    std::vector<std::pair<std::size_t, double>> starts;
    std::size_t previous = 0;
    for (std::size_t stage = 0; stage < mScenario.mStages; ++stage) {
      const bool byEntry = stage == 0 || mWholeChain;
      const std::size_t viewIndex = byEntry ? mEntryViews[mWholeChain ? stage : 0][entry] : mNextStageView[previous];
      const std::size_t chosen = Choose(viewIndex, stage, promptTokens, aNow);
      const server& s = mServers[chosen];
      const double start = s.StartTime(at + s.mOneWayDelay);
      starts.emplace_back(chosen, start);
      at = start + promptTokens * s.mKind.mPrefillPerToken + s.mKind.mStep;
      previous = chosen;
    }
    const double firstToken = at - aNow;
    if (mScenario.mDeadline > 0.0 && firstToken > mScenario.mDeadline) {
      return; // its stages refuse it because the deadline can't be met
    }
    for (const auto& [chosen, start] : starts) {
      const accelerator& kind = mServers[chosen].mKind;
      mServers[chosen].Schedule(start, promptTokens * kind.mPrefillPerToken + outputTokens * kind.mStep);
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
    outcome.mThroughput = mServed / (mScenario.mSeconds - mScenario.mWarmUp) / MaxRequestRate();
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
  std::vector<std::size_t> mNextStageView;           // by server
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::vector<double> mFirstTokens;
  double mServed = 0.0;
};

} // namespace

route_outcome RunRoutes(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed)
{
  return route_simulation(aScenario, aPolicy, aWholeChain, aSeed).Run();
}

} // namespace bench
