#pragma once

#include "generated/settings.pb.h"

/// The entry process, which serves callers and operators.
namespace chervilpulley::entry {

/// Runs until SIGTERM or SIGINT, then drains the requests in progress. Returns the exit status.
int Run(const settings::settings& aSettings);

} // namespace chervilpulley::entry
