#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "cli/load_plan.h"
#include "cli/load_results.h"
#include "net/endpoint.h"

/// Runs the load tool: sends planned calls to entries and records the outcomes.
namespace chervilpulley::cli {

/// Entries, keys and paths that the load is sent to.
struct load_target
{
  std::vector<net::endpoint> mEntries;
  std::vector<std::string> mKeys; ///< API keys, one for each workspace: "workspace.secret"
  std::string mModel;
  std::string mBookingPath;
  std::string mLookupPath;
  duration mTimeout = std::chrono::seconds(30); ///< for a complete response, or between two pieces of a stream
};

/// Sends the planned calls at their times and waits for all responses.
/// When a connection breaks, the call is retried, or its stream resumed, at the next entry, as a caller would do.
/// @param aProgress receives a line every second; may be null.
void RunLoad(const load_options& aOptions, const load_target& aTarget, load_results& aResults, std::ostream* aProgress);

} // namespace chervilpulley::cli
