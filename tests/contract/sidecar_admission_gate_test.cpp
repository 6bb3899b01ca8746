#include "sidecar/admission_gate.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::sidecar;
using namespace std::chrono_literals;

namespace {

/// A gate with 2 slots and a queue for 4 requests.
struct admission_gate_fixture
{
  boost::asio::io_context mContext;
  ref<admission_gate> mGate =
    MakeRef<admission_gate>(mContext, gate_limits{ 2, 4 }, metrics::process_metrics::Create());
  std::vector<std::string> mStarted;
  std::vector<std::string> mExpired;

  static policy::admission_request Request(const std::string& aWorkspace)
  {
    policy::admission_request request;
    request.mWorkspace = workspace_id(aWorkspace);
    request.mOutputTokens = token_count(10);
    return request;
  }

  gate_response Enter(const std::string& aName, const policy::admission_request& aRequest, bool aMayWait = true)
  {
    return mGate->Enter(
      aRequest, aMayWait, [this, aName](bool aIsExpired) { (aIsExpired ? mExpired : mStarted).push_back(aName); });
  }
  gate_response Enter(const std::string& aName) { return Enter(aName, Request(aName)); }
  policy::admission_ticket Wait(const std::string& aName) { return std::get<gate_waiting>(Enter(aName)).mTicket; }

  /// Takes all free slots.
  void Fill()
  {
    while (mGate->Running() < mGate->MaxRunning()) {
      REQUIRE(std::holds_alternative<gate_started>(Enter("first")));
    }
  }

  /// Runs the callbacks that the gate has posted.
  void RunPosted()
  {
    mContext.restart();
    mContext.poll();
  }
};

} // namespace

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_with_a_free_slot_starts_at_once")
{
  CHECK(std::holds_alternative<gate_started>(Enter("a")));
  CHECK(std::holds_alternative<gate_started>(Enter("b", Request("b"), false)));
  CHECK(mGate->Running() == 2);
  RunPosted();
  CHECK(mStarted.empty());
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_without_a_free_slot_refuses_a_request_that_may_not_wait")
{
  Fill();
  const auto response = Enter("a", Request("a"), false);
  REQUIRE(std::holds_alternative<policy::admission_error>(response));
  CHECK(std::get<policy::admission_error>(response).mReason == policy::admission_refusal::QueueFull);
  CHECK(std::get<policy::admission_error>(response).mRetryAfter);
  CHECK(mGate->Waiting() == 0);
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_starts_one_waiting_request_for_each_freed_slot")
{
  Fill();
  Wait("a");
  Wait("b");
  CHECK(mGate->Waiting() == 2);
  mGate->Leave();
  RunPosted();
  CHECK(mStarted == std::vector<std::string>{ "a" });
  CHECK(mGate->Running() == 2);
  mGate->Leave();
  mGate->Leave();
  RunPosted();
  CHECK(mStarted == std::vector<std::string>{ "a", "b" });
  CHECK(mGate->Running() == 1);
  CHECK(mGate->Waiting() == 0);
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_with_waiting_requests_lets_no_request_overtake_them")
{
  Fill();
  Wait("a");
  mGate->SetMaxRunning(2);
  const auto response = Enter("late", Request("late"), false);
  CHECK(std::holds_alternative<policy::admission_error>(response));
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_callback_runs_on_the_context_only")
{
  Fill();
  Wait("a");
  mGate->Leave();
  CHECK(mStarted.empty());
  RunPosted();
  CHECK(mStarted.size() == 1);
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_cancelled_request_is_not_started")
{
  Fill();
  const auto ticket = Wait("a");
  Wait("b");
  CHECK(mGate->CancelWaiting(ticket));
  CHECK_FALSE(mGate->CancelWaiting(ticket));
  mGate->Leave();
  RunPosted();
  CHECK(mStarted == std::vector<std::string>{ "b" });
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_cancel_of_a_started_request_fails_and_keeps_its_slot")
{
  Fill();
  const auto ticket = Wait("a");
  mGate->Leave();
  CHECK_FALSE(mGate->CancelWaiting(ticket));
  CHECK(mGate->Running() == 2);
  RunPosted();
  CHECK(mStarted == std::vector<std::string>{ "a" });
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_full_queue_refuses_with_a_retry_after")
{
  Fill();
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    const auto response = Enter("w" + std::to_string(i));
    if (const auto* error = std::get_if<policy::admission_error>(&response)) {
      ++refused;
      CHECK(error->mReason == policy::admission_refusal::QueueFull);
      CHECK(error->mRetryAfter);
    }
  }
  CHECK(refused == 16);
  CHECK(mGate->Waiting() == 4);
}

TEST_CASE_METHOD(admission_gate_fixture,
                 "admission_gate_request_that_can_not_meet_its_deadline_is_refused_without_a_retry_after")
{
  Fill();
  auto request = Request("a");
  request.mFirstTokenDeadline = Now() - 1s;
  const auto response = Enter("a", request);
  REQUIRE(std::holds_alternative<policy::admission_error>(response));
  CHECK(std::get<policy::admission_error>(response).mReason == policy::admission_refusal::DeadlineUnreachable);
  CHECK_FALSE(std::get<policy::admission_error>(response).mRetryAfter);
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_expired_request_is_notified_and_takes_no_slot")
{
  Fill();
  auto request = Request("a");
  const instant deadline = Now() + 50ms;
  request.mFirstTokenDeadline = deadline;
  REQUIRE(std::holds_alternative<gate_waiting>(Enter("a", request)));
  Wait("b");
  while (Now() <= deadline) {
    // Busy wait: the gate reads the real clock.
  }
  mGate->Leave();
  RunPosted();
  CHECK(mExpired == std::vector<std::string>{ "a" });
  CHECK(mStarted == std::vector<std::string>{ "b" });
  CHECK(mGate->Running() == 2);
}

TEST_CASE_METHOD(admission_gate_fixture, "admission_gate_raised_limit_starts_waiting_requests")
{
  Fill();
  Wait("a");
  Wait("b");
  Wait("c");
  mGate->SetMaxRunning(4);
  RunPosted();
  CHECK(mStarted.size() == 2);
  CHECK(mGate->Running() == 4);
  CHECK(mGate->Waiting() == 1);
}

TEST_CASE_METHOD(admission_gate_fixture,
                 "admission_gate_lowered_limit_lets_running_requests_finish_and_starts_none_above_it")
{
  Fill();
  Wait("a");
  mGate->SetMaxRunning(1);
  mGate->Leave();
  RunPosted();
  CHECK(mStarted.empty());
  CHECK(mGate->Running() == 1);
  mGate->Leave();
  RunPosted();
  CHECK(mStarted.size() == 1);
  CHECK(mGate->Running() == 1);
}
