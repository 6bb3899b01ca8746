#include "sidecar/admission_gate.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::sidecar;

namespace {

constexpr std::uint32_t kSlots = 3;
constexpr int kThreads = 4;
constexpr int kRequests = 500; ///< per thread

/// Threads enter, cancel and leave while the context's threads start waiting requests. Guards against requests
/// that finish twice or never, start although they were cancelled, or exceed the number of slots.
struct gate_threads_fixture
{
  boost::asio::io_context mContext;
  ref<admission_gate> mGate =
    MakeRef<admission_gate>(mContext, gate_limits{ kSlots, 64 }, metrics::process_metrics::Create());
  std::atomic<int> mHeld{ 0 };
  std::atomic<int> mMaxHeld{ 0 };
  std::atomic<int> mFinished{ 0 };        ///< ran, refused, or cancelled
  std::atomic<int> mRunsAfterCancel{ 0 }; ///< runs of requests that were cancelled

  void Run()
  {
    const int held = ++mHeld;
    int maxHeld = mMaxHeld;
    while (maxHeld < held && !mMaxHeld.compare_exchange_weak(maxHeld, held)) {
    }
    --mHeld;
    mGate->Leave();
    ++mFinished;
  }

  void EnterOnce(const std::string& aWorkspace, bool aCancels)
  {
    policy::admission_request request;
    request.mWorkspace = workspace_id(aWorkspace);
    const auto isCancelled = std::make_shared<std::atomic<bool>>(false);
    const auto response = mGate->Enter(request, true, [this, isCancelled](bool) {
      mRunsAfterCancel += *isCancelled ? 1 : 0;
      Run();
    });
    if (std::holds_alternative<gate_started>(response)) {
      Run();
    } else if (std::holds_alternative<policy::admission_error>(response)) {
      ++mFinished;
    } else if (aCancels && mGate->CancelWaiting(std::get<gate_waiting>(response).mTicket)) {
      *isCancelled = true;
      ++mFinished;
    }
  }
};

} // namespace

TEST_CASE_METHOD(gate_threads_fixture,
                 "admission_gate_used_by_many_threads_finishes_each_request_once_within_its_slots")
{
  auto work = boost::asio::make_work_guard(mContext);
  std::vector<std::thread> runners;
  runners.reserve(2);
  for (int i = 0; i < 2; ++i) {
    runners.emplace_back([this] { mContext.run(); });
  }
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    callers.emplace_back([this, thread] {
      for (int i = 0; i < kRequests; ++i) {
        EnterOnce("w" + std::to_string(thread), i % 3 == 0);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  work.reset();
  for (std::thread& runner : runners) {
    runner.join();
  }
  CHECK(mFinished == kThreads * kRequests);
  CHECK(mMaxHeld <= static_cast<int>(kSlots));
  CHECK(mRunsAfterCancel == 0);
  CHECK(mGate->Running() == 0);
  CHECK(mGate->Waiting() == 0);
}
