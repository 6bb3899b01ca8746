#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace chervilpulley::policy {

namespace {

/// Part of the memory that weights may fill; the rest is for the KV cache.
constexpr double kWeightFraction = 0.7;
/// Part of the whole speed that a cut must be able to use.
constexpr double kUsableSpeed = 0.9;
constexpr std::size_t kNoServer = std::numeric_limits<std::size_t>::max();

/// All servers that hold one range.
struct supply_group
{
  layer_range mRange;
  double mBytes = 0.0;
  double mNeed = 0.0; ///< layers per second
  double mSpeed = 0.0;
  std::size_t mCount = 0;
  std::unordered_map<failure_domain_id, std::size_t> mPerDomain;

  double Ratio(double aChange = 0.0) const { return (mSpeed + aChange) / std::max(mNeed, 1e-9); }
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

std::vector<supply_group> GroupsOf(std::span<const placement_model> aModels)
{
  std::vector<supply_group> groups;
  for (const placement_model& model : aModels) {
    const std::uint32_t stages = std::clamp(model.mStages, 1U, std::max(1U, model.mLayerCount));
    for (std::uint32_t stage = 0; stage < stages; ++stage) {
      supply_group group;
      const std::uint64_t first = std::uint64_t{ model.mLayerCount } * stage / stages;
      const std::uint64_t end = std::uint64_t{ model.mLayerCount } * (stage + 1) / stages;
      group.mRange = { model.mName, layer_index(first), layer_index(end - 1) };
      group.mBytes = model.mBytesPerLayer * static_cast<double>(end - first);
      group.mNeed = model.mDemand * static_cast<double>(end - first);
      groups.push_back(std::move(group));
    }
  }
  return groups;
}

/// One planning run.
class planner
{
public:
  planner(std::span<const placement_server> aServers, std::span<const placement_model> aModels)
    : mServers(aServers)
    , mGroups(GroupsOf(aModels))
    , mGroupOf(aServers.size(), nullptr)
  {
  }

  placement_plan Plan()
  {
    KeepHeld();
    while (FillWorst()) {
    }
    for (std::size_t moves = 0; moves < mServers.size() && MoveOne(); ++moves) {
    }
    return Result();
  }

private:
  void Assign(std::size_t aServer, supply_group* aGroup)
  {
    if (mGroupOf[aServer] != nullptr) {
      mGroupOf[aServer]->Remove(mServers[aServer]);
    }
    mGroupOf[aServer] = aGroup;
    aGroup->Add(mServers[aServer]);
  }

  void KeepHeld()
  {
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      auto held = std::find_if(mGroups.begin(), mGroups.end(), [&](const supply_group& aGroup) {
        return mServers[i].mAssigned == aGroup.mRange && aGroup.Fits(mServers[i]);
      });
      if (held != mGroups.end()) {
        Assign(i, &*held);
      }
    }
  }

  /// The server for which aAllowed holds that fits the group, of the failure domain that has least of the group; among
  /// equals the one with the least memory, so that the large ones remain for large ranges.
  template<class Allowed>
  std::size_t Pick(const supply_group& aGroup, Allowed&& aAllowed) const
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

  std::vector<supply_group*> WorstFirst()
  {
    std::vector<supply_group*> order;
    order.reserve(mGroups.size());
    for (supply_group& group : mGroups) {
      order.push_back(&group);
    }
    std::stable_sort(order.begin(), order.end(), [](const supply_group* aLeft, const supply_group* aRight) {
      return aLeft->Ratio() < aRight->Ratio();
    });
    return order;
  }

  bool FillWorst()
  {
    for (supply_group* group : WorstFirst()) {
      const std::size_t server = Pick(*group, [&](std::size_t aServer) { return mGroupOf[aServer] == nullptr; });
      if (server != kNoServer) {
        Assign(server, group);
        return true;
      }
    }
    return false;
  }

  /// Moves one server to the worst supplied group, from one that stays better supplied than that.
  bool MoveOne()
  {
    if (mGroups.empty()) {
      return false;
    }
    supply_group* worst = WorstFirst().front();
    const std::size_t server = Pick(*worst, [&](std::size_t aServer) {
      const supply_group* from = mGroupOf[aServer];
      if (from == nullptr || from == worst || from->mCount < 2) {
        return false;
      }
      return from->Ratio(-mServers[aServer].mSpeed) >= kMinMoveGain * worst->Ratio();
    });
    if (server == kNoServer) {
      return false;
    }
    Assign(server, worst);
    return true;
  }

  placement_plan Result() const
  {
    placement_plan plan;
    plan.mDesired.resize(mServers.size());
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      if (mGroupOf[i] != nullptr) {
        plan.mDesired[i] = mGroupOf[i]->mRange;
      }
      plan.mChanges += plan.mDesired[i] != mServers[i].mAssigned ? 1 : 0;
    }
    return plan;
  }

  std::span<const placement_server> mServers;
  std::vector<supply_group> mGroups;
  std::vector<supply_group*> mGroupOf;
};

bool HasTurn(const placement_state& aState)
{
  const auto before = std::count_if(aState.mPending.begin(), aState.mPending.end(), [&](member_key aOther) {
    return aOther.Value() < aState.mSelf.Value();
  });
  return static_cast<std::size_t>(before) < kMaxLoadsPerDomain;
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
    double fitting = 0.0;
    for (const placement_server& server : aServers) {
      fitting += layers * aModel.mBytesPerLayer <= kWeightFraction * server.mMemory ? server.mSpeed : 0.0;
    }
    if (fitting >= kUsableSpeed * speed) {
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
  return HasTurn(aState) ? placement_action::Load : placement_action::AwaitTurn;
}

} // namespace chervilpulley::policy
