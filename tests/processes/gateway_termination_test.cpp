#include "processes/raw_caller.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr int kExited = 0;
constexpr int kNotExited = -1;

/// One gateway with a grace period of three seconds before engines that write an event each aEventMs milliseconds.
struct terminated_gateway_fixture : gateway_fixture
{
  explicit terminated_gateway_fixture(const std::string& aEventMs = "10", double aGraceS = 3)
    : gateway_fixture({ "--event_ms=" + aEventMs })
  {
    mGraceS = aGraceS;
    StartGateway();
  }

  process& Gateway() { return *mGateways.front(); }
  net::endpoint Callers() { return Gateway().Address("http"); }

  /// Sends SIGTERM; returns once the gateway has noticed it.
  void Terminate()
  {
    Gateway().Terminate();
    REQUIRE(WaitUntil([&] { return !IsReady(Gateway()); }));
  }

  static gateway_call Stream(const std::string& aId, unsigned aTokens)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/draft/1";
    call.mId = aId;
    call.mOutputTokens = aTokens;
    return call;
  }

  static gateway_call Booking(const std::string& aId)
  {
    gateway_call call;
    call.mMethod = "POST";
    call.mTarget = "/book/winch";
    call.mId = aId;
    call.mBody = "body of " + aId;
    return call;
  }

  static gateway_call Lookup(const std::string& aId)
  {
    gateway_call call;
    call.mTarget = "/look/rope";
    call.mId = aId;
    return call;
  }
};

/// Engines whose streams of 80 tokens take four seconds.
struct slow_engines_fixture : terminated_gateway_fixture
{
  explicit slow_engines_fixture(double aGraceS = 3)
    : terminated_gateway_fixture("100", aGraceS)
  {
  }
};

struct long_grace_period_fixture : terminated_gateway_fixture
{
  long_grace_period_fixture()
    : terminated_gateway_fixture("10", 8)
  {
  }
};

struct short_grace_period_fixture : slow_engines_fixture
{
  short_grace_period_fixture()
    : slow_engines_fixture(2)
  {
  }
};

} // namespace

TEST_CASE_METHOD(slow_engines_fixture, "gateway_terminated_before_streams_longer_than_its_grace_period_rejects_them")
{
  raw_caller earlier(Callers());
  REQUIRE(earlier.Send(EncodeRequest(Stream("earlier", 80))));
  REQUIRE(earlier.ReadUntil("token 10\n"));
  Terminate();
  for (const char* id : { "late-1", "late-2", "late-3" }) {
    raw_caller late(Callers());
    REQUIRE(late.Send(EncodeRequest(Stream(id, 80))));
    CHECK(late.ReadToEnd() == connection_end::Closed);
    INFO(id << " got " << late.Received() << Gateway().Output());
    CHECK(late.LastStatus() == 503);
    CHECK(RunCount(id) == 0);
  }
}

TEST_CASE_METHOD(slow_engines_fixture, "gateway_terminated_serves_streams_that_end_within_its_grace_period")
{
  raw_caller earlier(Callers());
  REQUIRE(earlier.Send(EncodeRequest(Stream("earlier", 80))));
  REQUIRE(earlier.ReadUntil("token 10\n"));
  Terminate();
  raw_caller late(Callers());
  REQUIRE(late.Send(EncodeRequest(Stream("late", 8))));
  late.ReadToEnd();
  bool isComplete = false;
  CHECK(late.ChunkedBody(isComplete) == EventsUpTo(4));
  CHECK(isComplete);
}

TEST_CASE_METHOD(terminated_gateway_fixture,
                 "stream_far_longer_than_its_hint_sent_late_to_a_leaving_gateway_is_rejected_or_complete")
{
  raw_caller earlier(Callers());
  REQUIRE(earlier.Send(EncodeRequest(Stream("earlier", 400))));
  REQUIRE(earlier.ReadUntil("token 10\n"));
  const auto terminatedAt = std::chrono::steady_clock::now();
  Terminate();
  raw_caller late(Callers());
  std::this_thread::sleep_until(terminatedAt + 3000ms * 3 / 8 + 50ms);
  REQUIRE(late.Send(EncodeRequest(Stream("late", 600), 4)));
  late.ReadToEnd();
  bool isComplete = false;
  const std::string body = late.ChunkedBody(isComplete);
  INFO("got " << late.LastStatus() << " and " << body.size() << " bytes\n" << Gateway().Output());
  CHECK((late.LastStatus() == 503 || isComplete));
}

