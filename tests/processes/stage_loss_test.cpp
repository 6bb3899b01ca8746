#include <catch2/catch.hpp>

#include <functional>
#include <vector>

#include "processes/cluster.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 24;
constexpr std::uint32_t kStepUs = 2000;
constexpr std::uint32_t kFirstStage = 0;
constexpr std::uint32_t kLastStage = 4;

/// Process of a stage that a test kills or freezes.
enum class loss_target
{
  Engine,
  Sidecar
};

struct loss_case
{
  const char* mName;
  loss_target mTarget;
  std::uint32_t mFirstLayer;
};

std::vector<loss_case> LossCases()
{
  return {
    { "engine of the first stage", loss_target::Engine, kFirstStage },
    { "engine of the last stage", loss_target::Engine, kLastStage },
    { "sidecar of the first stage", loss_target::Sidecar, kFirstStage },
    { "sidecar of the last stage", loss_target::Sidecar, kLastStage },
  };
}

/// Two chains of two stages each, with short bounds for the detection of a stall.
struct chains_fixture
{
  cluster mCluster{
    { TwoChains(kStepUs), {}, { "domain-a" }, 8, { { "stall_floor_ms", "300" }, { "link_idle_ms", "600" } } }
  };

  process& ProcessOf(std::size_t aEngine, loss_target aTarget)
  {
    return aTarget == loss_target::Engine ? *mCluster.Engine(aEngine).mServer : *mCluster.Engine(aEngine).mSidecar;
  }

  void Restart(std::size_t aEngine, loss_target aTarget)
  {
    if (aTarget == loss_target::Engine) {
      mCluster.RestartEngine(aEngine);
    } else {
      mCluster.RestartSidecar(aEngine);
    }
  }

  /// Streams and calls aFault for a process of the serving stage once aAfterTokens tokens have arrived.
  /// @param aVictim receives the index of the stage's engine.
  response StreamWith(const std::string& aPrompt,
                      std::size_t aAfterTokens,
                      const loss_case& aCase,
                      const std::function<void(process&)>& aFault,
                      std::size_t& aVictim)
  {
    completion_call call{ aPrompt, kTokens };
    call.mOnToken = [&](std::size_t aTokens) {
      if (aTokens == aAfterTokens) {
        aVictim = mCluster.ServingEngine(aCase.mFirstLayer);
        aFault(ProcessOf(aVictim, aCase.mTarget));
      }
      return true;
    };
    return mCluster.CallerAt(0).Complete(call);
  }
};

} // namespace

TEST_CASE_METHOD(chains_fixture, "stage_killed_mid_stream_output_is_that_of_an_undisturbed_run")
{
  for (const loss_case& each : LossCases()) {
    for (const std::size_t position : { std::size_t(1), std::size_t(7), std::size_t(15) }) {
      INFO(each.mName << " killed after token " << position);
      const std::string prompt = std::string("Kill ") + each.mName + " at " + std::to_string(position);
      std::size_t victim = 0;
      const response got = StreamWith(
        prompt, position, each, [](process& aProcess) { aProcess.Kill(); }, victim);
      CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
      Restart(victim, each.mTarget);
      REQUIRE(mCluster.WaitUntilServing(0));
    }
  }
}

TEST_CASE_METHOD(chains_fixture, "stage_frozen_mid_stream_output_is_that_of_an_undisturbed_run")
{
  for (const loss_case& each : LossCases()) {
    INFO(each.mName << " frozen");
    const std::string prompt = std::string("Freeze ") + each.mName;
    std::size_t victim = 0;
    const response got = StreamWith(
      prompt, 5, each, [](process& aProcess) { aProcess.Freeze(); }, victim);
    ProcessOf(victim, each.mTarget).Wake();
    CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
    REQUIRE(mCluster.WaitUntilServing(0));
    CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
  }
}

// The second process lost is a sidecar, because a request that ran alone on two crashed engines is refused permanently.
TEST_CASE_METHOD(chains_fixture, "stage_killed_and_its_replacement_killed_output_is_that_of_an_undisturbed_run")
{
  const std::string prompt = "Both last stages, one after the other";
  std::size_t firstVictim = 0;
  completion_call call{ prompt, kTokens };
  call.mOnToken = [&](std::size_t aTokens) {
    if (aTokens == 4) {
      firstVictim = mCluster.ServingEngine(kLastStage);
      mCluster.Engine(firstVictim).mServer->Kill();
    }
    if (aTokens == 12) {
      const std::size_t secondVictim = mCluster.ServingEngine(kLastStage);
      mCluster.RestartEngine(firstVictim);
      mCluster.Engine(secondVictim).mSidecar->Kill();
    }
    return true;
  };
  const response got = mCluster.CallerAt(0).Complete(call);
  CHECK(Text(mCluster.CheckCompletion(got, prompt, kTokens)) == "");
}
