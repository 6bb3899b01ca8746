#include "policy/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

struct placement_fixture
{
  std::vector<placement_server> mServers;
  std::vector<placement_model> mModels;

  void AddServers(int aCount, int aDomains, double aMemory = 100.0, double aSpeed = 1.0)
  {
    for (int i = 0; i < aCount; ++i) {
      placement_server server;
      server.mInstance = instance_id("s" + std::to_string(mServers.size()));
      server.mFailureDomain = failure_domain_id("d" + std::to_string(i % aDomains));
      server.mMemory = aMemory;
      server.mSpeed = aSpeed;
      mServers.push_back(server);
    }
  }
  void AddModel(const std::string& aName, std::uint32_t aStages, double aDemand)
  {
    mModels.push_back({ model_name(aName), 32, 1.0, aStages, aDemand });
  }
  placement_plan Apply()
  {
    placement_plan plan = PlanPlacement(mServers, mModels);
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mServers[i].mAssigned = plan.mDesired[i];
    }
    return plan;
  }
  std::map<std::string, int> CountPerRange() const
  {
    std::map<std::string, int> counts;
    for (const placement_server& server : mServers) {
      ++counts[server.mAssigned->mModel.Str() + std::to_string(server.mAssigned->mFirst.Value())];
    }
    return counts;
  }
};

struct reconcile_fixture
{
  layer_range mRange{ model_name("m"), layer_index(0), layer_index(15) };
  std::vector<member_key> mPending{ member_key(1), member_key(5), member_key(9) };
  placement_state mState;

  reconcile_fixture()
  {
    mState.mDesired = mRange;
    mState.mRevisionConfirmed = true;
    mState.mSelf = member_key(5);
    mState.mPending = mPending;
  }
};

} // namespace

TEST_CASE_METHOD(placement_fixture, "placement_of_new_servers_follows_demand")
{
  AddServers(40, 3);
  AddModel("a", 2, 3.0);
  AddModel("b", 1, 2.0);
  Apply();
  const std::map<std::string, int> expected{ { "a0", 12 }, { "a16", 12 }, { "b0", 16 } };
  REQUIRE(CountPerRange() == expected);
}

TEST_CASE_METHOD(placement_fixture, "placement_spreads_each_range_over_failure_domains")
{
  AddServers(12, 3);
  AddModel("a", 2, 1.0);
  Apply();
  std::map<std::pair<std::uint64_t, std::string>, int> counts;
  for (const placement_server& server : mServers) {
    ++counts[{ server.mAssigned->mFirst.Value(), server.mFailureDomain.Str() }];
  }
  REQUIRE(counts.size() == 6);
  REQUIRE(std::all_of(counts.begin(), counts.end(), [](const auto& aEntry) { return aEntry.second == 2; }));
}

TEST_CASE_METHOD(placement_fixture, "placement_after_small_change_of_demand_changes_nothing")
{
  AddServers(40, 3);
  AddModel("a", 2, 3.0);
  AddModel("b", 1, 2.0);
  Apply();
  mModels[1].mDemand = 2.3;
  REQUIRE(Apply().mChanges == 0);
}

TEST_CASE_METHOD(placement_fixture, "placement_after_loss_of_most_servers_of_a_range_reassigns_others")
{
  AddServers(10, 1);
  AddModel("a", 2, 1.0);
  Apply();
  std::erase_if(mServers, [](const placement_server& aServer) {
    return aServer.mAssigned->mFirst.Value() == 0 && aServer.mInstance.Str() != "s0";
  });
  REQUIRE(Apply().mChanges > 0);
  REQUIRE(CountPerRange().at("a0") >= 2);
}

TEST_CASE_METHOD(placement_fixture, "placement_never_exceeds_the_memory_of_a_server")
{
  AddServers(4, 1, 100.0);
  AddServers(4, 1, 20.0);
  AddModel("whole", 1, 1.0);
  AddModel("cut", 4, 1.0);
  Apply();
  for (const placement_server& server : mServers) {
    REQUIRE((server.mMemory > 50.0 || server.mAssigned->mModel.Str() == "cut"));
  }
}

TEST_CASE_METHOD(placement_fixture, "placement_splits_a_model_so_that_nearly_all_servers_can_hold_a_stage")
{
  AddServers(1, 1, 5.0);
  AddServers(4, 1, 25.0);
  AddServers(9, 1, 100.0);
  REQUIRE(StagesFor({ model_name("m"), 32, 1.0, 1, 1.0 }, mServers) == 2);
}

TEST_CASE("placement_of_its_own_result_changes_nothing")
{
  REQUIRE(rc::check([] {
    placement_fixture fixture;
    const int kinds = *rc::gen::inRange(1, 4);
    for (int i = 0; i < kinds; ++i) {
      const int domains = *rc::gen::inRange(1, 5);
      const double memory = *rc::gen::inRange(10, 80);
      fixture.AddServers(*rc::gen::inRange(1, 25), domains, memory, *rc::gen::inRange(1, 9));
    }
    const int models = *rc::gen::inRange(1, 5);
    for (int i = 0; i < models; ++i) {
      const std::uint32_t stages = *rc::gen::inRange(1U, 5U);
      fixture.AddModel("m" + std::to_string(i), stages, *rc::gen::inRange(1, 100));
    }
    fixture.Apply();
    RC_ASSERT(fixture.Apply().mChanges == 0U);
  }));
}

TEST_CASE_METHOD(reconcile_fixture, "reconcile_without_confirmed_revision_orders_nothing")
{
  mState.mRevisionConfirmed = false;
  REQUIRE(Reconcile(mState) == placement_action::AwaitConfig);
}

TEST_CASE_METHOD(reconcile_fixture, "reconcile_loads_in_turn_within_the_failure_domain")
{
  REQUIRE(Reconcile(mState) == placement_action::Load);
  mState.mSelf = member_key(9);
  REQUIRE(Reconcile(mState) == placement_action::AwaitTurn);
}

TEST_CASE_METHOD(reconcile_fixture, "reconcile_orders_nothing_while_loading_or_in_place")
{
  mState.mLoading = mRange;
  REQUIRE(Reconcile(mState) == placement_action::AwaitLoading);
  mState.mLoading.reset();
  mState.mCurrent = mRange;
  REQUIRE(Reconcile(mState) == placement_action::None);
  mState.mDesired.reset();
  REQUIRE(Reconcile(mState) == placement_action::Unload);
}