TEST_CASE_METHOD(slow_engines_fixture,
                 "stream_sent_late_to_a_leaving_gateway_that_has_measured_no_gaps_is_rejected_or_complete")
{
  const auto terminatedAt = std::chrono::steady_clock::now();
  Terminate();
  raw_caller late(Callers());
  std::this_thread::sleep_until(terminatedAt + 3000ms * 3 / 8 + 50ms);
  REQUIRE(late.Send(EncodeRequest(Stream("late", 80))));
  late.ReadToEnd();
  bool isComplete = false;
  const std::string body = late.ChunkedBody(isComplete);
  INFO("got " << late.LastStatus() << " and " << body.size() << " bytes\n" << Gateway().Output());
  CHECK((late.LastStatus() == 503 || isComplete));
}

TEST_CASE_METHOD(slow_engines_fixture, "stream_whose_first_engine_falls_silent_under_a_leaving_gateway_is_resumed")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("resumed", 80))));
  REQUIRE(caller.ReadUntil("token 3\n"));
  Terminate();
  SetServer(std::string(Records("run", "resumed").front().at("server").as_string()), "dark");
  caller.ReadToEnd();
  INFO(Gateway().Output());
  CHECK(RunCount("resumed") == 2);
}

TEST_CASE_METHOD(slow_engines_fixture, "stream_whose_new_path_is_refused_under_a_leaving_gateway_is_resumed")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("refused", 80))));
  REQUIRE(caller.ReadUntil("token 3\n"));
  const auto run = Records("run", "refused").front();
  const std::string path(run.at("path").as_string());
  const std::string second = path.substr(path.find(',') + 1);
  SetServer(std::string(run.at("server").as_string()), "closing");
  Terminate();
  SetServer(ServerNameAt(second.substr(0, second.find('='))), "dark");
  caller.ReadToEnd();
  INFO(Gateway().Output());
  CHECK(RunCount("refused") == 2);
}

TEST_CASE_METHOD(short_grace_period_fixture, "stream_longer_than_a_short_grace_period_runs_until_the_last_sixth_of_it")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("long", 80))));
  REQUIRE(caller.ReadUntil("token 3\n"));
  const auto terminatedAt = std::chrono::steady_clock::now();
  Terminate();
  caller.ReadToEnd();
  INFO(Gateway().Output());
  CHECK(std::chrono::steady_clock::now() - terminatedAt >= 2000ms * 5 / 6);
  CHECK(Gateway().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(terminated_gateway_fixture, "stream_whose_engine_ends_while_its_gateway_leaves_is_completed")
{
  StartGateway();
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("moved", 160))));
  REQUIRE(caller.ReadUntil("token 5\n"));
  Terminate();
  SetServer(std::string(Records("run", "moved").front().at("server").as_string()), "reborn");
  caller.ReadToEnd();
  bool isComplete = false;
  INFO(Gateway().Output());
  CHECK(caller.ChunkedBody(isComplete) == EventsUpTo(80));
  CHECK(isComplete);
  CHECK(RunCount("moved") == 2);
}

