#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <future>
#include <thread>

#include "processes/cluster.h"
#include "processes/http_call.h"
#include "processes/raw_caller.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr int kExited = 0;
constexpr int kNotExited = -1;
constexpr std::uint64_t kTokens = 40;
constexpr std::uint32_t kStepUs = 2000;

/// One entry before a chain of two stages and two services.
struct entry_termination_fixture
{
  explicit entry_termination_fixture(std::map<std::string, std::string> aLimits = { { "drain_ms", "300" } },
                                     std::uint32_t aStepUs = kStepUs,
                                     std::vector<std::string> aEntries = { "domain-a" })
    : mCluster({ TwoChains(aStepUs), { "domain-a", "domain-b" }, std::move(aEntries), 8, std::move(aLimits) })
  {
  }

  cluster mCluster;

  process& Entry() { return mCluster.Entry(0); }
  net::endpoint Callers() { return Entry().Address("http"); }

  /// Starts a stream; returns when it has delivered a token.
  std::future<response> StartStream(const std::string& aPrompt, std::uint64_t aTokens)
  {
    auto started = std::make_shared<std::promise<void>>();
    auto hasStarted = started->get_future();
    auto stream = std::async(std::launch::async, [=, this] {
      completion_call call{ aPrompt, aTokens };
      call.mOnToken = [=](std::size_t aCount) {
        if (aCount == 1) {
          started->set_value();
        }
        return true;
      };
      return mCluster.CallerAt(0).Complete(call);
    });
    REQUIRE(hasStarted.wait_for(kTestTimeout) == std::future_status::ready);
    return stream;
  }

  /// A request as bytes, for a connection that is kept open.
  std::string Request(const std::string& aMethod, const std::string& aTarget, const std::string& aBody = "") const
  {
    return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: demo.example\r\nAuthorization: " + mCluster.Authorization() +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }
  std::string Lookup() const { return Request("GET", "/services/stock/rope"); }
  std::string Stream(std::uint64_t aTokens) const
  {
    return Request("POST",
                   "/v1/completions",
                   R"({"model":"demo","prompt":"Long brief","stream":true,"max_tokens":)" + std::to_string(aTokens) +
                     "}");
  }

  /// Waits until the entry accepts no more connections.
  void WaitUntilClosed()
  {
    REQUIRE(WaitUntil([&] { return Entry().Log().find("Stopped accepting") != std::string::npos; }));
  }
};

constexpr std::string_view kDone = "data: [DONE]\n\n";
constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";

/// Engines that are fast enough for long streams.
struct fast_engines_fixture : entry_termination_fixture
{
  fast_engines_fixture()
    : entry_termination_fixture({ { "drain_ms", "300" } }, 50)
  {
  }
};

/// Links that outlive an entry that does not read.
struct large_replies_fixture : entry_termination_fixture
{
  large_replies_fixture()
    : entry_termination_fixture({ { "link_idle_ms", "20000" }, { "stall_floor_ms", "20000" } })
  {
  }
};

/// Two entries that are killed four seconds after SIGTERM, and engines that take 160 ms for a token.
struct grace_period_fixture : entry_termination_fixture
{
  grace_period_fixture()
    : entry_termination_fixture({ { "drain_ms", "1500" }, { "stop_grace_ms", "4000" } },
                                20'000,
                                { "domain-a", "domain-a" })
  {
  }

  /// Sends SIGTERM; returns once the entry has noticed it.
  void Terminate()
  {
    mTerminatedAt = std::chrono::steady_clock::now();
    Entry().Terminate();
    REQUIRE(WaitUntil([&] { return Entry().Log().find("Shutting down") != std::string::npos; }));
  }

  /// Does what the platform does: sends SIGKILL at the end of the grace period.
  std::optional<int> KillAfterGrace()
  {
    Entry().WaitForExit(std::chrono::duration_cast<duration>(mTerminatedAt + 4s - std::chrono::steady_clock::now()));
    Entry().Kill();
    return Entry().Status();
  }

  std::chrono::steady_clock::time_point mTerminatedAt;
};

} // namespace

TEST_CASE_METHOD(entry_termination_fixture, "entry_and_sidecars_that_get_sighup_or_sigpipe_interrupt_nothing")
{
  std::future<response> stream = StartStream("Long brief", kTokens);
  const int number = GENERATE(SIGHUP, SIGPIPE);
  Entry().Signal(number);
  for (std::size_t engine = 0; engine < 4; ++engine) {
    mCluster.Engine(engine).mSidecar->Signal(number);
  }
  CHECK(Text(mCluster.CheckCompletion(stream.get(), "Long brief", kTokens)) == "");
  CHECK(mCluster.CallerAt(0).Complete({ "After it", 4 }).mStream.mDone);
  CHECK_FALSE(Entry().Status().has_value());
}

