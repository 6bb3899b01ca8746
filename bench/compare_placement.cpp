#include "comparisons.h"

#include <algorithm>
#include <random>

#include "policy/placement.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

struct placement_world
{
  std::vector<placement_server> mServers;
  std::vector<placement_model> mModels;
};

placement_world MakeWorld(std::size_t aServers, std::size_t aDomains, std::size_t aModels, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  placement_world world;
  for (std::size_t i = 0; i < aServers; ++i) {
    placement_server server;
    server.mInstance = instance_id("s" + std::to_string(i));
    server.mFailureDomain = failure_domain_id("d" + std::to_string(i % aDomains));
    const bool large = (i / aDomains) % 3 == 0;
    server.mMemory = large ? 80e9 : 40e9;
    server.mSpeed = large ? 40.0 : 20.0;
    world.mServers.push_back(server);
  }
  std::uniform_real_distribution<double> demand(1.0, 5.0);
  for (std::size_t i = 0; i < aModels; ++i) {
    placement_model model{ model_name("m" + std::to_string(i)), 32, 1e9, 1, demand(random) };
    model.mStages = StagesFor(model, world.mServers);
    world.mModels.push_back(model);
  }
  return world;
}

/// Throughput over demand of the worst supplied model, as a part of what an ideal split of all speed would give.
double WorstSupply(const placement_world& aWorld, const std::vector<std::optional<layer_range>>& aDesired)
{
  double speed = 0.0;
  double need = 0.0;
  for (const placement_server& server : aWorld.mServers) {
    speed += server.mSpeed;
  }
  for (const placement_model& model : aWorld.mModels) {
    need += model.mDemand * model.mLayerCount;
  }
  double worst = 1e9;
  for (const placement_model& model : aWorld.mModels) {
    for (std::uint32_t layer = 0; layer < model.mLayerCount; ++layer) {
      double supply = 0.0;
      for (std::size_t i = 0; i < aDesired.size(); ++i) {
        const auto& held = aDesired[i];
        if (held && held->mModel == model.mName && held->mFirst.Value() <= layer && layer <= held->mLast.Value()) {
          const double layers = static_cast<double>(held->mLast.Value() - held->mFirst.Value() + 1);
          supply += aWorld.mServers[i].mSpeed / layers;
        }
      }
      worst = std::min(worst, supply / model.mDemand);
    }
  }
  return worst / (speed / need);
}

/// Deals the ranges out in turn, whatever the demand.
std::vector<std::optional<layer_range>> DealOut(const placement_world& aWorld)
{
  std::vector<layer_range> ranges;
  for (const placement_model& model : aWorld.mModels) {
    const std::uint32_t layers = model.mLayerCount / model.mStages;
    for (std::uint32_t stage = 0; stage < model.mStages; ++stage) {
      ranges.push_back({ model.mName, layer_index(stage * layers), layer_index((stage + 1) * layers - 1) });
    }
  }
  std::vector<std::optional<layer_range>> desired;
  for (std::size_t i = 0; i < aWorld.mServers.size(); ++i) {
    desired.emplace_back(ranges[i % ranges.size()]);
  }
  return desired;
}

void Keep(placement_world& aWorld, const std::vector<std::optional<layer_range>>& aDesired)
{
  for (std::size_t i = 0; i < aDesired.size(); ++i) {
    aWorld.mServers[i].mAssigned = aDesired[i];
  }
}

void LoseDomain(placement_world& aWorld)
{
  std::erase_if(aWorld.mServers, [](const placement_server& aServer) { return aServer.mFailureDomain.Str() == "d0"; });
}

std::vector<std::optional<layer_range>> Held(const placement_world& aWorld)
{
  std::vector<std::optional<layer_range>> held;
  for (const placement_server& server : aWorld.mServers) {
    held.push_back(server.mAssigned);
  }
  return held;
}

void AddRows(table& aTable,
             const std::string& aScenario,
             std::size_t aServers,
             std::size_t aDomains,
             std::size_t aModels,
             const seed_list& aSeeds)
{
  row ours{ "placement", aScenario, "chervilpulley", "worst supply / ideal", {}, true };
  row dealt{ "placement", aScenario, "dealt out in turn", "worst supply / ideal", {}, true };
  row lostOurs{ "placement", aScenario, "chervilpulley", "same, domain lost", {}, true };
  row lostKept{ "placement", aScenario, "no new plan", "same, domain lost", {}, true };
  row moved{ "placement", aScenario, "chervilpulley", "moved, domain lost", {}, false };
  row wobble{ "placement", aScenario, "chervilpulley", "moved, demand +-10 %", {}, false };
  for (unsigned seed : aSeeds) {
    placement_world world = MakeWorld(aServers, aDomains, aModels, seed);
    const placement_plan plan = PlanPlacement(world.mServers, world.mModels);
    ours.mSamples.Add(WorstSupply(world, plan.mDesired));
    dealt.mSamples.Add(WorstSupply(world, DealOut(world)));
    Keep(world, plan.mDesired);
    placement_world changed = world;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> change(0.9, 1.1);
    for (placement_model& model : changed.mModels) {
      model.mDemand *= change(random);
    }
    wobble.mSamples.Add(static_cast<double>(PlanPlacement(changed.mServers, changed.mModels).mChanges));
    LoseDomain(world);
    lostKept.mSamples.Add(WorstSupply(world, Held(world)));
    const placement_plan after = PlanPlacement(world.mServers, world.mModels);
    lostOurs.mSamples.Add(WorstSupply(world, after.mDesired));
    moved.mSamples.Add(static_cast<double>(after.mChanges));
  }
  for (const row& r : { ours, dealt, lostOurs, lostKept, moved, wobble }) {
    aTable.Add(r);
  }
}

} // namespace

void ComparePlacement(table& aTable, const seed_list& aSeeds)
{
  AddRows(aTable, "40 servers, 2 models", 40, 3, 2, aSeeds);
  AddRows(aTable, "3400 servers, 10 models", 3400, 20, 10, aSeeds);
}

} // namespace bench
