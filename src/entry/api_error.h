#pragma once

#include <optional>
#include <string>

#include "chervilpulley/units.h"
#include "generated/link.pb.h"
#include "net/http.h"

/// Errors towards callers, in the shape that clients of such APIs expect, with what is known of the request.
namespace chervilpulley::entry {

/// An error that a caller gets. The outcome says whether the request ran.
struct api_error
{
  unsigned mStatus = 500;
  std::string mType = "server_error";
  std::string mMessage;
  link::call_outcome mOutcome = link::OUTCOME_NOT_RUN;
  std::optional<duration> mRetryAfter;
};

/// "not_run", "unknown" or "failed".
std::string OutcomeName(link::call_outcome aOutcome);
/// The error's JSON body.
std::string ErrorBody(const api_error& aError);
/// The whole reply, with Retry-After where it makes sense.
net::http_reply ErrorReply(const api_error& aError);
/// The error for a refusal by a sidecar.
api_error FromRefusal(const link::refusal& aRefusal);
/// The request is wrong; sending it again does not help.
api_error BadRequest(unsigned aStatus, const std::string& aMessage);

} // namespace chervilpulley::entry
