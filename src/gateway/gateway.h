#pragma once

#include "generated/settings.pb.h"

/// The gateway process. It stands in front of backend servers that speak HTTP themselves and pass activations among
/// each other. It keeps no state across restarts: the configuration, the list of backend servers and the placement
/// leader's lease are in the platform's store.
namespace chervilpulley::gateway {

/// Runs until SIGTERM or SIGINT, and then until the requests in progress have ended or the grace period is over.
/// Returns the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::gateway
