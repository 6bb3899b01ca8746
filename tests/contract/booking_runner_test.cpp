#include "sidecar/booking_runner.h"

#include <catch2/catch.hpp>

#include <array>
#include <thread>

#include "contract/booking_fakes.h"

using namespace chervilpulley;
using namespace chervilpulley::fakes;
using namespace chervilpulley::sidecar;

namespace {

/// Result of a call as its caller sees it.
enum class call_result
{
  First,
  Replay,
  NotRun,
  Unknown
};

/// Two sidecars that share a store and a service.
struct booking_runner_fixture
{
  booking_runner_fixture()
    : mService(MakeRef<memory_service>())
    , mFirst(MakeRunner("sidecar-1"))
    , mSecond(MakeRunner("sidecar-2"))
  {
  }

  ref<service_runner> MakeRunner(const std::string& aInstance)
  {
    service_runner_options options;
    options.mInstance = instance_id(aInstance);
    return MakeServiceRunner(mContext, mStore, ref<engine::service_client>(mService), options);
  }

  static link::service_call MakeCall(const std::string& aKey, const std::string& aBody = "winch")
  {
    link::service_call call;
    call.set_workspace("tegid");
    call.set_route("winches");
    call.set_method("POST");
    call.set_path("/reserve");
    call.set_body(aBody);
    call.set_idempotency_key(aKey);
    return call;
  }

  /// Starts a call; aOut receives its outcome.
  void Start(const ref<service_runner>& aRunner, link::service_call aCall, std::optional<service_outcome>& aOut)
  {
    boost::asio::co_spawn(
      mContext,
      [aRunner, aCall, &aOut]() -> boost::asio::awaitable<void> {
        aOut = co_await aRunner->Run(aCall, request_id("r-1"));
      },
      boost::asio::detached);
  }

  /// Runs a call until its outcome is known. Background work is not completed.
  service_outcome Call(const ref<service_runner>& aRunner, const link::service_call& aCall)
  {
    std::optional<service_outcome> out;
    Start(aRunner, aCall, out);
    mContext.restart();
    while (!out && mContext.run_one() > 0) {
    }
    REQUIRE(out);
    return *out;
  }

  /// Runs background work until none is left.
  void RunBackgroundWork()
  {
    mContext.restart();
    mContext.run();
  }

  static call_result Classify(const service_outcome& aOutcome)
  {
    if (const auto* reply = std::get_if<link::service_reply>(&aOutcome)) {
      return reply->replayed() ? call_result::Replay : call_result::First;
    }
    const auto callOutcome = std::get<link::refusal>(aOutcome).outcome();
    return callOutcome == link::OUTCOME_NOT_RUN ? call_result::NotRun : call_result::Unknown;
  }

  static link::refusal_reason Reason(const service_outcome& aOutcome)
  {
    REQUIRE(std::holds_alternative<link::refusal>(aOutcome));
    return std::get<link::refusal>(aOutcome).reason();
  }

  static std::string Body(const service_outcome& aOutcome)
  {
    REQUIRE(std::holds_alternative<link::service_reply>(aOutcome));
    return std::get<link::service_reply>(aOutcome).body();
  }