TEST_CASE_METHOD(terminated_gateway_fixture, "gateway_signalled_again_while_it_leaves_ends_as_after_the_first_signal")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("running", 160))));
  REQUIRE(caller.ReadUntil("token 5\n"));
  Terminate();
  ::kill(Gateway().Pid(), SIGHUP);
  Gateway().Terminate();
  ::kill(Gateway().Pid(), SIGINT);
  caller.ReadToEnd();
  bool isComplete = false;
  CHECK(caller.ChunkedBody(isComplete) == EventsUpTo(80));
  CHECK(isComplete);
  CHECK(Gateway().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(terminated_gateway_fixture, "booking_that_runs_when_its_gateway_stops_gets_a_response")
{
  SetServer("service-0", "dark");
  SetServer("service-1", "dark");
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Booking("cut-booking"))));
  REQUIRE(WaitUntil([&] { return Gateway().Output().find("\"cut-booking\"") != std::string::npos; }));
  Terminate();
  CHECK(caller.ReadToEnd() == connection_end::Closed);
  INFO(Gateway().Output());
  CHECK(caller.LastStatus() == 502);
  CHECK(Gateway().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(terminated_gateway_fixture, "stream_without_an_event_when_its_gateway_stops_gets_a_response")
{
  for (const auto& server : Servers()) {
    SetServer(std::string(server.as_object().at("name").as_string()), "dark");
  }
  Control(mFleet, { { "store", { { "down", true } } } });
  raw_caller caller(Callers());
  REQUIRE(caller.Send(EncodeRequest(Stream("cut-stream", 20))));
  REQUIRE(WaitUntil([&] { return Gateway().Output().find("\"cut-stream\"") != std::string::npos; }));
  Terminate();
  CHECK(caller.ReadToEnd() == connection_end::Closed);
  INFO(Gateway().Output());
  CHECK(caller.LastStatus() >= 500);
}

TEST_CASE_METHOD(terminated_gateway_fixture, "request_that_arrives_as_its_gateway_stops_accepting_gets_a_response")
{
  raw_caller kept(Callers());
  REQUIRE(kept.Send(EncodeRequest(Lookup("kept-1"))));
  REQUIRE(kept.ReadUntil("answer to kept-1"));
  Terminate();
  // The gateway gets no processor time while it should stop accepting connections.
  Gateway().Freeze();
  REQUIRE(kept.Send(EncodeRequest(Lookup("kept-2"))));
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int each = 0; each < 8; ++each) {
    callers.push_back(std::make_unique<raw_caller>(Callers()));
    REQUIRE(callers.back()->Send(EncodeRequest(Lookup("new-" + std::to_string(each)))));
  }
  std::this_thread::sleep_for(1600ms);
  Gateway().Wake();
  kept.ReadToEnd();
  CHECK(kept.Received().find("HTTP/1.1 ", kept.Received().find("answer to kept-1")) != std::string::npos);
  for (const auto& caller : callers) {
    caller->ReadToEnd();
    CHECK(caller->LastStatus() > 0);
  }
}

TEST_CASE_METHOD(terminated_gateway_fixture,
                 "connection_closed_with_the_next_request_unread_does_not_reset_the_response")
{
  raw_caller caller(Callers(), 2048);
  gateway_call stream = Stream("long", 240);
  REQUIRE(caller.Send(EncodeRequest(stream)));
  REQUIRE(caller.ReadUntil("token 1\n"));
  Terminate();
  // The next request is still unread when the response ends, and most of the response has not reached the caller.
  REQUIRE(caller.Send(EncodeRequest(Lookup("next"))));
  CHECK(Gateway().WaitForExit().value_or(kNotExited) == kExited);
  caller.ReadToEnd();
  bool isComplete = false;
  CHECK(caller.ChunkedBody(isComplete) == EventsUpTo(120));
  CHECK(isComplete);
}

TEST_CASE_METHOD(long_grace_period_fixture, "response_that_waits_for_a_slow_caller_of_a_leaving_gateway_is_not_reset")
{
  raw_caller caller(Callers(), 1);
  Terminate();
  REQUIRE(caller.Send(EncodeRequest(Stream("long", 240))));
  REQUIRE(caller.ReadUntil("token 1\n"));
  REQUIRE(
    WaitUntil([&] { return Gateway().Output().find("stream_served\",\"request\":\"long") != std::string::npos; }));
  // The caller does nothing for longer than the gateway waits for callers that have received everything.
  std::this_thread::sleep_for(1500ms);
  caller.Send(EncodeRequest(Lookup("next")));
  caller.ReadToEnd();
  bool isComplete = false;
  CHECK(caller.ChunkedBody(isComplete) == EventsUpTo(120));
  CHECK(isComplete);
  CHECK(Gateway().WaitForExit().value_or(kNotExited) == kExited);
}
