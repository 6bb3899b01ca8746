#include "config/peer_directory.h"

#include <utility>

namespace chervilpulley::config {

peer_directory::peer_directory(policy::propagation_member aSelf)
  : mSelf(std::move(aSelf))
  , mPlan(MakeRef<policy::propagation_plan>(mSelf, std::vector<policy::propagation_member>{}))
{
}

void peer_directory::Set(const std::vector<platform::live_instance>& aInstances)
{
  std::vector<policy::propagation_member> all;
  std::vector<policy::propagation_member> planMembers;
  std::unordered_map<instance_id, net::endpoint> endpoints;
  for (const auto& instance : aInstances) {
    all.push_back({ instance.mInstance, instance.mFailureDomain });
    if (instance.mPeer.mPort == 0) {
      continue;
    }
    endpoints[instance.mInstance] = instance.mPeer;
    if (!instance.mLeaving) {
      planMembers.push_back(all.back());
    }
  }
  std::lock_guard lock(mMutex);
  if (planMembers != mPlanMembers) {
    mPlan = MakeRef<policy::propagation_plan>(mSelf, planMembers);
    mPlanMembers = std::move(planMembers);
  }
  mMembers = std::move(all);
  mEndpoints = std::move(endpoints);
}

ref<const policy::propagation_plan> peer_directory::Plan() const
{
  std::lock_guard lock(mMutex);
  return mPlan;
}

std::optional<net::endpoint> peer_directory::EndpointOf(const instance_id& aInstance) const
{
  std::lock_guard lock(mMutex);
  auto found = mEndpoints.find(aInstance);
  return found == mEndpoints.end() ? std::nullopt : std::optional(found->second);
}

std::vector<policy::propagation_member> peer_directory::Members() const
{
  std::lock_guard lock(mMutex);
  return mMembers;
}

} // namespace chervilpulley::config