  boost::asio::io_context mContext;
  memory_store mStore;
  ref<memory_service> mService;
  ref<service_runner> mFirst;
  ref<service_runner> mSecond;
};

struct claim_case
{
  const char* mName;
  store_faults mFaults;
  call_result mFirst;
  call_result mRetry; ///< at another sidecar, after the faults
};

store_faults Faults(int aLostBefore, int aLostAfter, int aConflicts, int aOutageAfterLost, int aSlow = 0)
{
  store_faults faults;
  faults.mLostBefore = aLostBefore;
  faults.mLostAfter = aLostAfter;
  faults.mConflicts = aConflicts;
  faults.mFailedReadsAfterLost = aOutageAfterLost;
  faults.mDelayTurns = aSlow;
  return faults;
}

store_faults Outage()
{
  store_faults faults;
  faults.mOutage = true;
  return faults;
}

store_faults RateLimit()
{
  store_faults faults;
  faults.mRateLimited = true;
  return faults;
}

const claim_case kClaimCases[] = {
  { "no fault", {}, call_result::First, call_result::Replay },
  { "slow store", Faults(0, 0, 0, 0, 50), call_result::First, call_result::Replay },
  { "response lost before the effect", Faults(1, 0, 0, 0), call_result::First, call_result::Replay },
  { "response lost after the effect", Faults(0, 1, 0, 0), call_result::First, call_result::Replay },
  { "responses of claim and result lost after the effect",
    Faults(0, 2, 0, 0),
    call_result::First,
    call_result::Replay },
  { "responses lost before and after the effect", Faults(1, 1, 0, 0), call_result::First, call_result::Replay },
  { "conflicts", Faults(0, 0, 3, 0), call_result::First, call_result::Replay },
  { "conflicts and a lost response", Faults(0, 1, 2, 0), call_result::First, call_result::Replay },
  { "outage", Outage(), call_result::NotRun, call_result::First },
  { "rate limit", RateLimit(), call_result::NotRun, call_result::First },
  { "response lost before the effect, then outage", Faults(1, 0, 0, 1), call_result::NotRun, call_result::First },
  { "response lost after the effect, then outage", Faults(0, 1, 0, 1), call_result::NotRun, call_result::First },
};

struct service_case
{
  const char* mName;
  service_fault mFault;
  call_result mFirst;
  call_result mRetry; ///< at another sidecar, after the fault
  int mRuns;          ///< total of both calls
};

const service_case kServiceCases[] = {
  { "service can't be reached", service_fault::NotSent, call_result::NotRun, call_result::First, 1 },
  { "response lost", service_fault::LostResponse, call_result::Unknown, call_result::Unknown, 1 },
  { "request lost", service_fault::LostRequest, call_result::Unknown, call_result::Unknown, 0 },
};

} // namespace

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_under_store_faults_runs_at_most_once")
{
  const claim_case row = GENERATE(from_range(std::begin(kClaimCases), std::end(kClaimCases)));
  CAPTURE(row.mName);
  mStore.SetFaults(row.mFaults);
  CHECK(Classify(Call(mFirst, MakeCall("key"))) == row.mFirst);
  CHECK(mService->Runs("winch") == (row.mFirst == call_result::First ? 1 : 0));
  mStore.SetFaults({});
  RunBackgroundWork();
  CHECK(Classify(Call(mSecond, MakeCall("key"))) == row.mRetry);
  CHECK(mService->Runs("winch") == 1);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_under_service_faults_reports_whether_the_call_may_have_run")
{
  const service_case row = GENERATE(from_range(std::begin(kServiceCases), std::end(kServiceCases)));
  CAPTURE(row.mName);
  mService->mFault = row.mFault;
  CHECK(Classify(Call(mFirst, MakeCall("key"))) == row.mFirst);
  mService->mFault = service_fault::None;
  RunBackgroundWork();
  CHECK(Classify(Call(mSecond, MakeCall("key"))) == row.mRetry);
  CHECK(mService->Runs("winch") == row.mRuns);
  CHECK(mFirst->OpenBookings() == 0);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_retry_gets_the_whole_first_response")
{
  const auto first = Call(mFirst, MakeCall("key"));
  const auto retry = Call(mSecond, MakeCall("key"));
  REQUIRE(Classify(retry) == call_result::Replay);
  REQUIRE(Body(retry) == Body(first));
  const auto& reply = std::get<link::service_reply>(retry);
  REQUIRE(reply.status() == 201);
  REQUIRE(reply.headers_size() == 1);
  REQUIRE(reply.headers(0).value() == "application/json");
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_platform_outage_is_refused_at_once_with_a_retry_after")
{
  mStore.SetFaults(Outage());
  const auto outcome = Call(mFirst, MakeCall("key"));
  REQUIRE(Reason(outcome) == link::REFUSAL_PLATFORM_DOWN);
  REQUIRE(std::get<link::refusal>(outcome).retry_after_ms() > 0);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_result_deferred_by_an_outage_is_written_later")
{
  mService->mOnRun = [this] { mStore.SetFaults(Outage()); };
  REQUIRE(Classify(Call(mFirst, MakeCall("key"))) == call_result::First);
  REQUIRE(mFirst->OpenBookings() == 1);
  REQUIRE(Classify(Call(mFirst, MakeCall("key"))) == call_result::Replay);
  mStore.SetFaults({});
  RunBackgroundWork();
  REQUIRE(mFirst->OpenBookings() == 0);
  REQUIRE(Classify(Call(mSecond, MakeCall("key"))) == call_result::Replay);
  REQUIRE(mService->Runs("winch") == 1);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_retry_in_the_same_process_waits_for_the_run")
{
  std::optional<service_outcome> first;
  std::optional<service_outcome> second;
  std::optional<service_outcome> other;
  mService->mDelayTurns = 50;
  Start(mFirst, MakeCall("key"), first);
  Start(mFirst, MakeCall("key"), second);
  Start(mFirst, MakeCall("key", "another winch"), other);
  RunBackgroundWork();
  REQUIRE(Classify(*first) == call_result::First);
  REQUIRE(Classify(*second) == call_result::Replay);
  REQUIRE(Reason(*other) == link::REFUSAL_KEY_REUSED);
  REQUIRE(mService->Runs("winch") == 1);
}

TEST_CASE_METHOD(booking_runner_fixture,
                 "booking_runner_retry_at_another_sidecar_during_the_run_has_an_unknown_outcome")
{
  std::optional<service_outcome> first;
  mService->mDelayTurns = 2000;
  Start(mFirst, MakeCall("key"), first);
  for (int turn = 0; turn < 500; ++turn) {
    mContext.run_one();
  }
  REQUIRE_FALSE(first);
  REQUIRE(Classify(Call(mSecond, MakeCall("key"))) == call_result::Unknown);
  RunBackgroundWork();
  REQUIRE(Classify(*first) == call_result::First);
  REQUIRE(Classify(Call(mSecond, MakeCall("key"))) == call_result::Replay);
  REQUIRE(mService->Runs("winch") == 1);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_key_with_another_body_is_refused_by_any_sidecar")
{
  Call(mFirst, MakeCall("key"));
  REQUIRE(Reason(Call(mSecond, MakeCall("key", "another winch"))) == link::REFUSAL_KEY_REUSED);
  REQUIRE(mService->Runs("another winch") == 0);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_key_out_of_range_is_refused_as_not_run")
{
  auto [key, reason] = GENERATE(table<std::string, link::refusal_reason>({
    { "0155b8f4-0000-7000-8000-000000000000", link::REFUSAL_KEY_TOO_OLD },
    { "f55b8f40-0000-7000-8000-000000000000", link::REFUSAL_BAD_REQUEST },
    { std::string(256, 'k'), link::REFUSAL_BAD_REQUEST },
  }));
  const auto outcome = Call(mFirst, MakeCall(key));
  REQUIRE(Reason(outcome) == reason);
  REQUIRE(Classify(outcome) == call_result::NotRun);
  REQUIRE(mService->Runs("winch") == 0);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_deadline_that_passes_before_the_dispatch_releases_the_claim")
{
  auto call = MakeCall("key");
  call.set_deadline_ms(1);
  mStore.SetFaults(Faults(0, 0, 0, 0, 20'000));
  REQUIRE(Classify(Call(mFirst, call)) == call_result::NotRun);
  mStore.SetFaults({});
  REQUIRE(Classify(Call(mSecond, MakeCall("key"))) == call_result::First);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_call_without_claim_needs_no_platform")
{
  const bool isIdempotent = GENERATE(true, false);
  auto call = MakeCall(isIdempotent ? "key" : "");
  call.set_idempotent(isIdempotent);
  mStore.SetFaults(Outage());
  REQUIRE(Classify(Call(mFirst, call)) == call_result::First);
  mService->mFault = service_fault::LostResponse;
  REQUIRE(Classify(Call(mFirst, call)) == call_result::Unknown);
  mService->mFault = service_fault::NotSent;
  REQUIRE(Classify(Call(mFirst, call)) == call_result::NotRun);
  REQUIRE(mStore.Writes() == 0);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_concurrent_bookings_share_writes")
{
  constexpr int kCalls = 200;
  std::vector<std::optional<service_outcome>> outcomes(kCalls);
  mStore.SetFaults(Faults(0, 0, 0, 0, 500));
  for (int i = 0; i < kCalls; ++i) {
    Start(mFirst, MakeCall("key " + std::to_string(i), std::to_string(i)), outcomes[static_cast<std::size_t>(i)]);
  }
  RunBackgroundWork();
  for (const auto& outcome : outcomes) {
    REQUIRE(Classify(*outcome) == call_result::First);
  }
  REQUIRE(mStore.Writes() < kCalls / 2);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_without_memory_for_journals_still_replays_each_key")
{
  constexpr int kCalls = 300;
  service_runner_options options;
  options.mJournalBytes = 0;
  const auto runner = MakeServiceRunner(mContext, mStore, ref<engine::service_client>(mService), options);
  for (const call_result expected : { call_result::First, call_result::Replay }) {
    for (int i = 0; i < kCalls; ++i) {
      auto call = MakeCall("key " + std::to_string(i), std::to_string(i));
      call.set_route("route " + std::to_string(i % 40));
      REQUIRE(Classify(Call(runner, call)) == expected);
      RunBackgroundWork();
    }
  }
  REQUIRE(mService->Runs("7") == 1);
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_on_several_threads_runs_each_key_once")
{
  constexpr int kKeys = 30;
  constexpr int kCallsPerKey = 6;
  std::vector<std::optional<service_outcome>> outcomes(kKeys * kCallsPerKey);
  mStore.SetFaults(Faults(3, 3, 3, 0, 2));
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    const std::string number = std::to_string(i % kKeys);
    Start(i % 2 == 0 ? mFirst : mSecond, MakeCall("key " + number, number), outcomes[i]);
  }
  mContext.restart();
  std::array<std::thread, 4> threads;
  for (auto& thread : threads) {
    thread = std::thread([this] { mContext.run(); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  for (int key = 0; key < kKeys; ++key) {
    REQUIRE(mService->Runs(std::to_string(key)) == 1);
  }
  for (const auto& outcome : outcomes) {
    REQUIRE(Classify(*outcome) != call_result::NotRun);
  }
}

TEST_CASE_METHOD(booking_runner_fixture, "booking_runner_over_a_store_that_ignores_conditions_runs_a_call_twice")
{
  // Shows that the checks above detect a store that does not check versions.
  std::optional<service_outcome> first;
  std::optional<service_outcome> second;
  store_faults faults;
  faults.mIgnoresVersion = true;
  faults.mDelayTurns = 2;
  mStore.SetFaults(faults);
  Start(mFirst, MakeCall("key"), first);
  Start(mSecond, MakeCall("key"), second);
  RunBackgroundWork();
  REQUIRE(mService->Runs("winch") == 2);
}
