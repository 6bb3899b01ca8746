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

enum class part
{
  Engine,
  Sidecar
};

struct loss_case
{
  const char* mName;
  part mPart;
  std::uint32_t mFirstLayer;
};

std::vector<loss_case> LossCases()
{
  return {
    { "engine of the first stage", part::Engine, kFirstStage },
    { "engine of the last stage", part::Engine, kLastStage },
    { "sidecar of the first stage", part::Sidecar, kFirstStage },
    { "sidecar of the last stage", part::Sidecar, kLastStage },
  };
}

struct chains_fixture
{
  cluster mCluster{
    { TwoChains(kStepUs), {}, { "domain-a" }, 8, { { "stall_floor_ms", "300" }, { "link_idle_ms", "600" } } }
  };

  process& PartOf(std::size_t aEngine, part aPart)
  {
    return aPart == part::Engine ? *mCluster.Engine(aEngine).mServer : *mCluster.Engine(aEngine).mSidecar;
  }

  void Restart(std::size_t aEngine, part aPart)
  {
    if (aPart == part::Engine) {
      mCluster.RestartEngine(aEngine);
    } else {
      mCluster.RestartSidecar(aEngine);
    }
  }

  /// Streams and does something to the serving stage once aAfter tokens have come; gives the engine's index.
  answer StreamWith(const std::string& aPrompt,
                    std::size_t aAfter,
                    const loss_case& aCase,
                    const std::function<void(process&)>& aFault,
                    std::size_t& aVictim)
  {
    completion_call call{ aPrompt, kTokens };
    call.mOnToken = [&](std::size_t aTokens) {
      if (aTokens == aAfter) {
        aVictim = mCluster.ServingEngine(aCase.mFirstLayer);
        aFault(PartOf(aVictim, aCase.mPart));
      }
      return true;
    };
    return mCluster.CallerAt(0).Complete(call);
  }
};

} // namespace

TEST_CASE_METHOD(chains_fixture, "stage_killed_mid_stream_answer_is_that_of_an_undisturbed_run")
{
  for (const loss_case& each : LossCases()) {
    for (const std::size_t position : { std::size_t(1), std::size_t(7), std::size_t(15) }) {
      INFO(each.mName << " killed after token " << position);
      const std::string prompt = std::string("Kill ") + each.mName + " at " + std::to_string(position);
      std::size_t victim = 0;
      const answer got = StreamWith(
        prompt, position, each, [](process& aProcess) { aProcess.Kill(); }, victim);
      CHECK(Text(mCluster.Judge(got, prompt, kTokens)) == "");
      Restart(victim, each.mPart);
      REQUIRE(mCluster.WaitUntilServing(0));
    }
  }
}

TEST_CASE_METHOD(chains_fixture, "stage_frozen_mid_stream_answer_is_that_of_an_undisturbed_run")
{
  for (const loss_case& each : LossCases()) {
    INFO(each.mName << " frozen");
    const std::string prompt = std::string("Freeze ") + each.mName;
    std::size_t victim = 0;
    const answer got = StreamWith(
      prompt, 5, each, [](process& aProcess) { aProcess.Freeze(); }, victim);
    PartOf(victim, each.mPart).Wake();
    CHECK(Text(mCluster.Judge(got, prompt, kTokens)) == "");
    REQUIRE(mCluster.WaitUntilServing(0));
    CHECK(Text(mCluster.Judge(got, prompt, kTokens)) == "");
  }
}

// The second loss is that of a sidecar: a request that ran alone on two engines that ended is refused for good.
TEST_CASE_METHOD(chains_fixture, "stage_killed_and_its_replacement_killed_answer_is_that_of_an_undisturbed_run")
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
  const answer got = mCluster.CallerAt(0).Complete(call);
  CHECK(Text(mCluster.Judge(got, prompt, kTokens)) == "");
}
