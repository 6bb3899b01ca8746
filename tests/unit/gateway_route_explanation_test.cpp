#include "gateway/route_explanation.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

#include "cli/route_text.h"

#include "support/fleet_engines.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

/// A gateway of the failure domain "east" with a pool of engines for streams of two priorities, and plain services.
struct explanation_fixture
{
  const pool_name mPool{ "engines" };
  const pool_name mServices{ "services" };
  const instant mNow = instant() + std::chrono::hours(1);
  ref<fleet> mFleet;
  policy::queue_view mQueue;
  caller_query mCaller{ "demo.example", "/draft/x", "secret-key", true, true };
  route_question mQuestion{ "demo.example", "/draft/x", "secret-key", 100, 10 };

  explanation_fixture()
    : mFleet(MakeRef<fleet>(failure_domain_id("east"), milliseconds(2000), policy::retry_bounds{}))
  {
    auto newConfiguration = MakeRef<configuration>();
    newConfiguration->mVersion = 7;
    pool engines;
    engines.mName = mPool;
    engines.mEngine = Model();
    pool services;
    services.mName = mServices;
    newConfiguration->mPools = { engines, services };
    newConfiguration->mRoutes = { Route("draft", "/draft/", 0, mPool),
                                  Route("batch", "/batch/", 2, mPool),
                                  Route("look", "/look/", 1, mServices) };
    newConfiguration->mRoutes.back().mKind = request_kind::Idempotent;
    newConfiguration->mWorkspaces = { { workspace_id("harbour"), std::nullopt } };
    newConfiguration->mKeys = { { "secret-key", 0 } };
    newConfiguration->Index();
    mFleet->SetConfiguration(newConfiguration);
    List({ Engine("east-1", "east"), Engine("east-2", "east"), Engine("west-1", "west") });
  }

  static policy::engine_model Model()
  {
    policy::engine_model model = EightLayerModel();
    model.mSlots = 10;
    model.mTypicalInputTokens = 100;
    model.mTypicalOutputTokens = 10;
    return model;
  }

  static route Route(const std::string& aName, const std::string& aPrefix, unsigned aPriority, const pool_name& aPool)
  {
    route route;
    route.mName = route_name(aName);
    route.mHost = "demo.example";
    route.mPathPrefix = aPrefix;
    route.mKind = request_kind::Stream;
    route.mTimeout = milliseconds(20'000);
    route.mObjective = milliseconds(500);
    route.mPriority = aPriority;
    route.mPools = { { aPool, 1 } };
    return route;
  }

  policy::backend_member Engine(const std::string& aId, const std::string& aDomain, policy::layer_span aHeld = { 0, 8 })
  {
    return EngineMember(mPool, aId, aDomain, aHeld);
  }

  policy::backend_member Service(const std::string& aId)
  {
    policy::backend_member member = Engine(aId, "east", {});
    member.mPool = mServices;
    return member;
  }

  void List(std::vector<policy::backend_member> aMembers)
  {
    mFleet->Members().Listed(std::move(aMembers), mNow);
    mFleet->MembersChanged(mNow);
  }

  route_explanation Explain(instant aNow)
  {
    return ExplainRoute(
      *mFleet, mQuestion, mCaller, [&](const pool_name&, const policy::waiting_request&) { return mQueue; }, aNow);
  }
  explained_pool ExplainPool() { return Explain(mNow).mPools.at(0); }

  std::string Verdict(const std::string& aId)
  {
    const explained_pool pool = ExplainPool();
    const auto found = std::find_if(pool.mCandidates.begin(), pool.mCandidates.end(), [&](const auto& aCandidate) {
      return aCandidate.mId == backend_id(aId);
    });
    return found == pool.mCandidates.end() ? "absent" : std::string(ToText(found->mVerdict));
  }

  void Respond(const std::string& aId, const wire::response_metadata& aResponse)
  {
    mFleet->HandleHead({ backend_id(aId), 1 }, aResponse, mNow, mNow);
  }

  void NameLimit(const std::string& aId, double aLimit)
  {
    wire::response_metadata response;
    response.mNamesLimit = true;
    response.mLimit = aLimit;
    Respond(aId, response);
  }

  /// The path that a request of the question gets.
  std::optional<chosen_path> Choose()
  {
    path_query query;
    query.mPool = mPool;
    query.mInputTokens = 100;
    query.mOutputTokens = 10;
    return mFleet->ChoosePath(query, mNow);
  }

  /// Makes capacity scarce: half a second of demand beyond the memory of all engines.
  void MakeScarce(const stream_demand& aStream)
  {
    overload_control* overload = mFleet->Overload(mPool);
    for (int count = 0; count < 200; ++count) {
      overload->Arrived(aStream, mNow);
    }
    mFleet->UpdateOverload({}, mNow + milliseconds(500));
    REQUIRE(overload->State().mIsScarce);
  }
};

} // namespace

