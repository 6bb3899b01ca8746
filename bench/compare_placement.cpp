#include "comparisons.h"

#include <algorithm>
#include <random>

#include "policy/placement.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// Backend servers and the models placed on them.
struct simulated_fleet
{
  std::vector<placement_server> mServers;
  std::vector<placement_model> mModels;
};

simulated_fleet MakeFleet(std::size_t aServers, std::size_t aDomains, std::size_t aModels, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  simulated_fleet fleet;
  for (std::size_t i = 0; i < aServers; ++i) {
    placement_server server;
    server.mInstance = instance_id("s" + std::to_string(i));
    server.mFailureDomain = failure_domain_id("d" + std::to_string(i % aDomains));
    const bool large = (i / aDomains) % 3 == 0;
    server.mMemory = large ? 80e9 : 40e9;
    server.mSpeed = large ? 40.0 : 20.0;
    fleet.mServers.push_back(server);
  }
  std::uniform_real_distribution<double> demand(1.0, 5.0);
  for (std::size_t i = 0; i < aModels; ++i) {
    placement_model model{ model_name("m" + std::to_string(i)), 32, 1e9, 1, demand(random) };
    model.mStages = StagesFor(model, fleet.mServers);
    fleet.mModels.push_back(model);
  }
  return fleet;
}

/// Throughput over demand of the layer that has the lowest ratio, as a fraction of the ratio that an ideal split of the
/// total speed would give.
double WorstSupply(const simulated_fleet& aFleet, const std::vector<std::optional<layer_range>>& aDesired)
{
  double speed = 0.0;
  double need = 0.0;
  for (const placement_server& server : aFleet.mServers) {
    speed += server.mSpeed;
  }
  for (const placement_model& model : aFleet.mModels) {
    need += model.mDemand * model.mLayerCount;
  }
  double worst = 1e9;
  for (const placement_model& model : aFleet.mModels) {
    for (std::uint32_t layer = 0; layer < model.mLayerCount; ++layer) {
      double supply = 0.0;
      for (std::size_t i = 0; i < aDesired.size(); ++i) {
        const auto& assigned = aDesired[i];
        if (assigned && assigned->mModel == model.mName && assigned->mFirst.Value() <= layer &&
            layer <= assigned->mLast.Value()) {
          const double layers = static_cast<double>(assigned->mLast.Value() - assigned->mFirst.Value() + 1);
          supply += aFleet.mServers[i].mSpeed / layers;
        }
      }
      worst = std::min(worst, supply / model.mDemand);
    }
  }
  return worst / (speed / need);
}

/// Baseline: assigns the layer ranges to the servers in turn, regardless of demand.
std::vector<std::optional<layer_range>> AssignInTurn(const simulated_fleet& aFleet)
{
  std::vector<layer_range> ranges;
  for (const placement_model& model : aFleet.mModels) {
    const std::uint32_t layers = model.mLayerCount / model.mStages;
    for (std::uint32_t stage = 0; stage < model.mStages; ++stage) {
      ranges.push_back({ model.mName, layer_index(stage * layers), layer_index((stage + 1) * layers - 1) });
    }
  }
  std::vector<std::optional<layer_range>> desired;
  for (std::size_t i = 0; i < aFleet.mServers.size(); ++i) {
    desired.emplace_back(ranges[i % ranges.size()]);
  }
  return desired;
}

/// Makes the planned ranges the assigned ones.
void ApplyPlan(simulated_fleet& aFleet, const std::vector<std::optional<layer_range>>& aDesired)
{
  for (std::size_t i = 0; i < aDesired.size(); ++i) {
    aFleet.mServers[i].mAssigned = aDesired[i];
  }
}

void RemoveDomain(simulated_fleet& aFleet)
{
  std::erase_if(aFleet.mServers, [](const placement_server& aServer) { return aServer.mFailureDomain.Str() == "d0"; });
}

std::vector<std::optional<layer_range>> AssignedRanges(const simulated_fleet& aFleet)
{
  std::vector<std::optional<layer_range>> assigned;
  for (const placement_server& server : aFleet.mServers) {
    assigned.push_back(server.mAssigned);
  }
  return assigned;
}

void AddRows(table& aTable,
             const std::string& aScenario,
             std::size_t aServers,
             std::size_t aDomains,
             std::size_t aModels,
             const seed_list& aSeeds)
{
  row planned{ "placement", aScenario, "chervilpulley", "worst supply / ideal", {}, true };
  row assignedInTurn{ "placement", aScenario, "dealt out in turn", "worst supply / ideal", {}, true };
  row replannedAfterLoss{ "placement", aScenario, "chervilpulley", "same, domain lost", {}, true };
  row unchangedAfterLoss{ "placement", aScenario, "no new plan", "same, domain lost", {}, true };
  row movedAfterLoss{ "placement", aScenario, "chervilpulley", "moved, domain lost", {}, false };
  row movedByDemand{ "placement", aScenario, "chervilpulley", "moved, demand +-10 %", {}, false };
  for (unsigned seed : aSeeds) {
    simulated_fleet fleet = MakeFleet(aServers, aDomains, aModels, seed);
    const placement_plan plan = PlanPlacement(fleet.mServers, fleet.mModels);
    planned.mSamples.Add(WorstSupply(fleet, plan.mDesired));
    assignedInTurn.mSamples.Add(WorstSupply(fleet, AssignInTurn(fleet)));
    ApplyPlan(fleet, plan.mDesired);
    simulated_fleet changed = fleet;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> change(0.9, 1.1);
    for (placement_model& model : changed.mModels) {
      model.mDemand *= change(random);
    }
    movedByDemand.mSamples.Add(static_cast<double>(PlanPlacement(changed.mServers, changed.mModels).mChanges));
    RemoveDomain(fleet);
    unchangedAfterLoss.mSamples.Add(WorstSupply(fleet, AssignedRanges(fleet)));
    const placement_plan after = PlanPlacement(fleet.mServers, fleet.mModels);
    replannedAfterLoss.mSamples.Add(WorstSupply(fleet, after.mDesired));
    movedAfterLoss.mSamples.Add(static_cast<double>(after.mChanges));
  }
  for (const row& r :
       { planned, assignedInTurn, replannedAfterLoss, unchangedAfterLoss, movedAfterLoss, movedByDemand }) {
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
