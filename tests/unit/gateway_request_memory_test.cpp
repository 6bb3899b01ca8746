#include "gateway/request_memory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace chervilpulley::gateway;

namespace {

constexpr std::size_t kMb = 1U << 20U;
constexpr std::uint32_t kMemoryMb = 112;

struct connection : memory_holder
{
  explicit connection(request_memory& aMemory)
    : mMemory(aMemory)
  {
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { mMemory.Remove(*this); }

  void RejectIncomplete() override
  {
    ++mRejections;
    mBytes.mIncomplete = 0;
    mMemory.Update(*this, mBytes);
  }
  void DropResponse() override
  {
    ++mDrops;
    mBytes = {};
    mMemory.Update(*this, mBytes);
  }
  void Set(const connection_bytes& aBytes)
  {
    mBytes = aBytes;
    mMemory.Update(*this, aBytes);
  }
  bool Run(std::size_t aRequestBytes)
  {
    const bool runs = mMemory.TryRun(*this, { 0, RunningBytes(aRequestBytes), 0 });
    mBytes = runs ? connection_bytes{ 0, RunningBytes(aRequestBytes), 0 } : connection_bytes{};
    mMemory.Update(*this, mBytes);
    return runs;
  }

  request_memory& mMemory;
  connection_bytes mBytes;
  unsigned mRejections = 0;
  unsigned mDrops = 0;
};

} // namespace

// The rejected request must be the one that frees most, not the one whose bytes happened to exceed the budget.
TEST_CASE("request_memory_over_its_budget_rejects_the_largest_incomplete_request")
{
  request_memory memory(kMemoryMb);
  connection large(memory);
  connection response(memory);
  connection small(memory);
  response.Set({ 0, 0, 16 * kMb });
  large.Set({ 11 * kMb, 0, 0 });
  small.Set({ 2 * kMb, 0, 0 });
  CHECK(large.mRejections == 1);
  CHECK(small.mRejections == 0);
  CHECK(response.mDrops == 0);
  CHECK(memory.Held() == 18 * kMb);
}

// Responses that callers do not read must be bounded when no incomplete request is left to reject.
TEST_CASE("request_memory_over_its_budget_without_incomplete_requests_drops_the_largest_waiting_response")
{
  request_memory memory(kMemoryMb);
  connection running(memory);
  connection large(memory);
  connection small(memory);
  CHECK(running.Run(4 * kMb));
  large.Set({ 0, 0, 15 * kMb });
  small.Set({ 0, 0, 6 * kMb });
  CHECK(large.mDrops == 1);
  CHECK(small.mDrops == 0);
  CHECK(running.mDrops == 0);
}

// Large requests in progress must leave room for others, and small ones are served beside them.
TEST_CASE("request_memory_with_many_large_requests_in_progress_rejects_another_large_one_and_runs_a_small_one")
{
  request_memory memory(kMemoryMb);
  std::vector<std::unique_ptr<connection>> running;
  bool runs = true;
  while (runs && running.size() < 100) {
    running.push_back(std::make_unique<connection>(memory));
    runs = running.back()->Run(4 * kMb);
  }
  CHECK(running.size() == 3);
  connection small(memory);
  CHECK(small.Run(4096));
}

// A budget for all callers together must not hit a single request inside the configured limits.
TEST_CASE("request_memory_of_any_machine_runs_a_single_request_of_the_largest_size")
{
  rc::check([] {
    const auto memoryMb = *rc::gen::inRange<std::uint32_t>(0, 2048);
    const auto bytes = *rc::gen::inRange<std::size_t>(1, 512 * kMb);
    request_memory memory(memoryMb);
    memory.SetLargestRequest(bytes);
    connection one(memory);
    one.Set({ bytes, 0, 0 });
    RC_ASSERT(one.mRejections == 0U);
    RC_ASSERT(one.Run(bytes));
  });
}

// A byte that is not given back would lower the budget for the rest of the process's life.
TEST_CASE("request_memory_after_any_changes_holds_what_the_connections_hold")
{
  rc::check([] {
    request_memory memory(kMemoryMb);
    std::vector<std::unique_ptr<connection>> connections;
    for (unsigned each = 0; each < 5; ++each) {
      connections.push_back(std::make_unique<connection>(memory));
    }
    const auto size = rc::gen::inRange<std::size_t>(0, 12 * kMb);
    for (unsigned step = 0; step < 30; ++step) {
      connection& changed = *connections[*rc::gen::inRange<std::size_t>(0, connections.size())];
      if (*rc::gen::arbitrary<bool>()) {
        changed.Set({ *size, changed.mBytes.mRunning, *size });
      } else {
        changed.Run(*size);
      }
      std::size_t sum = 0;
      for (const auto& each : connections) {
        sum += each->mBytes.Sum();
      }
      RC_ASSERT(memory.Held() == sum);
      RC_ASSERT(memory.Held() <= memory.Budget());
    }
    connections.clear();
    RC_ASSERT(memory.Held() == 0U);
  });
}

// The parts must leave descriptors for a backend connection of each caller and for files.
TEST_CASE("descriptors_of_the_smallest_machine_are_divided_with_a_reserve")
{
  const connection_limits limits = DivideDescriptors(400);
  CHECK(limits.mCallers >= 60);
  CHECK(2 * limits.mCallers + limits.mControl + limits.mRelay + limits.mIdle <= 200);
}