TEST_CASE_METHOD(entry_termination_fixture, "entry_and_sidecars_that_get_sigterm_twice_interrupt_nothing")
{
  std::future<response> stream = StartStream("Long brief", kTokens);
  const std::size_t leaving = mCluster.ServingEngine(0);
  for (const int number : { SIGTERM, SIGTERM, SIGINT, SIGHUP }) {
    Entry().Signal(number);
    mCluster.Engine(leaving).mSidecar->Signal(number);
  }
  CHECK(Text(mCluster.CheckCompletion(stream.get(), "Long brief", kTokens)) == "");
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
  CHECK(mCluster.Engine(leaving).mSidecar->WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(entry_termination_fixture, "entry_terminated_while_operators_watch_ends")
{
  const temporary_folder folder;
  std::vector<std::string> command = mCluster.OperatorCommand(0, { "watch", "--after", "0" });
  command.insert(command.begin(), { "/bin/sh", "-c", "exec \"$0\" \"$@\" > " + folder.File("changes") });
  std::future<program_result> watch =
    std::async(std::launch::async, [&] { return RunProgram(command, 4 * kTestTimeout); });
  REQUIRE(WaitUntil([&] {
    std::error_code error;
    return std::filesystem::file_size(folder.File("changes"), error) > 0 && !error;
  }));
  Entry().Terminate();
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
  Entry().Kill();
  CHECK(watch.get().mErr.find("stopping") != std::string::npos);
}

TEST_CASE_METHOD(fast_engines_fixture,
                 "entry_that_closes_a_connection_with_the_next_request_unread_does_not_reset_the_response")
{
  raw_caller caller(Callers(), 2048);
  REQUIRE(caller.Send(Stream(400)));
  REQUIRE(caller.ReadUntil("data: "));
  Entry().Terminate();
  WaitUntilClosed();
  // Most of the response has not reached the caller, and further requests are unread when it ends.
  REQUIRE(caller.Send(Lookup() + Lookup()));
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
  CHECK(caller.ReadToEnd() == connection_end::Closed);
  bool isComplete = false;
  const std::string body = caller.ChunkedBody(isComplete);
  CHECK(isComplete);
  CHECK(body.ends_with(kDone));
}

TEST_CASE_METHOD(entry_termination_fixture, "request_on_a_connection_that_a_stopping_entry_promised_to_keep_is_served")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(Stream(kTokens)));
  REQUIRE(caller.ReadUntil("data: "));
  Entry().Terminate();
  WaitUntilClosed();
  REQUIRE(caller.ReadUntil(std::string(kDone) + std::string(kLastChunk)));
  const std::size_t received = caller.Received().size();
  REQUIRE(caller.Send(Lookup()));
  CHECK(caller.ReadToEnd() == connection_end::Closed);
  CHECK(caller.Received().substr(received, 12) == "HTTP/1.1 200");
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(entry_termination_fixture, "request_whose_body_arrives_while_its_entry_stops_accepting_is_served")
{
  const std::string head = "POST /services/bookings/reserve HTTP/1.1\r\nIdempotency-Key: ";
  const std::string booking = Request("POST", "/services/bookings/reserve", std::string(20'000, 'x'));
  const std::string rest = booking.substr(booking.find("\r\n"));
  raw_caller kept(Callers());
  REQUIRE(kept.Send(Lookup()));
  REQUIRE(kept.ReadUntil("HTTP/1.1 200"));
  REQUIRE(kept.Send(head + "kept" + rest.substr(0, 10'000)));
  raw_caller fresh(Callers());
  REQUIRE(fresh.Send(head + "fresh" + rest.substr(0, 10'000)));
  Entry().Terminate();
  WaitUntilClosed();
  // The callers send slowly: a piece each 300 ms.
  for (std::size_t sent = 10'000; sent < rest.size(); sent += 2'000) {
    std::this_thread::sleep_for(300ms);
    kept.Send(rest.substr(sent, 2'000));
    fresh.Send(rest.substr(sent, 2'000));
  }
  CHECK(kept.ReadToEnd() == connection_end::Closed);
  CHECK(kept.LastStatus() == 201);
  CHECK(fresh.ReadToEnd() == connection_end::Closed);
  CHECK(fresh.LastStatus() == 201);
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(entry_termination_fixture, "request_that_stops_half_way_gets_a_response_and_its_entry_ends")
{
  raw_caller caller(Callers());
  REQUIRE(caller.Send(Lookup().substr(0, 30)));
  Entry().Terminate();
  CHECK(caller.ReadToEnd() == connection_end::Closed);
  CHECK(caller.LastStatus() == 408);
  CHECK(Entry().WaitForExit().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(entry_termination_fixture, "request_that_arrives_as_its_entry_stops_accepting_gets_a_response")
{
  raw_caller kept(Callers());
  REQUIRE(kept.Send(Lookup()));
  REQUIRE(kept.ReadUntil("HTTP/1.1 200"));
  Entry().Terminate();
  // The entry gets no processor time while it should stop accepting connections.
  Entry().Freeze();
  REQUIRE(kept.Send(Lookup()));
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int each = 0; each < 8; ++each) {
    callers.push_back(std::make_unique<raw_caller>(Callers()));
    REQUIRE(callers.back()->Send(Lookup()));
  }
  std::this_thread::sleep_for(600ms);
  Entry().Wake();
  CHECK(kept.ReadToEnd() == connection_end::Closed);
  CHECK(kept.Received().rfind("HTTP/1.1 200") > 0);
  for (const auto& caller : callers) {
    CHECK(caller->ReadToEnd() == connection_end::Closed);
    CHECK(caller->LastStatus() == 200);
  }
}

TEST_CASE_METHOD(grace_period_fixture, "stream_longer_than_the_grace_period_of_its_entry_gets_an_error_and_is_resumed")
{
  const std::string prompt = "Long brief";
  std::future<response> stream = StartStream(prompt, kTokens);
  Terminate();
  CHECK(KillAfterGrace().value_or(kNotExited) == kExited);
  const response cut = stream.get();
  CHECK_FALSE(cut.mNetError.has_value());
  CHECK(cut.mStatus == 200);
  CHECK(cut.mOutcome == "failed");
  CHECK(cut.mTokens > 10);
  completion_call rest{ prompt, kTokens };
  rest.mLastEventId = cut.mLastEventId;
  const response resumed = mCluster.CallerAt(1).Complete(rest);
  CHECK(resumed.mStatus == 200);
  observed_stream both = resumed.mStream;
  both.mText = cut.mStream.mText + resumed.mStream.mText;
  CHECK(Text(CheckStream(both, prompt, kTokens, 8)) == "");
  CHECK(Text(CheckLayers(mCluster.AllEngineRuns(), cut.mRequest, kTokens, 8)) == "");
}

TEST_CASE_METHOD(grace_period_fixture, "requests_that_run_at_the_end_of_the_grace_period_of_their_entry_get_a_response")
{
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    Control(*mCluster.Service(service).mServer, { { "slow_ms", 8000 } });
  }
  auto booking = std::async(std::launch::async, [&] { return mCluster.CallerAt(0).Book("winch", "cut"); });
  auto whole = std::async(std::launch::async, [&] {
    completion_call call{ "Whole brief", kTokens };
    call.mIsStream = false;
    return mCluster.CallerAt(0).Complete(call);
  });
  REQUIRE(WaitUntil([&] {
    return CheckBookings(mCluster.AllServiceRuns(), { { "winch", booking_outcome::NotRun } }).size() > 0;
  }));
  Terminate();
  CHECK(KillAfterGrace().value_or(kNotExited) == kExited);
  const response booked = booking.get();
  CHECK(booked.mStatus == 504);
  CHECK(booked.mOutcome == "unknown");
  const response completed = whole.get();
  CHECK(completed.mStatus == 503);
  CHECK(completed.mOutcome == "failed");
}

TEST_CASE_METHOD(grace_period_fixture,
                 "request_that_can_t_end_within_the_grace_period_of_its_entry_is_rejected_at_once")
{
  REQUIRE(mCluster.CallerAt(0).Complete({ "Short note", 8 }).mStream.mDone);
  Terminate();
  const response late = mCluster.CallerAt(0).Complete({ "Late brief", kTokens });
  CHECK(late.mStatus == 503);
  CHECK(late.mOutcome == "not_run");
  CHECK_FALSE(late.mHeaders.Get("Retry-After").empty());
  CHECK(mCluster.CallerAt(0).Complete({ "Short note", 6 }).mStream.mDone);
  CHECK(KillAfterGrace().value_or(kNotExited) == kExited);
}

TEST_CASE_METHOD(large_replies_fixture, "calls_with_large_replies_of_sidecars_that_end_get_them")
{
  REQUIRE(mCluster.Apply(0, "[route demo/plain]\npool = services\n").mStatus == 0);
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    Control(*mCluster.Service(service).mServer, { { "slow_ms", 1500 } });
  }
  const std::size_t earlier = mCluster.AllServiceRuns().size();
  std::vector<std::future<response>> calls;
  calls.reserve(24);
  for (int each = 0; each < 24; ++each) {
    calls.push_back(std::async(std::launch::async, [&] {
      net::http_request request;
      request.mMethod = "POST";
      request.mTarget = "/services/plain/echo";
      request.mBody = std::string(900'000, 'x');
      return mCluster.CallerAt(0).Send(request);
    }));
  }
  REQUIRE(WaitUntil([&] { return mCluster.AllServiceRuns().size() >= earlier + calls.size(); }));
  // The entry does not read: most of the replies stay in the sidecars when they have nothing else to do.
  Entry().Freeze();
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    mCluster.Service(service).mSidecar->Terminate();
  }
  mCluster.Service(0).mSidecar->WaitForExit(3s);
  Entry().Wake();
  for (auto& call : calls) {
    CHECK(call.get().mStatus == 200);
  }
  for (const std::size_t service : { std::size_t(0), std::size_t(1) }) {
    CHECK(mCluster.Service(service).mSidecar->WaitForExit().value_or(kNotExited) == kExited);
  }
}
