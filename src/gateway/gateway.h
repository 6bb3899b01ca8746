#pragma once

#include "generated/settings.pb.h"

/// The process in front of backend servers that speak HTTP themselves and pass activations among each other. It keeps
/// nothing: configuration, membership and duties are in the platform's store.
namespace chervilpulley::gateway {

/// Runs until SIGTERM or SIGINT and until what is in progress has ended; gives the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::gateway
