#include "gateway/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "support/fleet_engines.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

/// A fleet of two failure domains with two engines each. All engines hold all layers.
struct fleet_fixture
{
  const pool_name mPool{ "engines" };
  const instant mBegin = instant() + std::chrono::hours(1);
  ref<fleet> mFleet;

  fleet_fixture()
    : mFleet(MakeRef<fleet>(failure_domain_id("east"), milliseconds(2000), policy::retry_bounds{}))
  {
    auto newConfiguration = MakeRef<configuration>();
    pool pool;
    pool.mName = mPool;
    pool.mEngine = Model();
    newConfiguration->mPools.push_back(pool);
    newConfiguration->Index();
    mFleet->SetConfiguration(newConfiguration);
    List({ Engine("east-1", "east"), Engine("east-2", "east"), Engine("west-1", "west"), Engine("west-2", "west") });
  }

  static policy::engine_model Model() { return EightLayerModel(); }

  policy::backend_member Engine(const std::string& aId, const std::string& aDomain, policy::layer_span aHeld = { 0, 8 })
  {
    return EngineMember(mPool, aId, aDomain, aHeld);
  }

  void List(std::vector<policy::backend_member> aMembers)
  {
    mFleet->Members().Listed(std::move(aMembers), mBegin);
    mFleet->MembersChanged(mBegin);
  }

  /// After the time within which a missing list entry may return.
  const instant mAfterReturnTime = mBegin + std::chrono::seconds(10);

  /// Lists these members alone, after that time.
  void ListOnly(std::vector<policy::backend_member> aMembers)
  {
    mFleet->Members().Listed(std::move(aMembers), mAfterReturnTime);
    mFleet->MembersChanged(mAfterReturnTime);
  }

  void Remove(const backend_id& aId)
  {
    mFleet->Members().Removed(aId, mAfterReturnTime);
    mFleet->MembersChanged(mAfterReturnTime);
  }

  /// The engine that is chosen for a request.
  std::string ChosenEngine(instant aNow)
  {
    path_query query;
    query.mPool = mPool;
    query.mInputTokens = 100;
    query.mOutputTokens = 10;
    const auto path = mFleet->ChoosePath(query, aNow);
    return path ? path->mStages.front().mEngine.Str() : "";
  }

  void SayLeaving(const std::string& aId, instant aNow, std::uint64_t aStartedAt = 1)
  {
    wire::response_metadata response;
    response.mIsLeaving = true;
    mFleet->HandleHead({ backend_id(aId), aStartedAt }, response, aNow, aNow);
  }

  void AskForPause(const std::string& aId, duration aTime, instant aNow, std::uint64_t aStartedAt = 1)
  {
    wire::response_metadata response;
    response.mPause = aTime;
    mFleet->HandleHead({ backend_id(aId), aStartedAt }, response, aNow, aNow);
  }

  void NameLimit(const std::string& aId, std::optional<double> aLimit, instant aNow, unsigned aStatus = 200)
  {
    wire::response_metadata response;
    response.mNamesLimit = aLimit.has_value();
    response.mLimit = aLimit;
    response.mIsMisdirected = aStatus == 421;
    mFleet->HandleHead({ backend_id(aId), 1 }, response, aNow, aNow);
  }

