#include "policy/engine_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "policy/path_choice.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;
using std::chrono::milliseconds;

namespace {

constexpr duration kObjective = milliseconds(500);
/// Callers give up when they have received nothing for this time.
constexpr duration kPatience = milliseconds(2000);

/// An engine that starts requests in the order of their arrival, as many at a time as it has slots.
struct simulated_engine
{
  std::size_t mSlots = 1;
  duration mRunTime{ 0 };
  std::vector<instant> mEnds; ///< of running requests
  std::deque<std::size_t> mQueue;
};

struct simulated_request
{
  std::size_t mGateway = 0;
  std::size_t mEngine = 0;
  double mInputTokens = 0;
  instant mArrived;
  bool mIsLeft = false; ///< the caller has given up
  bool mIsStarted = false;
  duration mWaited{ 0 };
};

struct outcome
{
  std::size_t mAll = 0;
  std::size_t mOnTime = 0;
  std::size_t mGivenUp = 0;

  double OnTimeShare() const { return static_cast<double>(mOnTime) / static_cast<double>(mAll); }
};

/// Gateways that share a fast engine and a slow one without knowing of each other's requests. The fast engine alone can
/// serve 12 requests per second, both together 29.
struct shared_engines_fixture
{
  static constexpr std::size_t kGateways = 8;
  static constexpr duration kTick = milliseconds(10);
  static constexpr duration kLength = std::chrono::seconds(20);

  engine_model mModel;
  std::vector<path_engine> mHolders;
  std::vector<simulated_engine> mEngines{ { 24, milliseconds(2000), {}, {} }, { 60, milliseconds(3500), {}, {} } };
  std::vector<std::vector<engine_queue>> mQueues{ kGateways, std::vector<engine_queue>(2) };
  std::vector<simulated_request> mRequests;
  std::mt19937 mRandom{ 20261204 };
  bool mKnowsQueues = true;

  shared_engines_fixture()
  {
    mModel.mLayers = 8;
    mModel.mLayerMb = 1000;
    mModel.mBytesPerTokenAndLayer = 4000;
    mModel.mSlots = 1000;
    mModel.mStep = fractional_ms(10);
    mModel.mPrefillTokensPerSecond = 100'000;
    for (const double scale : { 1.0, 1.75 }) {
      path_engine engine;
      engine.mDomain = failure_domain_id("east");
      engine.mKind = { "card", 100'000, scale, scale };
      engine.mHeld = { 0, 8 };
      mHolders.push_back(engine);
    }
  }

  void Arrive(instant aNow)
  {
    simulated_request request;
    request.mGateway = mRandom() % kGateways;
    request.mInputTokens = mRandom() % 2 == 0 ? 200 : 2000;
    request.mArrived = aNow;
    path_request query;
    query.mInputTokens = request.mInputTokens;
    query.mOutputTokens = 200;
    query.mHome = failure_domain_id("east");
    query.mMaxQueueWait = kObjective / 2;
    for (std::size_t index = 0; index < mHolders.size(); ++index) {
      const duration wait = mQueues[request.mGateway][index].Wait(aNow);
      mHolders[index].mQueueWait = mKnowsQueues ? fractional_ms(wait) : fractional_ms(0);
    }
    const auto path = ChoosePath(mModel, mHolders, query);
    REQUIRE(path);
    request.mEngine = path->mStages.front().mEngine;
    mQueues[request.mGateway][request.mEngine].Sent(aNow);
    mEngines[request.mEngine].mQueue.push_back(mRequests.size());
    mRequests.push_back(request);
  }

  void Serve(simulated_engine& aEngine, instant aNow)
  {
    std::erase_if(aEngine.mEnds, [&](instant aEnd) { return aEnd <= aNow; });
    for (const std::size_t index : aEngine.mQueue) {
      simulated_request& request = mRequests[index];
      if (!request.mIsLeft && aNow - request.mArrived > kPatience) {
        request.mIsLeft = true;
        mQueues[request.mGateway][request.mEngine].Left(request.mArrived);
      }
    }
    while (!aEngine.mQueue.empty() && aEngine.mEnds.size() < aEngine.mSlots) {
      simulated_request& request = mRequests[aEngine.mQueue.front()];
      aEngine.mQueue.pop_front();
      if (!request.mIsLeft) {
        request.mIsStarted = true;
        request.mWaited = aNow - request.mArrived;
        aEngine.mEnds.push_back(aNow + aEngine.mRunTime);
        mQueues[request.mGateway][request.mEngine].Left(request.mArrived);
      }
    }
  }

  /// Plays 20 requests per second, of which the fast engine can serve 12.
  void Play()
  {
    const instant begin = instant() + std::chrono::hours(1);
    instant next = begin;
    for (instant now = begin; now < begin + kLength; now += kTick) {
      for (; next <= now; next += milliseconds(50)) {
        Arrive(next);
      }
      for (simulated_engine& engine : mEngines) {
        Serve(engine, now);
      }
    }
  }

  template<class Condition>
  outcome OutcomeOf(Condition aCondition) const
  {
    outcome result;
    for (const simulated_request& request : mRequests) {
      if (aCondition(request)) {
        ++result.mAll;
        result.mOnTime += request.mIsStarted && request.mWaited <= kObjective ? 1 : 0;
        result.mGivenUp += request.mIsLeft ? 1 : 0;
      }
    }
    return result;
  }

  outcome Outcome() const
  {
    return OutcomeOf([](const simulated_request&) { return true; });
  }
};

} // namespace

TEST_CASE("engine_queue_whose_requests_start_at_once_predicts_no_wait")
{
  const instant begin = instant() + std::chrono::hours(1);
  engine_queue queue;
  CHECK(queue.Wait(begin) == duration::zero());
  queue.Sent(begin);
  CHECK(queue.Wait(begin + milliseconds(50)) == duration::zero());
  queue.Left(begin);
  CHECK(queue.Wait(begin + milliseconds(900)) == duration::zero());
}

TEST_CASE("engine_queue_with_unstarted_requests_predicts_the_wait_of_the_oldest")
{
  const instant begin = instant() + std::chrono::hours(1);
  engine_queue queue;
  queue.Sent(begin + milliseconds(300));
  queue.Sent(begin);
  queue.Sent(begin);
  CHECK(queue.Wait(begin + milliseconds(700)) == milliseconds(700));
  queue.Left(begin);
  CHECK(queue.Wait(begin + milliseconds(700)) == milliseconds(700));
  queue.Left(begin);
  queue.Left(begin);
  CHECK(queue.Wait(begin + milliseconds(700)) == milliseconds(400));
}

TEST_CASE_METHOD(shared_engines_fixture, "engine_queue_under_more_load_than_the_fast_engine_serves_starts_most_on_time")
{
  Play();
  shared_engines_fixture blind;
  blind.mKnowsQueues = false;
  blind.Play();
  // The fast engine alone could start 12 of 20.
  CHECK(Outcome().OnTimeShare() > 0.6);
  CHECK(Outcome().OnTimeShare() > 2 * blind.Outcome().OnTimeShare());
  CHECK(Outcome().mGivenUp == 0);
}

TEST_CASE_METHOD(shared_engines_fixture, "engine_queue_under_load_starves_neither_small_nor_large_requests")
{
  Play();
  const auto small = OutcomeOf([](const simulated_request& aRequest) { return aRequest.mInputTokens < 1000; });
  const auto large = OutcomeOf([](const simulated_request& aRequest) { return aRequest.mInputTokens > 1000; });
  // By the users' rules a difference counts from 15 in 100 on.
  CHECK(std::abs(small.OnTimeShare() - large.OnTimeShare()) < 0.15);
}
