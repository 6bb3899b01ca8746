#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Selects the backend servers to which an instance keeps links when there are too many to link to all. It bounds the
/// number of connections in a large fleet while every server stays linked to instances of several failure domains.
namespace chervilpulley::policy {

/// Stable digest of the name of an instance or failure domain.
using member_key = strong_number<struct member_key_tag>;

/// Returns the digest of a name; it is the same in every process.
member_key KeyOf(const instance_id& aInstance);
member_key KeyOf(const failure_domain_id& aDomain);

/// An instance in the membership list, as server or as client of a link.
struct subset_member
{
  member_key mInstance;
  member_key mFailureDomain;
};

/// Returns the indices of those aServers that aSelf, one of aClients, links to: about aTarget of them, in ascending
/// order. Clients are the instances that open links to servers.
///
/// Each server, not each client, draws its clients by rendezvous hashing. Thus all servers are linked to by about the
/// same number of clients, from several failure domains unless nearly all clients are in one. A server that joins or
/// leaves changes only its own links; a client that joins or leaves changes one link of each server that it is or was
/// linked to. Both sides need only the membership list, and may disagree for as long as their lists differ.
std::vector<std::size_t> ChooseSubset(std::span<const subset_member> aServers,
                                      std::span<const subset_member> aClients,
                                      const subset_member& aSelf,
                                      std::size_t aTarget);

} // namespace chervilpulley::policy
