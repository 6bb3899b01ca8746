#pragma once

#include "generated/settings.pb.h"

/// The process beside a backend server: it admits, orders and runs what entries and other sidecars ask of it.
namespace chervilpulley::sidecar {

/// Runs until SIGTERM or SIGINT and until what is in progress has ended; gives the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::sidecar
