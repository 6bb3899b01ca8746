#pragma once

#include "generated/settings.pb.h"

/// The process that callers and operators talk to.
namespace chervilpulley::entry {

/// Runs until SIGTERM or SIGINT and until what is in progress has ended; gives the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::entry