  void Report(const std::string& aId, double aSlowdownFactor, instant aNow)
  {
    wire::engine_report report;
    report.mLayers = { 0, 8 };
    report.mSlowdownFactor = aSlowdownFactor;
    mFleet->HandleReport(backend_id(aId), report, aNow);
  }
};

} // namespace

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_releases_layers_sends_it_no_requests_until_the_mark_expires")
{
  const std::string first = ChosenEngine(mBegin);
  mFleet->MarkMoving(backend_id(first), mBegin);
  CHECK(ChosenEngine(mBegin) != first);
  CHECK(mFleet->IsMoving(backend_id(first), mBegin));
  mFleet->MarkMoving(backend_id(first), mBegin + kMovingHoldTime / 2);
  CHECK(ChosenEngine(mBegin + kMovingHoldTime) != first);
  CHECK(ChosenEngine(mBegin + kMovingHoldTime * 2) == first);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_interrupted_its_streams_marks_it_moving_until_it_has_loaded")
{
  const backend_id moving("east-1");
  mFleet->MarkMoving(moving, mBegin);
  List({ Engine("east-1", "east", {}), Engine("east-2", "east") });
  CHECK(mFleet->IsMoving(moving, mBegin + milliseconds(100)));
  List({ Engine("east-1", "east", { 0, 4 }), Engine("east-2", "east") });
  CHECK_FALSE(mFleet->IsMoving(moving, mBegin + milliseconds(200)));
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_a_request_that_an_engine_does_not_start_begins_paths_elsewhere_until_it_does")
{
  const std::string first = ChosenEngine(mBegin);
  mFleet->Queued(backend_id(first), mBegin);
  const instant later = mBegin + milliseconds(400);
  CHECK(ChosenEngine(later) != first);
  mFleet->Unqueued(backend_id(first), mBegin);
  CHECK(ChosenEngine(later) == first);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_restarts_forgets_the_queue_of_its_previous_process")
{
  const std::string first = ChosenEngine(mBegin);
  mFleet->Queued(backend_id(first), mBegin);
  auto restarted = Engine(first, "east");
  restarted.mStartedAt = 2;
  mFleet->Members().Changed(restarted);
  mFleet->MembersChanged(mBegin);
  CHECK(ChosenEngine(mBegin + milliseconds(400)) == first);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_unlisted_engine_treats_its_runs_as_alive_until_it_is_found_lost")
{
  const policy::backend_member departed = Engine("east-1", "east");
  Remove(departed.mId);
  CHECK(mFleet->MayBeAlive(departed));
  CHECK_FALSE(mFleet->IsMarkedLost(departed.mId, mAfterReturnTime));
  CHECK(mFleet->IsLostOrUnlisted(departed.mId, mAfterReturnTime));
  CHECK(mFleet->AddressOf(departed.mId));
  // A reservation for a stream that continues on the departed engine must not create state for it.
  chosen_path path;
  path.mStages.push_back({ departed.mId, departed.mAddress, departed.mLayers, departed.mDomain });
  mFleet->Reserve(path);
  mFleet->MembersChanged(mAfterReturnTime);
  CHECK(mFleet->MayBeAlive(departed));
  mFleet->MarkLost(departed.mId, mAfterReturnTime);
  CHECK_FALSE(mFleet->MayBeAlive(departed));
  CHECK(mFleet->IsMarkedLost(departed.mId, mAfterReturnTime));
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_was_lost_and_unlisted_or_restarted_treats_its_runs_as_ended")
{
  const policy::backend_member lost = Engine("east-1", "east");
  mFleet->MarkLost(lost.mId, mAfterReturnTime);
  CHECK(mFleet->MayBeAlive(lost));
  Remove(lost.mId);
  CHECK_FALSE(mFleet->MayBeAlive(lost));
  policy::backend_member restarted = Engine("east-2", "east");
  restarted.mStartedAt = 2;
  List({ restarted });
  CHECK_FALSE(mFleet->MayBeAlive(Engine("east-2", "east")));
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_a_report_of_a_later_process_knows_that_the_listed_one_has_ended")
{
  const policy::server_start listed{ backend_id("east-1"), 1 };
  CHECK_FALSE(mFleet->HasEnded(listed, mBegin));
  Report("east-1", 1, mBegin);
  CHECK_FALSE(mFleet->HasEnded(listed, mBegin));
  wire::engine_report report;
  report.mLayers = { 0, 8 };
  report.mStartedAt = 2;
  mFleet->HandleReport(listed.mId, report, mBegin);
  CHECK(mFleet->HasEnded(listed, mBegin));
  auto restarted = Engine("east-1", "east");
  restarted.mStartedAt = 2;
  mFleet->Members().Changed(restarted);
  mFleet->MembersChanged(mBegin);
  CHECK(mFleet->HasEnded(listed, mBegin));
  CHECK_FALSE(mFleet->HasEnded({ listed.mId, 2 }, mBegin));
  mFleet->MarkLost(listed.mId, mBegin);
  CHECK(mFleet->HasEnded({ listed.mId, 2 }, mBegin));
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_slow_engines_at_home_chooses_another_domain_and_probes_the_slow_ones_again")
{
  Report("east-1", 12, mBegin);
  Report("east-2", 12, mBegin);
  CHECK(ChosenEngine(mBegin).starts_with("west"));
  CHECK(mFleet->SlowEnginesToProbe(mBegin).empty());
  const auto slow = mFleet->SlowEnginesToProbe(mBegin + kSlowProbeInterval * 2);
  CHECK(slow == std::vector<backend_id>{ backend_id("east-1"), backend_id("east-2") });
  Report("east-1", 1, mBegin + kSlowProbeInterval * 2);
  CHECK(ChosenEngine(mBegin + kSlowProbeInterval * 2) == "east-1");
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_a_slow_engine_clears_the_mark_when_it_restarts")
{
  Report("east-1", 12, mBegin);
  auto restarted = Engine("east-1", "east");
  restarted.mStartedAt = 2;
  mFleet->Members().Changed(restarted);
  mFleet->MembersChanged(mBegin);
  CHECK(mFleet->SlowEnginesToProbe(mBegin + kSlowProbeInterval * 2).empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_engine_that_says_it_leaves_chooses_others_while_the_list_shows_it_as_ready")
{
  const std::string first = ChosenEngine(mBegin);
  SayLeaving(first, mBegin);
  for (const auto after : { 0, 3, 60, 3600 }) {
    CHECK(ChosenEngine(mBegin + std::chrono::seconds(after)) != first);
  }
  CHECK(mFleet->LeavingSince(backend_id(first)) == mBegin);
  CHECK(mFleet->Availability(mPool, mBegin).mLeaving == 1);
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_engine_that_left_the_list_and_returns_in_an_old_picture_sends_it_nothing")
{
  for (const bool isFoundInList : { false, true }) {
    const std::string id = isFoundInList ? "east-1" : "east-2";
    auto engine = Engine(id, "east");
    if (isFoundInList) {
      auto leaving = engine;
      leaving.mLeaving = true;
      mFleet->Members().Changed(leaving);
      mFleet->MembersChanged(mBegin);
    } else {
      SayLeaving(id, mBegin);
    }
    Remove(engine.mId);
    ListOnly({ engine });
    CHECK(ChosenEngine(mAfterReturnTime).empty());
    engine.mStartedAt = 0;
    mFleet->Members().Changed(engine);
    mFleet->MembersChanged(mAfterReturnTime);
    CHECK(ChosenEngine(mAfterReturnTime).empty());
    engine.mStartedAt = 2;
    mFleet->Members().Changed(engine);
    mFleet->MembersChanged(mAfterReturnTime);
    CHECK(ChosenEngine(mAfterReturnTime) == id);
    Remove(engine.mId);
  }
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_an_unlisted_engine_that_says_it_leaves_sends_it_nothing_when_it_is_listed_again")
{
  const auto engine = Engine("east-1", "east");
  Remove(engine.mId);
  SayLeaving("east-1", mAfterReturnTime);
  ListOnly({ engine });
  CHECK(ChosenEngine(mAfterReturnTime).empty());
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_a_response_of_another_server_at_a_reused_address_marks_neither_as_leaving")
{
  const std::string first = ChosenEngine(mBegin);
  wire::response_metadata response;
  response.mIsLeaving = true;
  response.mActualInstance = "other";
  mFleet->HandleHead({ backend_id(first), 1 }, response, mBegin, mBegin);
  CHECK(ChosenEngine(mBegin) == first);
  SayLeaving(first, mBegin, 2);
  CHECK(ChosenEngine(mBegin) == first);
}

// Guards against requests to a server that may have left, when another one can take them.
TEST_CASE_METHOD(fleet_fixture, "fleet_with_servers_whose_entry_is_missing_chooses_them_only_without_a_listed_one")
{
  const instant now = mAfterReturnTime;
  const auto chosenService = [&] { return mFleet->ChooseService(mPool, {}, 0, now); };
  const auto list = [&](std::vector<policy::backend_member> aMembers) {
    mFleet->Members().Listed(std::move(aMembers), now, now);
    mFleet->MembersChanged(now);
  };
  const std::string preferred = ChosenEngine(now);
  const std::string other = preferred == "west-1" ? "west-2" : "west-1";
  list({ Engine(other, "west") });
  CHECK(ChosenEngine(now) == other);
  CHECK(chosenService() == backend_id(other));
  list({});
  CHECK(ChosenEngine(now) == preferred);
  CHECK(chosenService().has_value());
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_a_plain_service_that_says_it_leaves_chooses_the_other_and_none_when_both_do")
{
  const auto chosen = [&] { return mFleet->ChooseService(mPool, {}, 0, mBegin + std::chrono::seconds(60)); };
  ListOnly({ Engine("east-1", "east"), Engine("east-2", "east") });
  SayLeaving("east-1", mBegin);
  CHECK(chosen() == backend_id("east-2"));
  SayLeaving("east-2", mBegin);
  CHECK(chosen() == std::nullopt);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_asks_for_a_pause_begins_no_path_there_until_it_is_over")
{
  const std::string first = ChosenEngine(mBegin);
  AskForPause(first, milliseconds(3000), mBegin);
  AskForPause(first, milliseconds(500), mBegin + milliseconds(100));
  for (const auto after : { 0, 700, 2999 }) {
    CHECK(ChosenEngine(mBegin + milliseconds(after)) != first);
  }
  CHECK(ChosenEngine(mBegin + milliseconds(3000)) == first);
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_a_paused_engine_keeps_the_pause_over_a_gap_in_the_list_and_ends_it_by_a_restart")
{
  auto engine = Engine("east-1", "east");
  ListOnly({ engine });
  AskForPause("east-1", std::chrono::seconds(60), mAfterReturnTime);
  Remove(engine.mId);
  ListOnly({ engine });
  CHECK(ChosenEngine(mAfterReturnTime).empty());
  engine.mStartedAt = 2;
  mFleet->Members().Changed(engine);
  mFleet->MembersChanged(mAfterReturnTime);
  CHECK(ChosenEngine(mAfterReturnTime) == "east-1");
}

TEST_CASE_METHOD(fleet_fixture, "fleet_whose_engines_all_asked_for_pauses_knows_when_all_layers_are_covered_again")
{
  ListOnly(
    { Engine("east-1", "east", { 0, 4 }), Engine("east-2", "east", { 4, 8 }), Engine("west-1", "west", { 4, 8 }) });
  AskForPause("east-1", milliseconds(2000), mAfterReturnTime);
  CHECK(mFleet->Availability(mPool, mAfterReturnTime).mCoveredIn == milliseconds(2000));
  AskForPause("east-2", milliseconds(9000), mAfterReturnTime);
  CHECK(mFleet->Availability(mPool, mAfterReturnTime).mCoveredIn == milliseconds(2000));
  AskForPause("west-1", milliseconds(5000), mAfterReturnTime);
  CHECK(mFleet->Availability(mPool, mAfterReturnTime).mCoveredIn == milliseconds(5000));
  CHECK(mFleet->Availability(mPool, mAfterReturnTime).mPaused == 3);
  CHECK(mFleet->Availability(mPool, mAfterReturnTime + milliseconds(5000)).mCoveredIn == duration::zero());
}

TEST_CASE_METHOD(fleet_fixture, "fleet_whose_plain_services_all_asked_for_pauses_knows_when_the_first_is_back")
{
  ListOnly({ Engine("east-1", "east"), Engine("east-2", "east"), Engine("west-1", "west") });
  CHECK(mFleet->ServiceReturnsIn(mPool, mAfterReturnTime) == std::nullopt);
  AskForPause("east-1", milliseconds(9000), mAfterReturnTime);
  AskForPause("east-2", milliseconds(4000), mAfterReturnTime);
  AskForPause("west-1", milliseconds(1000), mAfterReturnTime);
  SayLeaving("west-1", mAfterReturnTime);
  CHECK(mFleet->ChooseService(mPool, {}, 0, mAfterReturnTime) == std::nullopt);
  CHECK(mFleet->ServiceReturnsIn(mPool, mAfterReturnTime) == duration(milliseconds(4000)));
  CHECK(mFleet->ChooseService(mPool, {}, 0, mAfterReturnTime + milliseconds(4000)) == backend_id("east-2"));
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_names_a_limit_begins_paths_elsewhere_until_the_limit_ends")
{
  const std::string first = ChosenEngine(mBegin);
  NameLimit(first, 5, mBegin);
  CHECK(ChosenEngine(mBegin) != first);
  CHECK(mFleet->OverLimit(mPool, mBegin) == 1);
  NameLimit(first, std::nullopt, mBegin + milliseconds(10), 421);
  CHECK(ChosenEngine(mBegin + milliseconds(10)) != first);
  NameLimit(first, std::nullopt, mBegin + milliseconds(20));
  CHECK(ChosenEngine(mBegin + milliseconds(20)) == first);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_whose_first_engines_all_name_limits_knows_when_a_waiting_request_gets_a_permit")
{
  CHECK(mFleet->PermitWait(mPool, 0, mBegin) == duration::zero());
  for (const char* engine : { "east-1", "east-2", "west-1", "west-2" }) {
    CHECK(mFleet->PermitWait(mPool, 0, mBegin) == duration::zero());
    NameLimit(engine, 2, mBegin);
  }
  // Half of each limit is assumed before grants are measured.
  CHECK(mFleet->PermitWait(mPool, 0, mBegin) == milliseconds(250));
  CHECK(mFleet->PermitWait(mPool, 7, mBegin) == milliseconds(2000));
  CHECK(ChosenEngine(mBegin).empty());
  CHECK(mFleet->LimitsInForce(mBegin).size() == 4);
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_a_limited_engine_that_restarts_or_leaves_the_list_shows_no_limit_for_it")
{
  NameLimit("east-1", 5, mBegin);
  auto restarted = Engine("east-1", "east");
  restarted.mStartedAt = 2;
  mFleet->Members().Changed(restarted);
  mFleet->MembersChanged(mBegin);
  CHECK(mFleet->LimitsInForce(mBegin).empty());
  CHECK(mFleet->OverLimit(mPool, mBegin) == 0);
  // A late response of the process before the restart says nothing about the new one.
  NameLimit("east-1", 5, mBegin);
  CHECK(mFleet->OverLimit(mPool, mBegin) == 0);
  NameLimit("east-2", 5, mBegin);
  Remove(backend_id("east-2"));
  CHECK(mFleet->LimitsInForce(mAfterReturnTime).empty());
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_a_departed_engine_in_the_list_of_a_copy_uses_it_once_written_again_or_in_time")
{
  ListOnly({ Engine("east-1", "east") });
  Remove(backend_id("east-1"));
  mFleet->ListRestored(mAfterReturnTime);
  ListOnly({ Engine("east-1", "east") });
  CHECK(ChosenEngine(mAfterReturnTime).empty());
  CHECK(mFleet->IsLostOrUnlisted(backend_id("east-1"), mAfterReturnTime));
  CHECK(ChosenEngine(mAfterReturnTime + kCopyEntryTime) == "east-1");
  mFleet->EntryWritten(backend_id("east-1"));
  CHECK(ChosenEngine(mAfterReturnTime) == "east-1");
}

TEST_CASE_METHOD(fleet_fixture,
                 "fleet_with_a_leaving_engine_that_the_list_of_a_copy_shows_as_ready_gives_it_no_requests")
{
  ListOnly({ Engine("east-1", "east"), Engine("west-1", "west") });
  SayLeaving("east-1", mAfterReturnTime);
  mFleet->ListRestored(mAfterReturnTime);
  ListOnly({ Engine("east-1", "east"), Engine("west-1", "west") });
  CHECK(ChosenEngine(mAfterReturnTime) == "west-1");
  CHECK(ChosenEngine(mAfterReturnTime + kCopyEntryTime * 2) == "west-1");
}

TEST_CASE_METHOD(fleet_fixture, "fleet_with_an_engine_that_restarted_since_it_left_uses_it_though_a_copy_lists_it")
{
  ListOnly({ Engine("east-1", "east") });
  Remove(backend_id("east-1"));
  mFleet->ListRestored(mAfterReturnTime);
  auto restarted = Engine("east-1", "east");
  restarted.mStartedAt = 2;
  ListOnly({ restarted });
  CHECK(ChosenEngine(mAfterReturnTime) == "east-1");
}

namespace {

/// The fleet with two streaming routes to the pool, and announcements of another gateway.
struct overload_fixture : fleet_fixture
{
  const net::endpoint mOther{ "127.0.0.1", 1 };

  explicit overload_fixture(std::uint32_t aSecondPriority = 1)
  {
    Configure(0, aSecondPriority);
    mFleet->Announcements().SetPeers({ { failure_domain_id("east"), mOther } });
    mFleet->SetGateways(2, 2);
  }

  void Configure(std::uint32_t aFirst, std::uint32_t aSecond, std::vector<workspace> aWorkspaces = {})
  {
    auto newConfiguration = MakeRef<configuration>();
    for (const char* name : { "engines", "plain" }) {
      pool pool;
      pool.mName = pool_name(name);
      pool.mEngine = pool.mName == mPool ? std::optional(Model()) : std::nullopt;
      newConfiguration->mPools.push_back(pool);
    }
    for (const std::uint32_t priority : { aFirst, aSecond }) {
      route route;
      route.mKind = request_kind::Stream;
      route.mPriority = priority;
      route.mPools = { { mPool, 1 }, { pool_name("plain"), 1 } };
      newConfiguration->mRoutes.push_back(route);
    }
    newConfiguration->mWorkspaces = std::move(aWorkspaces);
    newConfiguration->Index();
    mFleet->SetConfiguration(newConfiguration);
  }

  /// Another gateway has this much in use, in the domain of this one, and wants aWanted of a less urgent rank.
  void HearOther(double aInUse, double aWanted, instant aNow)
  {
    load_announcement announcement;
    announcement.mHome = failure_domain_id("east");
    announcement.mDomains[announcement.mHome].mInUse = aInUse;
    announcement.mDomains[announcement.mHome].mWanted[policy::RankOf(1, true)] = aWanted;
    mFleet->Announcements().Received(mOther, announcement, aNow);
  }

  const overload_state& Update(instant aNow)
  {
    mFleet->UpdateOverload({}, aNow);
    return mFleet->Overload(mPool)->State();
  }
};

/// Tokens that an engine of the fixture with all layers has memory for.
constexpr double kEngineTokens = (16'000.0 - 8'000.0) * 1e6 / 4'000 / 8;

} // namespace

// Guards against another behaviour, or announcements, in deployments that do not call for overload control.
TEST_CASE("fleet_with_a_pool_without_different_priorities_has_no_overload_control_for_it_and_announces_nothing")
{
  overload_fixture fixture(0);
  bool hasAnnounced = false;
  fixture.mFleet->Announcements().OnAnnounce([&](const auto&, const auto&) { hasAnnounced = true; });
  const auto checkNone = [&] {
    CHECK(fixture.mFleet->Configuration()->MixedPriorities(fixture.mPool) == nullptr);
    fixture.mFleet->UpdateOverload({}, fixture.mBegin);
    CHECK(fixture.mFleet->Overload(fixture.mPool) == nullptr);
    CHECK_FALSE(hasAnnounced);
  };
  checkNone();
  // The priority of all workspaces takes precedence, but leaves the routes different.
  fixture.Configure(0, 1, { { workspace_id("a"), 1 } });
  CHECK(fixture.mFleet->Overload(fixture.mPool) != nullptr);
  CHECK(fixture.mFleet->Overload(pool_name("plain")) == nullptr);
  CHECK(fixture.mFleet->Overload(pool_name("unknown")) == nullptr);
  // Equal routes: workspaces that differ do not enable it, as deployments have them that are served as before.
  fixture.Configure(2, 2, { { workspace_id("a"), 1 }, { workspace_id("b"), std::nullopt } });
  checkNone();
  fixture.Configure(2, 2, { { workspace_id("a"), 1 }, { workspace_id("b"), 1 } });
  checkNone();
}

// Guards against a capacity in other units, and against engines without layers that count as memory.
TEST_CASE("fleet_capacity_is_the_least_memory_of_any_layer_over_the_usable_engines")
{
  overload_fixture fixture;
  const auto capacity = [&](instant aNow) { return fixture.Update(aNow).mCapacity / kAllocatedMemoryShare; };
  CHECK(capacity(fixture.mBegin) == Approx(4 * kEngineTokens));
  fixture.mFleet->MarkLost(backend_id("west-1"), fixture.mBegin);
  CHECK(capacity(fixture.mBegin + std::chrono::seconds(1)) == Approx(3 * kEngineTokens));
  fixture.ListOnly({ fixture.Engine("east-1", "east"), fixture.Engine("east-2", "east", {}) });
  CHECK(capacity(fixture.mAfterReturnTime) == Approx(kEngineTokens));
  fixture.ListOnly({ fixture.Engine("east-1", "east"), fixture.Engine("east-3", "east", { 0, 4 }) });
  CHECK(capacity(fixture.mAfterReturnTime + std::chrono::seconds(1)) == Approx(kEngineTokens));
}

// Guards against division by zero and against engines without layers that get work.
TEST_CASE("fleet_with_no_engines_or_none_with_layers_has_no_capacity_and_chooses_no_path")
{
  overload_fixture fixture;
  for (const bool hasEngine : { false, true }) {
    const auto engines =
      hasEngine ? std::vector{ fixture.Engine("east-9", "east", {}) } : std::vector<policy::backend_member>();
    fixture.ListOnly(engines);
    const instant at = fixture.mAfterReturnTime + std::chrono::seconds(hasEngine ? 1 : 0);
    fixture.HearOther(1'000, 1'000, at);
    const overload_state& state = fixture.Update(at);
    CHECK(state.mCapacity == 0);
    CHECK(state.mIsScarce);
    CHECK(state.mAdmitted[policy::RankOf(1, true)] == 0);
    CHECK(fixture.ChosenEngine(fixture.mAfterReturnTime).empty());
  }
}

// Guards against engines that are sent more than they have memory for: what others have in use there must count.
TEST_CASE("fleet_under_scarcity_chooses_no_engine_that_the_other_gateways_have_filled")
{
  overload_fixture fixture;
  fixture.Update(fixture.mBegin);
  CHECK(fixture.ChosenEngine(fixture.mBegin).starts_with("east"));
  fixture.HearOther(2 * kEngineTokens, 100 * kEngineTokens, fixture.mBegin);
  CHECK(fixture.Update(fixture.mBegin).mIsScarce);
  CHECK(fixture.ChosenEngine(fixture.mBegin).starts_with("west"));
  // The announcement has expired.
  const instant after = fixture.mBegin + kAnnouncementTime * 2;
  fixture.Update(after);
  CHECK_FALSE(fixture.Update(after + std::chrono::seconds(2)).mIsScarce);
  CHECK(fixture.ChosenEngine(after + std::chrono::seconds(2)).starts_with("east"));
}

// Guards against a shortage of the past that counts when a pool gets different priorities again.
TEST_CASE("fleet_whose_pool_stops_and_begins_to_differ_in_priority_begins_without_the_former_state")
{
  overload_fixture fixture;
  fixture.HearOther(4 * kEngineTokens, 100 * kEngineTokens, fixture.mBegin);
  REQUIRE(fixture.Update(fixture.mBegin).mIsScarce);
  fixture.Configure(1, 1);
  fixture.mFleet->UpdateOverload({}, fixture.mBegin);
  CHECK(fixture.mFleet->Overload(fixture.mPool) == nullptr);
  fixture.Configure(0, 1);
  REQUIRE(fixture.mFleet->Overload(fixture.mPool) != nullptr);
  CHECK_FALSE(fixture.mFleet->Overload(fixture.mPool)->State().mIsScarce);
  CHECK(fixture.mFleet->Overload(fixture.mPool)->OthersInUse(failure_domain_id("east")) == 0);
}
