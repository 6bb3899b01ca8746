#pragma once

#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "platform/live_list.h"
#include "policy/config_propagation.h"

/// Addresses of the other processes and the propagation plan that follows from the live list.
namespace chervilpulley::config {

/// The instances of the live list, their addresses, and the propagation plan for them. Thread-safe.
class peer_directory
{
public:
  explicit peer_directory(policy::propagation_member aSelf);

  /// Replaces the live list. Instances that are leaving or have no address for control calls are not in the plan.
  void Set(const std::vector<platform::live_instance>& aInstances);
  ref<const policy::propagation_plan> Plan() const;
  /// Address for control calls; nothing if the instance is unknown.
  std::optional<net::endpoint> EndpointOf(const instance_id& aInstance) const;
  /// All instances of the list, including those that are leaving.
  std::vector<policy::propagation_member> Members() const;

private:
  const policy::propagation_member mSelf;
  mutable std::mutex mMutex;
  ref<const policy::propagation_plan> mPlan;
  std::vector<policy::propagation_member> mMembers;
  std::vector<policy::propagation_member> mPlanMembers; ///< members from which mPlan was made
  std::unordered_map<instance_id, net::endpoint> mEndpoints;
};

} // namespace chervilpulley::config
