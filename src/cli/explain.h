#pragma once

#include <string>

#include "cli/log_lines.h"

/// From a request's id to the cause of its end, by the logs of the gateways.
namespace chervilpulley::cli {

/// The request's lines, with those in between that changed what its gateway believed of the servers, layers and store
/// that it needed. Empty when no line names the request.
std::string ExplainRequest(const parsed_log& aLog, const std::string& aRequest);

/// Which requests are looked for; what is empty or 0 asks for nothing.
struct request_search
{
  std::string mReason; ///< a part of it
  std::string mWorkspace;
  std::string mSince;          ///< time, or its beginning, as the lines write it
  double mFirstEventMs = 0;    ///< first event came after so long or later
  bool mIncludeServed = false; ///< also those that ended well
};

/// One line for each request that ended, with its id first.
std::string FindRequests(const parsed_log& aLog, const request_search& aSearch);

} // namespace chervilpulley::cli