TEST_CASE_METHOD(explanation_fixture, "route_explanation_names_the_path_that_a_request_gets")
{
  const explained_pool pool = ExplainPool();
  REQUIRE(pool.mPath);
  const auto chosen = Choose();
  REQUIRE(chosen);
  CHECK(pool.mOutcome == route_outcome::Sent);
  CHECK(pool.mPath->mStages.front().mEngine == chosen->mStages.front().mEngine);
  CHECK(pool.mPath->mCost.mTotal == chosen->mCost.mTotal);
  CHECK(pool.mTokens == 110);
  CHECK(Explain(mNow).mRoute == route_name("draft"));
  CHECK(Explain(mNow).mWorkspace == workspace_id("harbour"));
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_gives_the_reason_against_each_other_engine")
{
  List({ Engine("east-1", "east"),
         Engine("east-2", "east"),
         Engine("empty", "east", {}),
         Engine("full", "east"),
         Engine("gone", "east"),
         Engine("leaving", "east"),
         Engine("limited", "east"),
         Engine("moving", "east"),
         Engine("paused", "east"),
         Engine("refusing", "east"),
         Engine("slots", "east"),
         Engine("slow", "east"),
         Engine("west-1", "west") });
  mFleet->MarkLost(backend_id("gone"), mNow);
  mFleet->MarkMoving(backend_id("moving"), mNow);
  mFleet->MarkRefusing(backend_id("refusing"), mNow);
  wire::response_metadata response;
  response.mIsLeaving = true;
  Respond("leaving", response);
  response = {};
  response.mPause = milliseconds(3000);
  Respond("paused", response);
  NameLimit("limited", 1);
  wire::engine_report report;
  report.mLayers = { 0, 8 };
  report.mSlowdownFactor = 4;
  mFleet->HandleReport(backend_id("slow"), report, mNow);
  chosen_path reserved;
  reserved.mStages.push_back({ backend_id("full"), "", { 0, 8 }, failure_domain_id("east") });
  reserved.mTokens = 250'000;
  mFleet->Reserve(reserved);
  reserved.mStages.front().mEngine = backend_id("slots");
  reserved.mTokens = 1;
  for (int count = 0; count < 10; ++count) {
    mFleet->Reserve(reserved);
  }
  CHECK(Verdict("east-1") == "chosen");
  CHECK(Verdict("east-2") == "costs more or as much");
  CHECK(Verdict("empty") == "holds no layers");
  CHECK(Verdict("full") == "no memory for the request");
  CHECK(Verdict("gone") == "lost");
  CHECK(Verdict("leaving") == "leaving");
  CHECK(Verdict("limited") == "over its limit");
  CHECK(Verdict("moving") == "moving to other layers");
  CHECK(Verdict("paused") == "paused");
  CHECK(Verdict("refusing") == "refusing");
  CHECK(Verdict("slots") == "slots taken");
  CHECK(Verdict("slow") == "slow");
  CHECK(Verdict("west-1") == "in another failure domain");
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_of_a_request_that_is_not_admitted_gives_the_gateways_status")
{
  const auto check = [&](unsigned aStatus, const std::string& aReason) {
    const route_explanation explanation = Explain(mNow);
    CHECK(explanation.mStatus == aStatus);
    CHECK(explanation.mReason == aReason);
    CHECK(explanation.mPools.empty());
  };
  mCaller.mKey = "other";
  check(401, "unknown key");
  mCaller.mTrustsKeys = false;
  check(503, "configuration not confirmed");
  mCaller.mHost = "other.example";
  check(503, "no route");
  mCaller.mTrustsKeys = true;
  check(404, "no route");
  mCaller.mIsConfigured = false;
  check(503, "not configured yet");
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_of_a_pool_without_usable_engines_tells_waiting_from_rejection")
{
  List({ Engine("east-1", "east", { 0, 4 }), Engine("east-2", "east"), Engine("west-1", "west") });
  mFleet->MarkLost(backend_id("east-2"), mNow);
  mFleet->MarkLost(backend_id("west-1"), mNow);
  mQueue.mState.mRunning = 1;
  mQueue.mState.mTypicalRunTime = milliseconds(100);
  mQueue.mState.mAhead = 1;
  CHECK(ExplainPool().mOutcome == route_outcome::Waits);
  CHECK(ExplainPool().mWaitForecast == milliseconds(200));
  CHECK(Verdict("east-1") == "no usable engines for the other layers");
  // The pause of all engines outlasts the objective.
  wire::response_metadata response;
  response.mPause = milliseconds(3000);
  List({ Engine("east-3", "east") });
  for (const char* id : { "east-1", "east-3" }) {
    Respond(id, response);
  }
  const explained_pool pool = ExplainPool();
  CHECK(pool.mOutcome == route_outcome::Rejected);
  CHECK(pool.mStatus == 503);
  CHECK(pool.mReason == "no_path");
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_behind_waiting_requests_waits_although_there_is_a_path")
{
  mQueue.mAhead = 3;
  mQueue.mState.mRunning = 1;
  mFleet->UpdateOverload({}, mNow);
  const explained_pool pool = ExplainPool();
  CHECK(pool.mOutcome == route_outcome::Waits);
  CHECK(pool.mAhead == 3);
  CHECK(pool.mPath);
  REQUIRE(pool.mOverload);
  CHECK(pool.mOverload->mLevel == 0);
  CHECK(pool.mOverload->mRank == 0);
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_while_capacity_is_scarce_shows_fractions_and_what_is_rejected")
{
  const stream_demand urgent{ 0, policy::HashWorkspace(workspace_id("harbour")), 100'000 };
  MakeScarce(urgent);
  mCaller.mPath = "/batch/x";
  const explained_pool batch = ExplainPool();
  REQUIRE(batch.mOverload);
  CHECK(batch.mOverload->mLevel == 1);
  CHECK(batch.mOverload->mState.mIsScarce);
  CHECK(batch.mOverload->mState.mAdmitted[0] < 1);
  CHECK(batch.mOverload->mState.mQuota == mFleet->Overload(mPool)->State().mQuota);
  mCaller.mPath = "/draft/x";
  CHECK(ExplainPool().mOverload->mAdmittedFraction < 1);
  // Admissions in excess of the fraction are followed by rejections.
  explained_pool rejected = ExplainPool();
  for (int count = 0; count < 40 && rejected.mOutcome != route_outcome::Rejected; ++count) {
    mFleet->Overload(mPool)->Admits(urgent, mNow);
    rejected = ExplainPool();
  }
  CHECK(rejected.mOutcome == route_outcome::Rejected);
  CHECK(rejected.mStatus == 503);
  CHECK(rejected.mReason == "capacity is allocated to more urgent requests");
  CHECK(rejected.mRetryAfter);
}

// Fails if an explanation misses a permit, takes part in the credit of admission, or reserves anything.
TEST_CASE_METHOD(explanation_fixture, "route_explanation_asked_many_times_changes_no_state_and_no_later_decision")
{
  int asks = 0;
  mFleet->Limits().OnAskDue([&] { ++asks; });
  NameLimit("east-1", 1);
  NameLimit("east-2", 1);
  const stream_demand demand{ 0, policy::HashWorkspace(workspace_id("harbour")), 100'000 };
  MakeScarce(demand);
  overload_control* overload = mFleet->Overload(mPool);
  overload_control before = *overload;
  const backend_state stateBefore = *mFleet->FindState(backend_id("east-1"));
  asks = 0;
  const std::string first = ToJson(Explain(mNow));
  for (int count = 0; count < 50; ++count) {
    REQUIRE(ToJson(Explain(mNow)) == first);
  }
  CHECK(asks == 0);
  const backend_state& stateAfter = *mFleet->FindState(backend_id("east-1"));
  CHECK(stateAfter.mReserved == stateBefore.mReserved);
  CHECK(stateAfter.mRunning == stateBefore.mRunning);
  CHECK(stateAfter.mBegun == stateBefore.mBegun);
  CHECK(overload->State().mInUse == before.State().mInUse);
  std::size_t admitted = 0;
  for (int count = 0; count < 40; ++count) {
    const bool expected = before.Admits(demand, mNow);
    CHECK(overload->Admits(demand, mNow) == expected);
    admitted += expected ? 1 : 0;
  }
  // The comparison means something only if some are admitted and some are not.
  CHECK(admitted > 0);
  CHECK(admitted < 40);
  // A real search records that it missed a permit.
  Choose();
  CHECK(asks > 0);
}

// Fails if the gateway's encoding and the command line's reading of it differ in a member.
TEST_CASE_METHOD(explanation_fixture,
                 "route_explanation_under_overload_control_is_printed_with_level_rank_and_fractions")
{
  const auto print = [&] { return cli::RouteText(boost::json::parse(ToJson(Explain(mNow))).as_object()); };
  mFleet->UpdateOverload({}, mNow);
  CHECK(print().find("  priority level 0, rank 0; admitted fraction 1.000\n  capacity not scarce: 0 of ") !=
        std::string::npos);
  CHECK(print().find("  admitted fractions below 1, by rank: none\n") != std::string::npos);
  mQueue.mAhead = 2;
  mQueue.mState.mTypicalRunTime = milliseconds(100);
  CHECK(print().find("waits behind 2: other requests are served first (forecast 100.0 ms)\n") != std::string::npos);
  MakeScarce({ 0, policy::HashWorkspace(workspace_id("harbour")), 100'000 });
  CHECK(print().find("  capacity scarce: ") != std::string::npos);
  CHECK(print().find("by rank: 0: 0.") != std::string::npos);
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_of_plain_services_names_the_server_and_the_reasons")
{
  mCaller.mPath = "/look/x";
  List({ Service("service-1"), Service("service-2"), Service("service-3") });
  mFleet->Started(backend_id("service-2"));
  mFleet->MarkLost(backend_id("service-3"), mNow);
  const explained_pool pool = ExplainPool();
  CHECK_FALSE(pool.mHasEngines);
  CHECK(pool.mOutcome == route_outcome::Sent);
  CHECK(Verdict("service-1") == "chosen");
  CHECK(Verdict("service-2") == "costs more or as much");
  CHECK(Verdict("service-3") == "lost");
  List({});
  mFleet->MarkLost(backend_id("service-1"), mNow);
  mFleet->MarkLost(backend_id("service-2"), mNow);
  CHECK(ExplainPool().mReason == "no_server");
}

TEST_CASE_METHOD(explanation_fixture, "route_explanation_as_json_does_not_hold_the_key")
{
  net::http_request request;
  request.mTarget = "/explain-route?host=demo.example&path=/draft/x%20y&prompt_tokens=100&max_output_tokens=10";
  request.mHeaders.Set(kExplainKeyHeader, "secret-key");
  const auto question = ReadRouteQuestion(request);
  REQUIRE(question);
  CHECK(question->mPath == "/draft/x y");
  CHECK(question->mPromptTokens == 100);
  CHECK(question->mKey == "secret-key");
  CHECK(ToJson(Explain(mNow)).find("secret-key") == std::string::npos);
  mCaller.mKey = "unknown-secret";
  CHECK(ToJson(Explain(mNow)).find("unknown-secret") == std::string::npos);
  request.mTarget = "/explain-route?host=demo.example&path=/&prompt_tokens=many";
  CHECK_FALSE(ReadRouteQuestion(request));
  request.mTarget = "/explain-route?host=demo.example";
  CHECK_FALSE(ReadRouteQuestion(request));
}
