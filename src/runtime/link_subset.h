#pragma once

#include <vector>

#include "platform/live_list.h"

/// Selects the sidecars that a process keeps links to, so that the number of links per process is bounded in a large
/// deployment.
namespace chervilpulley::runtime {

/// Returns about aTarget of aServers for the process aSelf, which is one of aClients; all of aServers when there are no
/// more than aTarget.
std::vector<platform::live_instance> LinkSubset(std::vector<platform::live_instance> aServers,
                                                const std::vector<platform::live_instance>& aClients,
                                                const platform::live_instance& aSelf,
                                                std::size_t aTarget);

} // namespace chervilpulley::runtime
