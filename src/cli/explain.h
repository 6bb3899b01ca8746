#pragma once

#include <string>

#include "cli/log_lines.h"

/// Finds the cause of a request's failure in the logs of the gateways.
namespace chervilpulley::cli {

/// The log lines of the request, and those about state changes of the backend servers, layers and store that it needed.
/// Empty when no line names the request.
std::string ExplainRequest(const parsed_log& aLog, const std::string& aRequest);

/// Filter for requests; a member that is empty or 0 does not filter.
struct request_search
{
  std::string mReason; ///< a substring of the reason
  std::string mWorkspace;
  std::string mSince;          ///< time, or a prefix of it, in the format of the log lines
  double mFirstEventMs = 0;    ///< minimum time to the first event
  bool mIncludeServed = false; ///< whether to include requests that were served
};

/// One line for each matching request that ended, starting with its id.
std::string FindRequests(const parsed_log& aLog, const request_search& aSearch);

} // namespace chervilpulley::cli
