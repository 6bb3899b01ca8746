#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

/// One gateway, and the requests that the tests send to it.
struct one_gateway_fixture : gateway_fixture
{
  explicit one_gateway_fixture(std::vector<std::string> aFlags = {})
    : gateway_fixture(std::move(aFlags))
  {
    StartGateway();
  }

  static gateway_call Stream(const std::string& aId, unsigned aTokens)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = aId;
    call.mBody = "a prompt";
    call.mOutputTokens = aTokens;
    return call;
  }

  static gateway_call Booking(const std::string& aId)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/book/winch";
    call.mId = aId;
    call.mBody = "winch 3";
    return call;
  }

  static gateway_call Lookup(const std::string& aId)
  {
    gateway_call call;
    call.mTarget = "/look/rope";
    call.mId = aId;
    return call;
  }

  /// Names of the engines on a run's path, first to last.
  std::vector<std::string> EnginesOf(const std::string& aId) const
  {
    std::vector<std::string> engines;
    const auto runs = Records("run", aId);
    std::string path(runs.back().at("path").as_string());
    while (!path.empty()) {
      engines.push_back(ServerNameAt(path.substr(0, path.find('='))));
      path = path.find(',') == std::string::npos ? "" : path.substr(path.find(',') + 1);
    }
    return engines;
  }

  /// Sends a stream and, after its fifth event, sets the state of the engine that aSelectEngine selects.
  gateway_response StreamWithFault(const std::string& aId,
                                   unsigned aTokens,
                                   const std::function<std::string(const std::vector<std::string>&)>& aSelectEngine,
                                   const std::string& aState)
  {
    bool isDone = false;
    gateway_call call = Stream(aId, aTokens);
    call.mOnBytes = [&](const std::string& aBody) {
      if (!isDone && aBody.find("id: 5\n") != std::string::npos) {
        isDone = true;
        SetServer(aSelectEngine(EnginesOf(aId)), aState);
      }
    };
    return Send(call);
  }

  static std::string First(const std::vector<std::string>& aEngines) { return aEngines.front(); }
  static std::string Last(const std::vector<std::string>& aEngines) { return aEngines.back(); }

  void SetAllServices(const std::string& aState) const
  {
    SetServer("service-0", aState);
    SetServer("service-1", aState);
  }
};

/// Streams run on three stages, and each range of layers has three holders.
struct three_stages_fixture : one_gateway_fixture
{
  three_stages_fixture()
    : one_gateway_fixture({ "--engines=9", "--fleet_layers=12" })
  {
  }
};

/// Two gateways, one of which reads the store's contents through the other, its relay.
struct relayed_gateways_fixture : one_gateway_fixture
{
  std::size_t mRelay = 0;
  std::size_t mFollower = 1;

  relayed_gateways_fixture()
  {
    StartGateway();
    const bool follows =
      WaitUntil([&] { return Metric(0, "gateway_follows_relay") + Metric(1, "gateway_follows_relay") == 1; });
    if (!follows) {
      throw std::runtime_error("no gateway follows the other: " + mGateways[0]->Log() + mGateways[1]->Log());
    }
    if (Metric(0, "gateway_follows_relay") == 1) {
      std::swap(mRelay, mFollower);
    }
  }

  /// Number of successful calls of a gateway to the store.
  std::size_t SuccessfulStoreCalls(std::size_t aGateway) const
  {
    return static_cast<std::size_t>(Metric(aGateway, "gateway_store_call_seconds_count{outcome=\"ok\"}"));
  }
};

} // namespace

