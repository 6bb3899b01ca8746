#pragma once

#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "platform/live_list.h"
#include "policy/config_propagation.h"

namespace chervilpulley::config {

/// The instances of the live list, and who takes the configuration from whom among them. Thread-safe.
class peer_directory
{
public:
  explicit peer_directory(policy::propagation_member aSelf);

  void Set(const std::vector<platform::live_instance>& aInstances);
  ref<const policy::propagation_plan> Plan() const;
  /// Address for control calls; nothing when the instance is not known.
  std::optional<net::endpoint> EndpointOf(const instance_id& aInstance) const;
  /// All instances of the list, leaving ones too.
  std::vector<policy::propagation_member> Members() const;

private:
  const policy::propagation_member mSelf;
  mutable std::mutex mMutex;
  ref<const policy::propagation_plan> mPlan;
  std::vector<policy::propagation_member> mMembers;
  std::vector<policy::propagation_member> mPlanMembers; ///< what mPlan was made of
  std::unordered_map<instance_id, net::endpoint> mEndpoints;
};

} // namespace chervilpulley::config
