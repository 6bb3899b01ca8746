#pragma once

#include "generated/settings.pb.h"

/// The process beside a backend server. It admits, queues and runs requests from entries and other sidecars, and
/// protects the backend server from overload.
namespace chervilpulley::sidecar {

/// Runs until SIGTERM or SIGINT and until all work in progress has finished; returns the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::sidecar
