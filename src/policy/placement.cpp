#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace chervilpulley::policy {

namespace {

/// Fraction of the memory that weights may fill; the rest is for the KV cache.
constexpr double kWeightFraction = 0.7;
/// Fraction of the total speed that a split into ranges must be able to use.
constexpr double kUsableSpeedFraction = 0.9;
constexpr std::size_t kNoServer = std::numeric_limits<std::size_t>::max();

/// One range of layers and the servers assigned to it.
struct range_group
{
  layer_range mRange;
  double mBytes = 0.0;
  double mRequired = 0.0; ///< required speed, in layers per second
  double mSpeed = 0.0;
  std::size_t mCount = 0;
  std::unordered_map<failure_domain_id, std::size_t> mPerDomain;

  /// Ratio of speed to demand, if the speed changed by aSpeedChange.
  double Ratio(double aSpeedChange = 0.0) const { return (mSpeed + aSpeedChange) / std::max(mRequired, 1e-9); }
  bool Fits(const placement_server& aServer) const { return mBytes <= kWeightFraction * aServer.mMemory; }
  void Add(const placement_server& aServer)
  {
    mSpeed += aServer.mSpeed;
    ++mCount;
    ++mPerDomain[aServer.mFailureDomain];
  }
  void Remove(const placement_server& aServer)
  {
    mSpeed -= aServer.mSpeed;
    --mCount;
    --mPerDomain[aServer.mFailureDomain];
  }
  std::size_t InDomain(const failure_domain_id& aDomain) const
  {
    auto found = mPerDomain.find(aDomain);
    return found == mPerDomain.end() ? 0 : found->second;
  }
};

std::vector<range_group> MakeGroups(std::span<const placement_model> aModels)
{
  std::vector<range_group> groups;
  for (const placement_model& model : aModels) {
    const std::uint32_t stages = std::clamp(model.mStages, 1U, std::max(1U, model.mLayerCount));
    for (std::uint32_t stage = 0; stage < stages; ++stage) {
      range_group group;
      const std::uint64_t first = std::uint64_t{ model.mLayerCount } * stage / stages;
      const std::uint64_t end = std::uint64_t{ model.mLayerCount } * (stage + 1) / stages;
      group.mRange = { model.mName, layer_index(first), layer_index(end - 1) };
      group.mBytes = model.mBytesPerLayer * static_cast<double>(end - first);
      group.mRequired = model.mDemand * static_cast<double>(end - first);
      groups.push_back(std::move(group));
    }
  }
  return groups;
}

/// A single planning run.
class planner
{
public:
  planner(std::span<const placement_server> aServers, std::span<const placement_model> aModels)
    : mServers(aServers)
    , mGroups(MakeGroups(aModels))
    , mServerGroups(aServers.size(), nullptr)
  {
  }

  placement_plan Plan()
  {
    KeepAssigned();
    while (AssignOne()) {
    }
    for (std::size_t moves = 0; moves < mServers.size() && MoveOne(); ++moves) {
    }
    return Result();
  }

private:
  void Assign(std::size_t aServer, range_group* aGroup)
  {
    if (mServerGroups[aServer] != nullptr) {
      mServerGroups[aServer]->Remove(mServers[aServer]);
    }
    mServerGroups[aServer] = aGroup;
    aGroup->Add(mServers[aServer]);
  }

  void KeepAssigned()
  {
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      auto match = std::find_if(mGroups.begin(), mGroups.end(), [&](const range_group& aGroup) {
        return mServers[i].mAssigned == aGroup.mRange && aGroup.Fits(mServers[i]);
      });
      if (match != mGroups.end()) {
        Assign(i, &*match);
      }
    }
  }

