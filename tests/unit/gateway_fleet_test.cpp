#include "gateway/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

/// Two failure domains with two engines each, all of which hold every layer.
struct fleet_fixture
{
  const pool_name mPool{ "engines" };
  const instant mBegin = instant() + std::chrono::hours(1);
  ref<fleet> mFleet;

  fleet_fixture()
    : mFleet(MakeRef<fleet>(failure_domain_id("east"), milliseconds(2000), policy::retry_bounds{}))
  {
    auto made = MakeRef<configuration>();
    pool pool;
    pool.mName = mPool;
    pool.mEngine = Model();
    made->mPools.push_back(pool);
    made->Index();
    mFleet->SetConfiguration(made);
    List({ Engine("east-1", "east"), Engine("east-2", "east"), Engine("west-1", "west"), Engine("west-2", "west") });
  }

  static policy::engine_model Model()
  {
    policy::engine_model model;
    model.mLayers = 8;
    model.mLayerMb = 1000;
    model.mBytesPerTokenAndLayer = 4000;
    model.mStep = policy::fractional_ms(1);
    model.mPrefillTokensPerSecond = 100'000;
    model.mKinds.push_back({ "card", 16'000, 1, 1 });
    return model;
  }

  policy::backend_member Engine(const std::string& aId, const std::string& aDomain, policy::layer_span aHeld = { 0, 8 })
  {
    policy::backend_member member;
    member.mId = backend_id(aId);
    member.mPool = mPool;
    member.mAddress = "127.0.0.1:" + std::to_string(9000 + std::hash<std::string>{}(aId) % 1000);
    member.mDomain = failure_domain_id(aDomain);
    member.mAccelerator = "card";
    member.mLayers = aHeld;
    member.mStartedAt = 1;
    return member;
  }

  void List(std::vector<policy::backend_member> aMembers)
  {
    mFleet->Members().Listed(std::move(aMembers), mBegin);
    mFleet->MembersChanged(mBegin);
  }

  /// Later than the time within which a missing entry may come back.
  const instant mLater = mBegin + std::chrono::seconds(10);

  void Remove(const backend_id& aId)
  {
    mFleet->Members().Removed(aId, mLater);
    mFleet->MembersChanged(mLater);
  }

  /// The engine that a request would get.
  std::string Chosen(instant aNow)
  {
    path_question question;
    question.mPool = mPool;
    question.mInputTokens = 100;
    question.mOutputTokens = 10;
    const auto path = mFleet->ChoosePath(question, aNow);
    return path ? path->mStages.front().mEngine.Str() : "";
  }

  void Report(const std::string& aId, double aSlowness, instant aNow)
  {
    wire::engine_report report;
    report.mLayers = { 0, 8 };
    report.mSlowdownFactor = aSlowness;
    mFleet->Reported(backend_id(aId), report, aNow);
  }
};

} // namespace

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_gives_up_layers_sends_it_nothing_new_while_it_is_told_so")
{
  const std::string first = Chosen(mBegin);
  mFleet->BelieveMoving(backend_id(first), mBegin);
  CHECK(Chosen(mBegin) != first);
  CHECK(mFleet->IsMoving(backend_id(first), mBegin));
  mFleet->BelieveMoving(backend_id(first), mBegin + kMovingBelief / 2);
  CHECK(Chosen(mBegin + kMovingBelief) != first);
  CHECK(Chosen(mBegin + kMovingBelief * 2) == first);
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_engine_that_has_cut_off_its_streams_holds_it_for_moving_until_it_has_loaded")
{
  const backend_id moving("east-1");
  mFleet->BelieveMoving(moving, mBegin);
  List({ Engine("east-1", "east", {}), Engine("east-2", "east") });
  CHECK(mFleet->IsMoving(moving, mBegin + milliseconds(100)));
  List({ Engine("east-1", "east", { 0, 4 }), Engine("east-2", "east") });
  CHECK_FALSE(mFleet->IsMoving(moving, mBegin + milliseconds(200)));
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_engine_that_has_left_the_list_holds_its_runs_for_alive_until_it_is_found_lost")
{
  const policy::backend_member left = Engine("east-1", "east");
  Remove(left.mId);
  CHECK(mFleet->MayBeAlive(left));
  CHECK_FALSE(mFleet->IsFoundLost(left.mId, mLater));
  CHECK(mFleet->IsBelievedLost(left.mId, mLater));
  CHECK(mFleet->AddressOf(left.mId));
  // A new path of a stream that goes on there makes no entry of it.
  chosen_path path;
  path.mStages.push_back({ left.mId, left.mAddress, left.mLayers, left.mDomain });
  mFleet->Promise(path);
  mFleet->MembersChanged(mLater);
  CHECK(mFleet->MayBeAlive(left));
  mFleet->BelieveLost(left.mId, mLater);
  CHECK_FALSE(mFleet->MayBeAlive(left));
  CHECK(mFleet->IsFoundLost(left.mId, mLater));
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_engine_that_was_lost_and_left_the_list_or_started_again_counts_no_runs_there")
{
  const policy::backend_member lost = Engine("east-1", "east");
  mFleet->BelieveLost(lost.mId, mLater);
  CHECK(mFleet->MayBeAlive(lost));
  Remove(lost.mId);
  CHECK_FALSE(mFleet->MayBeAlive(lost));
  policy::backend_member again = Engine("east-2", "east");
  again.mStartedAt = 2;
  List({ again });
  CHECK_FALSE(mFleet->MayBeAlive(Engine("east-2", "east")));
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_slow_engines_at_home_chooses_another_domain_and_asks_the_slow_ones_again")
{
  Report("east-1", 12, mBegin);
  Report("east-2", 12, mBegin);
  CHECK(Chosen(mBegin).starts_with("west"));
  CHECK(mFleet->SlowSoFar(mBegin).empty());
  const auto slow = mFleet->SlowSoFar(mBegin + kSlownessBelief * 2);
  CHECK(slow == std::vector<backend_id>{ backend_id("east-1"), backend_id("east-2") });
  Report("east-1", 1, mBegin + kSlownessBelief * 2);
  CHECK(Chosen(mBegin + kSlownessBelief * 2) == "east-1");
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_a_slow_engine_forgets_it_when_it_starts_again")
{
  Report("east-1", 12, mBegin);
  auto again = Engine("east-1", "east");
  again.mStartedAt = 2;
  mFleet->Members().Changed(again);
  mFleet->MembersChanged(mBegin);
  CHECK(mFleet->SlowSoFar(mBegin + kSlownessBelief * 2).empty());
}
