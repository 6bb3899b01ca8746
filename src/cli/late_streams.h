#pragma once

#include <string>

#include "cli/log_lines.h"

/// Summarizes from the logs of the gateways where streams that began late had waited, and how far the forecast of their
/// first event was off.
namespace chervilpulley::cli {

/// A table of the served streams whose first event came later than the objective, by the place where they waited
/// longest, and of forecast and actual time from the last send to the first event, for all served streams and for the
/// late ones.
/// @param aObjectiveMs latency objective of the first event, in milliseconds.
std::string SummarizeLateStreams(const parsed_log& aLog, double aObjectiveMs);

} // namespace chervilpulley::cli
