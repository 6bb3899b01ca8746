#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "cli/load_plan.h"
#include "cli/load_results.h"
#include "net/endpoint.h"

namespace chervilpulley::cli {

/// Where the load goes.
struct load_target
{
  std::vector<net::endpoint> mEntries;
  std::vector<std::string> mKeys; ///< one for each workspace, "workspace.secret"
  std::string mModel;
  std::string mBookingPath;
  std::string mLookupPath;
  duration mTimeout = std::chrono::seconds(30); ///< for a whole answer, or between two pieces of a stream
};

/// Sends the planned calls at their times and waits for all answers.
/// A call whose connection breaks is sent again, or its stream taken up, at the next entry, as a caller would do.
/// @param aProgress gets a line every second; may be null.
void RunLoad(const load_options& aOptions, const load_target& aTarget, load_results& aResults, std::ostream* aProgress);

} // namespace chervilpulley::cli