TEST_CASE_METHOD(one_gateway_fixture, "gateway_stream_through_several_engines_gives_every_event_once_and_in_order")
{
  const auto response = Send(Stream("s1", 40));
  CHECK(response.mStatus == 200);
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(20));
  CHECK(response.mHeaders.Get("X-Response-Stamp") == EnginesOf("s1").front());
  CHECK(EnginesOf("s1").size() >= 2);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_request_reaches_its_server_unchanged_with_workspace_and_without_key")
{
  const auto response = Send(Booking("b1"));
  CHECK(response.mStatus == 200);
  CHECK(response.mBody == "answer to b1");
  const auto runs = Records("run", "b1");
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].at("method").as_string() == "POST");
  CHECK(runs[0].at("target").as_string() == "/book/winch");
  CHECK(runs[0].at("body").as_string() == "winch 3");
  CHECK(runs[0].at("workspace").as_string() == "workspace-1");
  CHECK(runs[0].at("key").as_string().empty());
  CHECK(runs[0].at("deadline_ms").to_number<unsigned>() <= 8000);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_that_has_just_started_lets_callers_wait_for_its_configuration")
{
  LaunchGateway();
  for (int each = 0; each < 4; ++each) {
    CHECK(Send(Booking("just-started-" + std::to_string(each)), mGateways.size() - 1).mStatus == 200);
  }
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_booking_whose_response_breaks_off_is_not_retried")
{
  SetAllServices("cutting");
  const auto response = Send(Booking("b2"));
  CHECK(response.mStatus == 502);
  CHECK(RunCount("b2") == 1);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_booking_refused_by_all_servers_did_not_run_and_gets_a_retry_after")
{
  SetAllServices("refusing");
  const auto response = Send(Booking("b3"));
  CHECK(response.mStatus == 503);
  CHECK(!response.mHeaders.Get("Retry-After").empty());
  CHECK(RunCount("b3") == 0);
}

TEST_CASE_METHOD(one_gateway_fixture,
                 "gateways_notify_each_other_of_a_request_that_crashes_its_servers_and_send_it_to_three")
{
  StartGateway();
  REQUIRE(WaitUntil([&] { return Metric(0, "gateway_gateways") == 2; }));
  gateway_call faulty = Booking("faulty");
  faulty.mBody = "ends its server";
  for (std::size_t run = 0; run < 3; ++run) {
    CHECK(Send(faulty, run == 2 ? 1 : 0).mStatus == 502);
    REQUIRE(
      WaitUntil([&] { return Metric(0, "gateway_crashes_total") + Metric(1, "gateway_crashes_total") == run + 1; }));
  }
  CHECK(Send(faulty, 1).mStatus == 503);
  CHECK(RunCount("faulty") == 3);
  CHECK(Send(Booking("sound"), 1).mStatus == 200);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateways_notify_each_other_of_a_slow_engine_and_send_it_no_streams")
{
  StartGateway();
  REQUIRE(WaitUntil([&] { return Metric(0, "gateway_gateways") == 2; }));
  std::string slow;
  const auto response = StreamWithFault(
    "t1", 20, [&](const auto& aEngines) { return slow = aEngines.back(); }, "slow");
  CHECK(response.mIsComplete);
  // The second gateway has sent no stream, so it can know the slow engine only from the first.
  REQUIRE(WaitUntil([&] { return Metric(1, "gateway_slow_engines") == 1; }));
  for (int each = 0; each < 6; ++each) {
    const std::string id = "t2-" + std::to_string(each);
    CHECK(Send(Stream(id, 10), 1).mStatus == 200);
    const auto engines = EnginesOf(id);
    CHECK(std::find(engines.begin(), engines.end(), slow) == engines.end());
  }
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_lookup_that_fails_at_one_server_is_answered_by_another")
{
  SetServer("service-0", "failing");
  for (int each = 0; each < 6; ++each) {
    CHECK(Send(Lookup("l" + std::to_string(each))).mStatus == 200);
  }
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_lookup_that_fails_everywhere_runs_on_no_more_servers_than_allowed")
{
  SetAllServices("failing");
  const auto response = Send(Lookup("l9"));
  CHECK(response.mStatus == 500);
  CHECK(response.mHeaders.Get("X-Response-Stamp").starts_with("service"));
  CHECK(RunCount("l9") == 2);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_request_without_route_or_key_is_refused_and_does_not_run")
{
  gateway_call noRoute = Lookup("n1");
  noRoute.mTarget = "/nowhere/1";
  CHECK(Send(noRoute).mStatus == 404);
  gateway_call noKey = Lookup("n2");
  noKey.mKey = "";
  CHECK(Send(noKey).mStatus == 401);
  gateway_call wrongKey = Lookup("n3");
  wrongKey.mKey = "key-9";
  CHECK(Send(wrongKey).mStatus == 401);
  CHECK(RunCount("n1") + RunCount("n2") + RunCount("n3") == 0);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_request_over_the_limits_is_refused")
{
  gateway_call large = Booking("m1");
  large.mBody.assign(20'000, 'x');
  CHECK(Send(large).mStatus == 413);
  gateway_call longHead = Lookup("m2");
  longHead.mKey.assign(8'000, 'k');
  CHECK(Send(longHead).mStatus == 431);
  CHECK(RunCount("m1") + RunCount("m2") == 0);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_stream_whose_later_engine_stops_responding_continues_over_another")
{
  const auto response = StreamWithFault("s2", 100, Last, "dark");
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(50));
  CHECK(Records("repath", "s2").size() >= 1);
  CHECK(RunCount("s2") == 1);
}

TEST_CASE_METHOD(three_stages_fixture,
                 "gateway_stream_that_loses_one_engine_while_another_leaves_continues_over_others")
{
  const auto response = StreamWithFault(
    "s2b",
    200,
    [&](const auto& aEngines) {
      SetServer(aEngines.at(1), "leaving");
      return aEngines.at(2);
    },
    "dark");
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(100));
  CHECK(Records("repath", "s2b").size() >= 1);
  CHECK(RunCount("s2b") == 1);
}

TEST_CASE_METHOD(three_stages_fixture, "gateway_stream_whose_new_path_is_refused_continues_over_another_one")
{
  // The list does not show that the second engine leaves; only its refusal does.
  const auto response = StreamWithFault(
    "s2d",
    200,
    [&](const auto& aEngines) {
      SetServer(aEngines.at(1), "closing");
      return aEngines.at(2);
    },
    "dark");
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(100));
  CHECK(Records("path_refused", "s2d").size() == 1);
  CHECK(Records("repath", "s2d").size() >= 1);
  CHECK(RunCount("s2d") == 1);
}

TEST_CASE_METHOD(three_stages_fixture,
                 "gateway_stream_whose_first_engine_leaves_is_resumed_at_another_when_a_later_one_is_lost")
{
  const auto response = StreamWithFault(
    "s2c",
    200,
    [&](const auto& aEngines) {
      SetServer(aEngines.at(0), "leaving");
      return aEngines.at(2);
    },
    "dark");
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(100));
  CHECK(RunCount("s2c") == 2);
  // Each new path contains the first engine, so further ones would be refused as well.
  CHECK(Records("path_refused", "s2c").size() <= 1);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_stream_whose_first_engine_stops_responding_is_resumed_at_another")
{
  const auto response = StreamWithFault("s3", 100, First, "dark");
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(50));
  CHECK(RunCount("s3") == 2);
}

TEST_CASE_METHOD(one_gateway_fixture,
                 "gateway_stream_that_breaks_off_within_an_event_is_resumed_without_the_partial_one")
{
  const auto response = StreamWithFault("s4", 100, First, "cutting");
  INFO(mGateways[0]->Log());
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(50));
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_stream_with_an_engine_that_leaves_continues_and_new_ones_avoid_it")
{
  std::string leaving;
  const auto response = StreamWithFault(
    "s5", 400, [&](const auto& aEngines) { return leaving = aEngines.back(); }, "leaving");
  CHECK(response.mBody == EventsUpTo(200));
  CHECK(Records("repath", "s5").size() >= 1);
  CHECK(Send(Stream("s6", 10)).mStatus == 200);
  const auto engines = EnginesOf("s6");
  CHECK(std::find(engines.begin(), engines.end(), leaving) == engines.end());
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_caller_that_leaves_cancels_the_work_at_the_engine")
{
  gateway_call call = Stream("s7", 2000);
  std::thread caller([&] {
    net::http_request request{ call.mMethod, call.mTarget, {}, call.mBody };
    request.mHeaders.Set("Host", "demo.example");
    request.mHeaders.Set("X-Attempt-Id", "s7");
    request.mHeaders.Set("X-Credential", "key-1");
    request.mHeaders.Set("X-Token-Counts", "10,2000");
    static_cast<void>(net::StreamBlocking(
      mGateways[0]->Address("http"), request, kTestTimeout, [](std::string_view) { return false; }));
  });
  caller.join();
  REQUIRE(WaitUntil([&] { return !Records("left", "s7").empty(); }));
  // An engine takes 10 ms for an event, and the users allow at most half a second of wasted work.
  CHECK(Records("left", "s7").front().at("events").to_number<int>() < 50);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_key_revoked_is_refused_and_the_new_one_served")
{
  Control(mFleet, { { "version", 5 }, { "key", "key-2" } });
  gateway_call old = Lookup("k1");
  CHECK(WaitUntil([&] { return Send(old).mStatus == 401; }));
  gateway_call fresh = Lookup("k2");
  fresh.mKey = "key-2";
  CHECK(Send(fresh).mStatus == 200);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_that_reads_an_older_configuration_keeps_its_own")
{
  Control(mFleet, { { "version", 5 }, { "key", "key-2" } });
  REQUIRE(WaitUntil([&] { return Metric(0, "gateway_configuration_version") == 5; }));
  Control(mFleet, { { "version", 4 }, { "key", "key-3" } });
  // Once it can't confirm its own version any more, it has read the older one.
  REQUIRE(WaitUntil([&] { return Metric(0, "gateway_configuration_age_seconds") > 2; }));
  gateway_call older = Lookup("o1");
  older.mKey = "key-3";
  CHECK(Send(older).mStatus != 200);
  CHECK(RunCount("o1") == 0);
  CHECK(Metric(0, "gateway_configuration_version") == 5);
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_without_the_store_trusts_no_key_after_a_while_and_serves_again_later")
{
  Control(mFleet, { { "store", { { "silent", true } } } });
  CHECK(Send(Lookup("k3")).mStatus == 200);
  CHECK(WaitUntil([&] { return Send(Lookup("k4")).mStatus == 503; }));
  CHECK(!IsReady(*mGateways[0]));
  const std::size_t before = Records("run").size();
  CHECK(Send(Lookup("k5")).mStatus == 503);
  CHECK(Records("run").size() == before);
  Control(mFleet, { { "store", { { "silent", false } } } });
  CHECK(WaitUntil([&] { return Send(Lookup("k6")).mStatus == 200; }));
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_follows_the_list_after_the_store_forgot_its_history")
{
  const double before = Metric(0, "gateway_backends");
  // Both faults in one step, so that no response to a watch reports the change.
  Control(mFleet, { { "server", "service-0" }, { "state", "gone" }, { "store", { { "forget", true } } } });
  CHECK(WaitUntil([&] { return Metric(0, "gateway_backends") == before - 1; }));
  CHECK(WaitUntil([&] {
    bool isAvoided = true;
    for (int each = 0; each < 4 && isAvoided; ++each) {
      const std::string id = "f" + std::to_string(each);
      isAvoided = Send(Lookup(id)).mStatus == 200 && Records("run", id).back().at("server") == "service-1";
    }
    return isAvoided;
  }));
}

TEST_CASE_METHOD(one_gateway_fixture, "gateway_terminated_finishes_its_streams_and_accepts_no_new_callers")
{
  bool hasSentTerm = false;
  // The stream takes four seconds, longer than the gateway takes to stop accepting callers.
  gateway_call call = Stream("s8", 800);
  call.mOnBytes = [&](const std::string& aBody) {
    if (!hasSentTerm && aBody.find("id: 3\n") != std::string::npos) {
      hasSentTerm = true;
      mGateways[0]->Terminate();
      CHECK(WaitUntil([&] { return !IsReady(*mGateways[0]); }));
    }
  };
  const auto response = Send(call);
  CHECK(response.mIsComplete);
  CHECK(response.mBody == EventsUpTo(400));
  CHECK(mGateways[0]->WaitForExit() == 0);
}

TEST_CASE_METHOD(relayed_gateways_fixture,
                 "gateways_of_a_failure_domain_receive_a_change_of_keys_from_the_one_that_read_it")
{
  const std::size_t calls = SuccessfulStoreCalls(mFollower);
  Control(mFleet, { { "version", 5 }, { "key", "key-2" } });
  for (const std::size_t gateway : { mRelay, mFollower }) {
    CHECK(WaitUntil([&] { return Send(Lookup("r1"), gateway).mStatus == 401; }));
  }
  gateway_call fresh = Lookup("r2");
  fresh.mKey = "key-2";
  CHECK(Send(fresh, mFollower).mStatus == 200);
  CHECK(Metric(mFollower, "gateway_follows_relay") == 1);
  // The follower only writes and reads its own objects: the record of gateways and the placement leader's lease.
  CHECK(SuccessfulStoreCalls(mFollower) - calls < 12);
}

TEST_CASE_METHOD(relayed_gateways_fixture, "gateway_whose_relay_is_frozen_refuses_a_revoked_key_within_the_bound")
{
  mGateways[mRelay]->Freeze();
  Control(mFleet, { { "version", 5 }, { "key", "key-2" } });
  const auto changed = std::chrono::steady_clock::now();
  CHECK(WaitUntil([&] { return Send(Lookup("r3"), mFollower).mStatus == 401; }));
  CHECK(std::chrono::steady_clock::now() - changed < 5s);
  mGateways[mRelay]->Wake();
  CHECK(WaitUntil([&] { return Send(Lookup("r4"), mRelay).mStatus == 401; }));
}

TEST_CASE_METHOD(relayed_gateways_fixture, "gateway_whose_relay_was_killed_reads_the_store_itself")
{
  mGateways[mRelay]->Kill();
  CHECK(WaitUntil([&] { return Metric(mFollower, "gateway_follows_relay") == 0; }));
  Control(mFleet, { { "version", 5 }, { "key", "key-2" }, { "server", "service-0" }, { "state", "gone" } });
  CHECK(WaitUntil([&] { return Send(Lookup("r5"), mFollower).mStatus == 401; }));
  const double listed = Metric(mFollower, "gateway_backends");
  CHECK(WaitUntil([&] { return Metric(mFollower, "gateway_backends") <= listed; }));
  CHECK(IsReady(*mGateways[mFollower]));
}

TEST_CASE_METHOD(relayed_gateways_fixture, "gateways_without_the_store_trust_no_key_from_each_other")
{
  Control(mFleet, { { "store", { { "silent", true } } } });
  for (const std::size_t gateway : { mRelay, mFollower }) {
    CHECK(WaitUntil([&] { return Send(Lookup("r6"), gateway).mStatus == 503; }));
  }
  // Each gateway now queries the other, and neither accepts the other's state as fresh.
  CHECK(WaitUntil([&] { return Metric(mFollower, "gateway_configuration_age_seconds") > 8; }));
  CHECK(Send(Lookup("r7"), mFollower).mStatus == 503);
  CHECK(Send(Lookup("r7"), mRelay).mStatus == 503);
  Control(mFleet, { { "store", { { "silent", false } } } });
  for (const std::size_t gateway : { mRelay, mFollower }) {
    CHECK(WaitUntil([&] { return Send(Lookup("r8"), gateway).mStatus == 200; }));
  }
}

TEST_CASE_METHOD(gateway_fixture, "gateways_give_each_engine_its_layers_once_and_replace_a_killed_placement_leader")
{
  StartGateway();
  StartGateway();
  CHECK(Records("place").size() == 4);
  const auto isPlaced = [&] {
    const auto servers = Servers();
    return std::all_of(servers.begin(), servers.end(), [](const auto& aServer) {
      const auto& server = aServer.as_object();
      return !server.at("name").as_string().starts_with("engine") || server.at("end").template to_number<int>() > 0;
    });
  };
  // Whichever gateway is the placement leader, one of the two kills ends its leadership.
  mGateways[0]->Kill();
  SetServer("engine-0", "reborn");
  CHECK(WaitUntil(isPlaced));
  StartGateway();
  mGateways[1]->Kill();
  SetServer("engine-1", "reborn");
  CHECK(WaitUntil(isPlaced));
}

TEST_CASE_METHOD(gateway_fixture, "gateway_whose_write_took_effect_without_a_response_still_places_layers")
{
  // Covers all writes of a start, so the lease's first write is among those whose response is lost.
  Control(mFleet, { { "store", { { "lose_answers", 4 } } } });
  StartGateway();
  CHECK(Records("place").size() >= 4);
}

TEST_CASE("gateway_whose_servers_run_a_request_and_answer_503_429_or_408_does_not_promise_that_it_did_not_run")
{
  one_gateway_fixture fixture({ "--once_route" });
  for (const std::string status : { "503", "429", "408" }) {
    for (const auto& server : fixture.Servers()) {
      fixture.SetServer(std::string(server.as_object().at("name").as_string()), "failing" + status);
    }
    gateway_call once = one_gateway_fixture::Stream("once-" + status, 4);
    once.mTarget = "/once/1";
    for (const gateway_call& call : { one_gateway_fixture::Booking("booking-" + status),
                                      one_gateway_fixture::Lookup("lookup-" + status),
                                      one_gateway_fixture::Stream("stream-" + status, 4),
                                      once }) {
      INFO(call.mId);
      CHECK(fixture.Send(call).mStatus == 502);
      CHECK(fixture.RunCount(call.mId) >= 1);
    }
    CHECK(fixture.RunCount("booking-" + status) == 1);
    CHECK(fixture.RunCount("once-" + status) == 1);
  }
}
