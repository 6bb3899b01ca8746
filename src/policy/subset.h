#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Which backend servers an instance keeps links to, when there are too many to link to all.
namespace chervilpulley::policy {

/// Stable digest of an instance or failure domain name.
using member_key = strong_number<struct member_key_tag>;

/// The digest of a name, equal in every process.
member_key KeyOf(const instance_id& aInstance);
member_key KeyOf(const failure_domain_id& aDomain);

/// An instance as the subsets see it.
struct subset_member
{
  member_key mInstance;
  member_key mFailureDomain;
};

/// Indices into aServers of those that aSelf, one of aClients, links to; about aTarget of them, in rising order.
///
/// Each server, not each chooser, draws its choosers by rendezvous hashing: all servers are linked to by about the same
/// number of choosers, of several failure domains unless nearly all choosers are of one. A server that comes or goes
/// changes its own links only; a chooser that comes or goes changes one link of each server that it has or had. Both
/// sides need only the membership list, and may disagree for as long as their lists do.
std::vector<std::size_t> ChooseSubset(std::span<const subset_member> aServers,
                                      std::span<const subset_member> aClients,
                                      const subset_member& aSelf,
                                      std::size_t aTarget);

} // namespace chervilpulley::policy
