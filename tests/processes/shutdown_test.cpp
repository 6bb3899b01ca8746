#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <future>
#include <map>
#include <set>
#include <thread>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 40;
constexpr std::uint32_t kStepUs = 2000;
constexpr std::size_t kStreams = 6;
constexpr int kNotExited = -1;

struct shutdown_fixture
{
  explicit shutdown_fixture(const std::string& aDrainMs = "300")
    : mCluster({ TwoChains(kStepUs), { "domain-a" }, { "domain-a", "domain-b" }, 8, { { "drain_ms", aDrainMs } } })
  {
  }

  cluster mCluster;

  static std::string Prompt(std::size_t aIndex) { return "Long brief " + std::to_string(aIndex); }

  /// Starts kStreams streams at an entry; returns when each has delivered a token.
  std::vector<std::future<response>> StartStreams(std::size_t aEntry)
  {
    auto started = std::make_shared<std::atomic<std::size_t>>(0);
    std::vector<std::future<response>> streams;
    for (std::size_t i = 0; i < kStreams; ++i) {
      streams.push_back(std::async(std::launch::async, [=, this] {
        completion_call call{ Prompt(i), kTokens };
        call.mOnToken = [=](std::size_t aTokens) {
          *started += aTokens == 1 ? 1 : 0;
          return true;
        };
        return mCluster.CallerAt(aEntry).Complete(call);
      }));
    }
    REQUIRE(WaitUntil([&] { return *started == kStreams; }));
    return streams;
  }

  void CheckAll(std::vector<std::future<response>>& aStreams)
  {
    for (std::size_t i = 0; i < aStreams.size(); ++i) {
      const response got = aStreams[i].get();
      CHECK(Text(mCluster.CheckCompletion(got, Prompt(i), kTokens)) == "");
    }
  }

  /// Positions that an engine ran, per request.
  std::map<std::string, std::set<std::uint64_t>> PositionsAt(std::size_t aEngine)
  {
    std::map<std::string, std::set<std::uint64_t>> positions;
    for (const engine_run& run : mCluster.RunsOf(mCluster.Engine(aEngine))) {
      if (!run.mPrefill) {
        positions[run.mRequest].insert(run.mPosition);
      }
    }
    return positions;
  }

  static std::uint64_t NowUs()
  {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  }

  /// Sends short requests to an entry for aTime; all must succeed.
  void SendRequestsFor(std::size_t aEntry, duration aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < end) {
      const response got = mCluster.CallerAt(aEntry).Complete({ "Short note", 2 });
      const std::string found = Text(mCluster.CheckCompletion(got, "Short note", 2));
      if (!found.empty()) {
        UNSCOPED_INFO(mCluster.Logs());
      }
      CHECK(found == "");
    }
  }
};

/// Entries that serve long enough after SIGTERM for a probe to arrive before they stop accepting connections.
struct long_drain_fixture : shutdown_fixture
{
  long_drain_fixture()
    : shutdown_fixture("5000")
  {
  }
};

} // namespace

TEST_CASE_METHOD(shutdown_fixture, "entry_terminated_with_streams_running_interrupts_nothing")
{
  std::vector<std::future<response>> streams = StartStreams(0);
  mCluster.Entry(0).Terminate();
  CheckAll(streams);
  CHECK(mCluster.Entry(0).WaitForExit().value_or(kNotExited) == 0);
}

TEST_CASE_METHOD(long_drain_fixture, "entry_terminated_fails_its_readiness_while_it_serves")
{
  std::vector<std::future<response>> streams = StartStreams(0);
  const net::endpoint http = mCluster.Entry(0).Address("http");
  CHECK(Call(http, "GET", "/readyz").mStatus == 200);
  mCluster.Entry(0).Terminate();
  CHECK(WaitUntil([&] {
    const auto ready = net::FetchBlocking(http, { "GET", "/readyz", {}, "" }, kTestTimeout);
    return ready && ready.value().mStatus == 503;
  }));
  CheckAll(streams);
}

TEST_CASE_METHOD(shutdown_fixture, "sidecar_terminated_with_streams_running_interrupts_nothing")
{
  // Positions of the requests that checked that the cluster serves.
  std::array<std::map<std::string, std::set<std::uint64_t>>, 4> earlier;
  for (std::size_t engine = 0; engine < earlier.size(); ++engine) {
    earlier.at(engine) = PositionsAt(engine);
  }
  std::vector<std::future<response>> streams = StartStreams(0);
  const std::size_t leaving = mCluster.ServingEngine(4);
  mCluster.Engine(leaving).mSidecar->Terminate();
  CheckAll(streams);
  // No stream was resumed elsewhere either: the engine completed each request that it started.
  for (const auto& [request, positions] : PositionsAt(leaving)) {
    INFO(request);
    CHECK((earlier.at(leaving).contains(request) || positions.size() == kTokens));
  }
  CHECK(mCluster.Engine(leaving).mSidecar->WaitForExit().value_or(kNotExited) == 0);
  CHECK(mCluster.CallerAt(0).Complete({ "After it has left", 4 }).mStream.mDone);
}

TEST_CASE_METHOD(shutdown_fixture, "entry_and_sidecar_terminated_together_interrupt_nothing")
{
  std::vector<std::future<response>> streams = StartStreams(0);
  const std::size_t leaving = mCluster.ServingEngine(0);
  mCluster.Engine(leaving).mSidecar->Terminate();
  mCluster.Entry(0).Terminate();
  CheckAll(streams);
  CHECK(mCluster.Entry(0).WaitForExit().value_or(kNotExited) == 0);
  CHECK(mCluster.Engine(leaving).mSidecar->WaitForExit().value_or(kNotExited) == 0);
}

TEST_CASE_METHOD(shutdown_fixture, "sidecar_on_the_list_as_leaving_gets_no_new_work")
{
  const std::size_t leaving = 0;
  SendRequestsFor(0, std::chrono::milliseconds(200));
  mCluster.Register(*mCluster.Engine(leaving).mSidecar, "leaving");
  const std::uint64_t leftAt = NowUs();
  SendRequestsFor(0, std::chrono::seconds(4));
  const std::uint64_t limit = leftAt + 3'000'000;
  CHECK(Text(CheckNoNewWork(mCluster.RunsOf(mCluster.Engine(leaving)), limit)) == "");
}

TEST_CASE_METHOD(shutdown_fixture, "sidecar_drained_by_an_operator_gets_no_new_work")
{
  const std::size_t leaving = 2;
  SendRequestsFor(0, std::chrono::milliseconds(200));
  const program_result drained = mCluster.RunOperatorCommand(1, { "drain", "sidecar-engine-2" });
  INFO(drained.mErr);
  REQUIRE(drained.mStatus == 0);
  const std::uint64_t leftAt = NowUs();
  SendRequestsFor(0, std::chrono::seconds(4));
  const std::uint64_t limit = leftAt + 3'000'000;
  CHECK(Text(CheckNoNewWork(mCluster.RunsOf(mCluster.Engine(leaving)), limit)) == "");
}
