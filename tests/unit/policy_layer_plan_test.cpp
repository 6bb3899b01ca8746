#include "policy/layer_plan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// The cards of one failure domain of the users' sheets: 80 layers of 1,750 MB.
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

  /// Plans, and lets all orders take effect.
  std::vector<layer_order> PlanAndApply()
  {
    const auto orders = PlanLayers(mModel, mEngines);
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

} // namespace

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_of_empty_engines_covers_every_layer")
{
  PlanAndApply();
  CHECK(Uncovered("east") == 0);
  CHECK(PlanAndApply().empty());
}

TEST_CASE_METHOD(layer_plan_fixture, "layer_plan_keeps_weights_within_memory")
{
  for (const layer_order& order : PlanLayers(mModel, mEngines)) {
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
  for (const layer_order& order : PlanLayers(mModel, mEngines)) {
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
  for (const layer_order& order : PlanLayers(mModel, mEngines)) {
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

TEST_CASE("layer_plan_of_any_engines_stays_within_memory_and_settles")
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
