#pragma once

#include <vector>

#include "platform/live_list.h"

/// Which of many sidecars a process keeps links to.
namespace chervilpulley::runtime {

/// About aTarget of aServers for the process aSelf, one of aClients; all of them when there are no more.
std::vector<platform::live_instance> LinkSubset(std::vector<platform::live_instance> aServers,
                                                const std::vector<platform::live_instance>& aClients,
                                                const platform::live_instance& aSelf,
                                                std::size_t aTarget);

} // namespace chervilpulley::runtime
