#include <catch2/catch.hpp>

#include <atomic>
#include <future>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 24;
constexpr std::uint32_t kStepUs = 2000;

std::vector<engine_shape> WholeModelEngines(std::size_t aCount)
{
  return { aCount, engine_shape{ 0, 7, "domain-a", kStepUs } };
}

/// Four engines that each hold the whole model.
struct crash_fixture
{
  cluster mCluster{ { WholeModelEngines(4), {}, { "domain-a", "domain-b" } } };

  /// Restarts the engines that have exited; returns their number.
  std::size_t RestartExited()
  {
    std::size_t exited = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      if (mCluster.Engine(i).mServer->Status()) {
        mCluster.RestartEngine(i);
        ++exited;
      }
    }
    return exited;
  }
};

/// Two chains and two plain services over two failure domains; the entry is in a third one.
struct domains_fixture
{
  cluster mCluster{ { TwoChains(kStepUs),
                      { "domain-a", "domain-b" },
                      { "domain-c" },
                      8,
                      { { "stall_floor_ms", "300" }, { "link_idle_ms", "600" } } } };
};

/// Stages whose links pass through stand-in relays, which can disturb them.
struct links_fixture
{
  static std::vector<engine_shape> BehindRelays()
  {
    std::vector<engine_shape> engines = TwoChains(kStepUs);
    for (engine_shape& engine : engines) {
      engine.mIsBehindRelay = true;
    }
    return engines;
  }

  cluster mCluster{
    { BehindRelays(), {}, { "domain-a" }, 8, { { "stall_floor_ms", "300" }, { "link_idle_ms", "600" } } }
  };
};

struct link_case
{
  const char* mName;
  std::uint32_t mFirstLayer;
  boost::json::object mFault;
};

} // namespace

TEST_CASE_METHOD(crash_fixture, "crashing_request_crashes_two_engines_at_most_and_other_requests_complete")
{
  const std::string prompt = "please CRASH-ENGINE";
  std::vector<std::future<response>> otherStreams;
  for (std::size_t i = 0; i < 8; ++i) {
    otherStreams.push_back(std::async(std::launch::async, [&, i] {
      return mCluster.CallerAt(i % 2).Complete({ "Innocent " + std::to_string(i), kTokens });
    }));
  }
  std::size_t crashes = 0;
  response refused;
  for (std::size_t round = 0; round < 6; ++round) {
    refused = mCluster.CallerAt(round % 2).Complete({ prompt, kTokens, false });
    CHECK(refused.mStatus >= 400);
    crashes += RestartExited();
    REQUIRE(mCluster.WaitUntilServing(0));
    REQUIRE(mCluster.WaitUntilServing(1));
  }
  crashes += RestartExited();
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
  // The refusal is final: an error of the request itself, without Retry-After.
  CHECK(refused.mStatus == 422);
  CHECK(refused.mHeaders.Get("Retry-After").empty());
  for (std::size_t i = 0; i < otherStreams.size(); ++i) {
    const response got = otherStreams[i].get();
    CHECK(Text(mCluster.CheckCompletion(got, "Innocent " + std::to_string(i), kTokens)) == "");
  }
}

TEST_CASE_METHOD(crash_fixture, "requests_whose_prompts_share_a_crashing_beginning_crash_five_engines_at_most")
{
  std::size_t crashes = 0;
  for (std::size_t round = 0; round < 8; ++round) {
    const std::string prompt = "please CRASH-ENGINE for caller " + std::to_string(round);
    CHECK(mCluster.CallerAt(round % 2).Complete({ prompt, kTokens, false }).mStatus >= 400);
    crashes += RestartExited();
    REQUIRE(mCluster.WaitUntilServing(0));
    REQUIRE(mCluster.WaitUntilServing(1));
  }
  CHECK(crashes <= 5);
}

TEST_CASE_METHOD(domains_fixture, "failure_domain_lost_streams_and_lookups_continue")
{
  std::atomic<std::size_t> started = 0;
  std::vector<std::future<response>> streams;
  for (std::size_t i = 0; i < 6; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      completion_call call{ "Stream " + std::to_string(i), kTokens };
      call.mOnToken = [&](std::size_t aTokens) {
        started += aTokens == 1 ? 1 : 0;
        return true;
      };
      return mCluster.CallerAt(0).Complete(call);
    }));
  }
  REQUIRE(WaitUntil([&] { return started == streams.size(); }));
  for (const std::size_t engine : { std::size_t(2), std::size_t(3) }) {
    mCluster.Engine(engine).mServer->Kill();
    mCluster.Engine(engine).mSidecar->Kill();
  }
  mCluster.Service(1).mServer->Kill();
  mCluster.Service(1).mSidecar->Kill();
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const response got = streams[i].get();
    CHECK(Text(mCluster.CheckCompletion(got, "Stream " + std::to_string(i), kTokens)) == "");
  }
  for (int i = 0; i < 10; ++i) {
    CHECK(mCluster.CallerAt(0).Stock().mStatus == 200);
  }
}

TEST_CASE_METHOD(domains_fixture, "platform_outage_completions_and_lookups_continue")
{
  Control(mCluster.Platform(), { { "outage", true }, { "list_outage", true } });
  for (int i = 0; i < 5; ++i) {
    const std::string prompt = "During the outage " + std::to_string(i);
    CHECK(Text(mCluster.CheckCompletion(mCluster.CallerAt(0).Complete({ prompt, kTokens }), prompt, kTokens)) == "");
    CHECK(mCluster.CallerAt(0).Stock().mStatus == 200);
  }
  Control(mCluster.Platform(), { { "outage", false }, { "list_outage", false }, { "hang", true } });
  const std::string prompt = "While the platform hangs";
  CHECK(Text(mCluster.CheckCompletion(mCluster.CallerAt(0).Complete({ prompt, kTokens }), prompt, kTokens)) == "");
  CHECK(mCluster.CallerAt(0).Stock().mStatus == 200);
}

TEST_CASE_METHOD(links_fixture, "link_fault_mid_stream_output_is_that_of_an_undisturbed_run")
{
  const std::vector<link_case> cases = {
    { "first stage cut", 0, { { "cut", true } } },           { "last stage cut", 4, { { "cut", true } } },
    { "first stage silent", 0, { { "black_hole", true } } }, { "last stage silent", 4, { { "black_hole", true } } },
    { "first stage slow", 0, { { "slow_ms", 25 } } },        { "last stage slow", 4, { { "slow_ms", 25 } } },
  };
  for (const link_case& each : cases) {
    INFO(each.mName);
    const std::string prompt = std::string("Link: ") + each.mName;
    process* relay = nullptr;
    completion_call call{ prompt, kTokens };
    call.mOnToken = [&](std::size_t aTokens) {
      if (aTokens == 5) {
        relay = mCluster.Engine(mCluster.ServingEngine(each.mFirstLayer)).mRelay.get();
        Control(*relay, each.mFault);
      }
      return true;
    };
    const response got = mCluster.CallerAt(0).Complete(call);
    CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
    REQUIRE(relay != nullptr);
    Control(*relay, { { "cut", false }, { "black_hole", false }, { "slow_ms", 0 } });
    REQUIRE(mCluster.WaitUntilServing(0));
  }
}
