#include "runtime/link_subset.h"

#include "policy/subset.h"

namespace chervilpulley::runtime {

namespace {

policy::subset_member MemberOf(const platform::live_instance& aInstance)
{
  return { policy::KeyOf(aInstance.mInstance), policy::KeyOf(aInstance.mFailureDomain) };
}

std::vector<policy::subset_member> MembersOf(const std::vector<platform::live_instance>& aInstances)
{
  std::vector<policy::subset_member> members;
  members.reserve(aInstances.size());
  for (const auto& instance : aInstances) {
    members.push_back(MemberOf(instance));
  }
  return members;
}

} // namespace

std::vector<platform::live_instance> LinkSubset(std::vector<platform::live_instance> aServers,
                                                const std::vector<platform::live_instance>& aClients,
                                                const platform::live_instance& aSelf,
                                                std::size_t aTarget)
{
  if (aServers.size() <= aTarget) {
    return aServers;
  }
  std::vector<platform::live_instance> chosen;
  for (const std::size_t index :
       policy::ChooseSubset(MembersOf(aServers), MembersOf(aClients), MemberOf(aSelf), aTarget)) {
    chosen.push_back(std::move(aServers[index]));
  }
  return chosen;
}

} // namespace chervilpulley::runtime
