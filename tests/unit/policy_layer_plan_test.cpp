#include "policy/layer_plan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// The cards of one failure domain, for a model of 80 layers of 1,750 MB.
struct layer_plan_fixture
{
  engine_model mModel;
  std::vector<plan_engine> mEngines;

  layer_plan_fixture()
  {
    mModel.mLayers = 80;
    mModel.mLayerMb = 1750;
    Add("east", "large", 36'000, 3);
    Add("east", "middle", 21'600, 3);
    Add("east", "small", 14'400, 5);
  }

  void Add(const std::string& aDomain, const std::string& aKind, double aMb, int aCount)
  {
    for (int each = 0; each < aCount; ++each) {
      plan_engine engine;
      engine.mId = backend_id(aDomain + "-" + aKind + "-" + std::to_string(each));
      engine.mDomain = failure_domain_id(aDomain);
      engine.mKind = { aKind, aMb, 1, 1 };
      mEngines.push_back(engine);
    }
  }

  plan_engine& Find(const backend_id& aId)
  {
    return *std::find_if(mEngines.begin(), mEngines.end(), [&](const auto& aEngine) { return aEngine.mId == aId; });
  }

  /// Plans and applies all orders.
  std::vector<layer_order> PlanAndApply()
  {
    const auto orders = PlanLayers(mModel, mEngines, interruption_rule::AnyStream);
    for (const layer_order& order : orders) {
      Find(order.mEngine).mHeld = order.mRange;
    }
    return orders;
  }

  std::uint32_t Uncovered(const std::string& aDomain) const
  {
    return UncoveredLayers(mModel, mEngines, failure_domain_id(aDomain));
  }
};

/// All layers were held, and an engine that was the only holder of some of them is gone.
struct gap_fixture : layer_plan_fixture
{
  std::size_t mGap = 0;

  gap_fixture()
  {
    PlanAndApply();
    mGap = static_cast<std::size_t>(
      std::find_if(mEngines.begin(), mEngines.end(), [&](plan_engine& aEngine) { return LeavesGap(aEngine); }) -
      mEngines.begin());
    mEngines.at(mGap).mGone = true;
  }

  bool LeavesGap(plan_engine& aEngine)
  {
    aEngine.mGone = true;
    const bool leaves = Uncovered("east") > 0;
    aEngine.mGone = false;
    return leaves;
  }

  std::vector<layer_order> Orders(interruption_rule aInterruptionRule) const
  {
    return PlanLayers(mModel, mEngines, aInterruptionRule);
  }
};

/// Simulates requests while a gap is filled: 25 requests per second arrive in the home domain, and a sixth of them
/// finds a path through another domain. Requests run for up to four seconds; running streams of other domains pass
/// through the engine that moves.
struct gap_simulation
{
  static constexpr int kEndMs = 8000;
  static constexpr int kArrivalIntervalMs = 40;
  static constexpr int kLoadMs = 1100;
  static constexpr int kMaxRunMs = 4000;
  static constexpr int kObjectiveMs = 500;
  static constexpr int kPatienceMs = 2000;
  static constexpr int kBorrowingInterval = 6;

  int mOnTime = 0;
  int mLate = 0;

  void Simulate(const layer_order& aOrder)
  {
    // Streams of other domains on the engine when it gets its order; each is served on time unless it is interrupted.
    constexpr int kPassingStreams = 20;
    int freeAt = 0;
    for (int each = 0; each < kPassingStreams; ++each) {
      const int endsAt = kMaxRunMs * (each + 1) / kPassingStreams;
      (aOrder.mInterruptsStreams ? mLate : mOnTime) += 1;
      freeAt = aOrder.mInterruptsStreams ? 0 : endsAt;
    }
    const int filledAt = freeAt + kLoadMs;
    for (int arrived = 0; arrived < kEndMs; arrived += kArrivalIntervalMs) {
      const int waits = (arrived / kArrivalIntervalMs) % kBorrowingInterval == 0 ? 0 : std::max(0, filledAt - arrived);
      if (waits <= kObjectiveMs) {
        ++mOnTime;
      } else if (waits <= kPatienceMs) {
        ++mLate;
      }
    }
  }
};

/// A failure domain whose cards have memory for almost three copies of the model.
struct ample_memory_fixture : layer_plan_fixture
{
  ample_memory_fixture()
  {
    mModel.mBytesPerTokenAndLayer = 4100;
    mEngines.clear();
    Add("east", "large", 36'000, 1);
    Add("east", "middle", 21'600, 11);
    Add("east", "small", 14'400, 16);
  }

  double Memory(const plan_engine& aEngine) const
  {
    return (aEngine.mKind.mMemoryMb - aEngine.mHeld.Size() * mModel.mLayerMb) * 1e6 / mModel.mBytesPerTokenAndLayer;
  }

  /// Number of tokens that the engines have memory for at the same time. It is limited by the tightest range of layers:
  /// the requests that pass through a range share the memory of all engines that hold a part of it.
  double TokensAtOnce() const
  {
    double least = std::numeric_limits<double>::max();
    for (std::uint32_t from = 0; from < mModel.mLayers; ++from) {
      for (std::uint32_t end = from + 1; end <= mModel.mLayers; ++end) {
        double memory = 0;
        for (const plan_engine& engine : mEngines) {
          const bool touches = engine.mHeld.mFrom < end && engine.mHeld.mEnd > from && !engine.mGone;
          memory += touches ? Memory(engine) : 0;
        }
        least = std::min(least, memory / (end - from));
      }
    }
    return least;
  }
};

} // namespace

TEST_CASE_METHOD(ample_memory_fixture, "layer_plan_with_spare_memory_spreads_further_holders_over_all_layers")
{
  PlanAndApply();
  for (std::uint32_t layer = 0; layer < mModel.mLayers; ++layer) {
    const auto holders =
      std::count_if(mEngines.begin(), mEngines.end(), [&](const auto& aEngine) { return aEngine.mHeld.Holds(layer); });
    INFO(layer);
    CHECK(holders >= 2);
    CHECK(holders <= 4);
  }
}

TEST_CASE_METHOD(ample_memory_fixture, "layer_plan_admits_most_of_the_requests_that_one_engine_with_all_memory_would")
{
  PlanAndApply();
  double all = 0;
  for (const plan_engine& engine : mEngines) {
    all += Memory(engine);
  }
  CHECK(TokensAtOnce() > 0.8 * all / mModel.mLayers);
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_leaves_more_memory_for_requests_where_paths_are_short")
{
  const failure_domain_id east("east");
  CHECK(WeightShare(mModel, mEngines, east) > 0.65);
  Add("west", "huge", 72'000, 1);
  Add("west", "large", 43'000, 5);
  Add("west", "middle", 21'600, 13);
  CHECK(WeightShare(mModel, mEngines, failure_domain_id("west")) < WeightShare(mModel, mEngines, east));
  Add("north", "small", 14'400, 30);
  CHECK(WeightShare(mModel, mEngines, failure_domain_id("north")) == kWeightShareForLongPaths);
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_of_empty_engines_covers_every_layer")
{
  PlanAndApply();
  CHECK(Uncovered("east") == 0);
  CHECK(PlanAndApply().empty());
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_keeps_weights_within_memory")
{
  for (const layer_order& order : PlanLayers(mModel, mEngines, interruption_rule::AnyStream)) {
    const double mb = Find(order.mEngine).mKind.mMemoryMb;
    CHECK(order.mRange.Size() * mModel.mLayerMb <= mb);
    CHECK(order.mRange.mEnd <= mModel.mLayers);
  }
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_after_any_one_loss_fills_the_gap_from_doubled_layers")
{
  PlanAndApply();
  const auto held = mEngines;
  for (std::size_t lost = 0; lost < held.size(); ++lost) {
    mEngines = held;
    mEngines[lost].mGone = true;
    INFO(mEngines[lost].mId.Str());
    for (int round = 0; round < 3; ++round) {
      PlanAndApply();
    }
    CHECK(Uncovered("east") == 0);
  }
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_never_moves_the_only_holder_of_a_layer")
{
  PlanAndApply();
  mEngines.front().mGone = true;
  const auto before = mEngines;
  for (const layer_order& order : PlanLayers(mModel, mEngines, interruption_rule::AnyStream)) {
    const layer_span left = Find(order.mEngine).mHeld;
    for (std::uint32_t layer = left.mFrom; layer < left.mEnd; ++layer) {
      const auto holders = std::count_if(before.begin(), before.end(), [&](const auto& aEngine) {
        return !aEngine.mGone && aEngine.mHeld.Holds(layer);
      });
      CHECK(holders >= 2);
    }
  }
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_gives_no_order_to_busy_or_leaving_engines")
{
  mEngines[0].mBusy = true;
  mEngines[1].mGone = true;
  for (const layer_order& order : PlanLayers(mModel, mEngines, interruption_rule::AnyStream)) {
    CHECK(order.mEngine != mEngines[0].mId);
    CHECK(order.mEngine != mEngines[1].mId);
  }
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_of_a_returned_engine_leaves_the_others_alone")
{
  PlanAndApply();
  mEngines[4].mHeld = {};
  const auto orders = PlanAndApply();
  REQUIRE(!orders.empty());
  CHECK(orders.size() <= 2);
  CHECK(Uncovered("east") == 0);
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_of_two_small_domains_covers_all_layers_between_them")
{
  mEngines.clear();
  Add("north", "small", 14'400, 7);
  Add("south", "small", 14'400, 8);
  PlanAndApply();
  std::vector<int> holders(mModel.mLayers, 0);
  for (const plan_engine& engine : mEngines) {
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < engine.mHeld.mEnd; ++layer) {
      ++holders[layer];
    }
  }
  CHECK(std::count(holders.begin(), holders.end(), 0) == 0);
}

TEST_CASE_METHOD(gap_fixture, "layer_plan_interrupts_streams_only_where_they_stall_for_a_lost_engine")
{
  // Lost: no engine holds its layers, and all streams of the domain wait for them.
  REQUIRE(!Orders(interruption_rule::AnyStream).empty());
  for (const layer_order& order : Orders(interruption_rule::AnyStream)) {
    CHECK(order.mInterruptsStreams);
  }
  // Leaving: it still serves the layers that it holds.
  mEngines[mGap].mStillServes = true;
  REQUIRE(!Orders(interruption_rule::AnyStream).empty());
  for (const layer_order& order : Orders(interruption_rule::AnyStream)) {
    CHECK_FALSE(order.mInterruptsStreams);
  }
}

TEST_CASE_METHOD(gap_fixture, "layer_plan_with_streams_that_cannot_be_resumed_interrupts_none_at_its_first_engine")
{
  for (plan_engine& engine : mEngines) {
    engine.mBusy = engine.mHeld.mFrom > 0;
  }
  REQUIRE(!Orders(interruption_rule::AnyStream).empty());
  for (const layer_order& order : Orders(interruption_rule::AnyStream)) {
    CHECK(order.mInterruptsStreams);
  }
  for (const layer_order& order : Orders(interruption_rule::LaterStages)) {
    CHECK_FALSE(order.mInterruptsStreams);
  }
}

TEST_CASE_METHOD(gap_fixture, "layer_plan_of_an_empty_engine_has_nothing_to_interrupt")
{
  plan_engine empty = mEngines[mGap];
  empty.mId = backend_id("new");
  empty.mHeld = {};
  empty.mGone = false;
  mEngines.push_back(empty);
  const auto orders = Orders(interruption_rule::AnyStream);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().mEngine == empty.mId);
  CHECK_FALSE(orders.front().mInterruptsStreams);
}

TEST_CASE_METHOD(gap_fixture, "layer_plan_that_interrupts_serves_more_on_time_than_one_that_waits")
{
  gap_simulation interrupting;
  interrupting.Simulate(Orders(interruption_rule::AnyStream).front());
  layer_order waits = Orders(interruption_rule::AnyStream).front();
  waits.mInterruptsStreams = false;
  gap_simulation waiting;
  waiting.Simulate(waits);
  CHECK(interrupting.mOnTime > waiting.mOnTime);
  CHECK(interrupting.mOnTime + interrupting.mLate > waiting.mOnTime + waiting.mLate);
}

TEST_CASE("layer_plan_of_any_engines_stays_within_memory_and_converges")
{
  REQUIRE(rc::check([] {
    layer_plan_fixture fixture;
    fixture.mEngines.clear();
    const int domains = *rc::gen::inRange(1, 4);
    for (int domain = 0; domain < domains; ++domain) {
      const std::string name = "d" + std::to_string(domain);
      fixture.Add(name, "large", 36'000, *rc::gen::inRange(0, 4));
      fixture.Add(name, "small", 14'400, *rc::gen::inRange(0, 9));
    }
    for (plan_engine& engine : fixture.mEngines) {
      engine.mGone = *rc::gen::inRange(0, 6) == 0;
    }
    std::size_t orders = 0;
    for (int round = 0; round < 40; ++round) {
      for (const layer_order& order : fixture.PlanAndApply()) {
        RC_ASSERT(order.mRange.Size() * fixture.mModel.mLayerMb <= fixture.Find(order.mEngine).mKind.mMemoryMb);
        RC_ASSERT(!fixture.Find(order.mEngine).mGone);
        ++orders;
      }
    }
    RC_ASSERT(fixture.PlanAndApply().empty());
    RC_ASSERT(orders <= 6 * fixture.mEngines.size());
  }));
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_with_engines_that_list_layers_beyond_the_model_orders_only_its_layers")
{
  for (const layer_span held :
       { layer_span{ 80, 81 }, layer_span{ 81, 82 }, layer_span{ 70, 81 }, layer_span{ 999'990, 1'000'000 } }) {
    INFO(held.mFrom);
    for (plan_engine& engine : mEngines) {
      engine.mHeld = {};
    }
    mEngines.front().mHeld = held;
    mEngines.back().mHeld = held;
    for (const layer_order& order : PlanLayers(mModel, mEngines, interruption_rule::AnyStream)) {
      CHECK(order.mRange.mEnd <= mModel.mLayers);
      CHECK(order.mRange.mFrom < order.mRange.mEnd);
    }
    PlanAndApply();
    CHECK(Uncovered("east") == 0);
  }
}