  /// Picks a server that fits the group and satisfies aAllowed, from the failure domain with the fewest servers of the
  /// group; among equals the one with the least memory, so that large servers remain for large ranges.
  template<class Allowed>
  std::size_t Pick(const range_group& aGroup, Allowed&& aAllowed) const
  {
    std::size_t best = kNoServer;
    std::size_t bestCount = 0;
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      if (!aAllowed(i) || !aGroup.Fits(mServers[i])) {
        continue;
      }
      const std::size_t count = aGroup.InDomain(mServers[i].mFailureDomain);
      const bool better =
        best == kNoServer || count < bestCount || (count == bestCount && mServers[i].mMemory < mServers[best].mMemory);
      if (better) {
        best = i;
        bestCount = count;
      }
    }
    return best;
  }

  std::vector<range_group*> ByRatio()
  {
    std::vector<range_group*> order;
    order.reserve(mGroups.size());
    for (range_group& group : mGroups) {
      order.push_back(&group);
    }
    std::stable_sort(order.begin(), order.end(), [](const range_group* aLeft, const range_group* aRight) {
      return aLeft->Ratio() < aRight->Ratio();
    });
    return order;
  }

  bool AssignOne()
  {
    for (range_group* group : ByRatio()) {
      const std::size_t server = Pick(*group, [&](std::size_t aServer) { return mServerGroups[aServer] == nullptr; });
      if (server != kNoServer) {
        Assign(server, group);
        return true;
      }
    }
    return false;
  }

  /// Moves one server to the group with the lowest ratio of speed to demand, from a group that keeps a higher one.
  bool MoveOne()
  {
    if (mGroups.empty()) {
      return false;
    }
    range_group* leastServed = ByRatio().front();
    const std::size_t server = Pick(*leastServed, [&](std::size_t aServer) {
      const range_group* from = mServerGroups[aServer];
      if (from == nullptr || from == leastServed || from->mCount < 2) {
        return false;
      }
      return from->Ratio(-mServers[aServer].mSpeed) >= kMinMoveGain * leastServed->Ratio();
    });
    if (server == kNoServer) {
      return false;
    }
    Assign(server, leastServed);
    return true;
  }

  placement_plan Result() const
  {
    placement_plan plan;
    plan.mDesired.resize(mServers.size());
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      if (mServerGroups[i] != nullptr) {
        plan.mDesired[i] = mServerGroups[i]->mRange;
      }
      plan.mChanges += plan.mDesired[i] != mServers[i].mAssigned ? 1 : 0;
    }
    return plan;
  }

  std::span<const placement_server> mServers;
  std::vector<range_group> mGroups;
  std::vector<range_group*> mServerGroups;
};

bool MayLoadNow(const placement_state& aState)
{
  const auto ahead = std::count_if(aState.mPending.begin(), aState.mPending.end(), [&](member_key aOther) {
    return aOther.Value() < aState.mSelf.Value();
  });
  return static_cast<std::size_t>(ahead) < kMaxLoadsPerDomain;
}

} // namespace

std::uint32_t StagesFor(const placement_model& aModel, std::span<const placement_server> aServers)
{
  double speed = 0.0;
  for (const placement_server& server : aServers) {
    speed += server.mSpeed;
  }
  for (std::uint32_t stages = 1; stages < aModel.mLayerCount; ++stages) {
    const std::uint32_t layers = (aModel.mLayerCount + stages - 1) / stages;
    double usableSpeed = 0.0;
    for (const placement_server& server : aServers) {
      usableSpeed += layers * aModel.mBytesPerLayer <= kWeightFraction * server.mMemory ? server.mSpeed : 0.0;
    }
    if (usableSpeed >= kUsableSpeedFraction * speed) {
      return stages;
    }
  }
  return std::max(1U, aModel.mLayerCount);
}

placement_plan PlanPlacement(std::span<const placement_server> aServers, std::span<const placement_model> aModels)
{
  return planner(aServers, aModels).Plan();
}

placement_action Reconcile(const placement_state& aState)
{
  if (!aState.mRevisionConfirmed) {
    return placement_action::AwaitConfig;
  }
  if (aState.mLoading) {
    return placement_action::AwaitLoading;
  }
  if (aState.mDesired == aState.mCurrent) {
    return placement_action::None;
  }
  if (!aState.mDesired) {
    return placement_action::Unload;
  }
  return MayLoadNow(aState) ? placement_action::Load : placement_action::AwaitTurn;
}

} // namespace chervilpulley::policy
