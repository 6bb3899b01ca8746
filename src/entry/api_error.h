#pragma once

#include <optional>
#include <string>

#include "chervilpulley/units.h"
#include "generated/link.pb.h"
#include "net/http.h"

/// Errors sent to callers, in the JSON format that clients of completion APIs expect. Each error also states whether
/// the request may have run, so that the caller can decide whether a retry is safe.
namespace chervilpulley::entry {

/// An error sent to a caller.
struct api_error
{
  unsigned mStatus = 500;
  std::string mType = "server_error"; ///< error type for client libraries, such as "invalid_request_error"
  std::string mMessage;
  link::call_outcome mOutcome = link::OUTCOME_NOT_RUN; ///< whether the request ran
  std::optional<duration> mRetryAfter;                 ///< sent as the Retry-After header
};

/// The outcome as callers see it: "not_run", "unknown" or "failed".
std::string OutcomeName(link::call_outcome aOutcome);
/// The error's JSON body.
std::string ErrorBody(const api_error& aError);
/// The complete HTTP reply; it has a Retry-After header of at least 1 s if the error has a retry time.
net::http_reply ErrorReply(const api_error& aError);
/// Converts a refusal by a sidecar into the error for the caller.
api_error FromRefusal(const link::refusal& aRefusal);
/// The error for a request that this entry can't serve any more because its process ends; another entry can.
api_error StoppingError();
/// The error for an invalid request, which did not run and would fail again if retried.
api_error BadRequest(unsigned aStatus, const std::string& aMessage);

} // namespace chervilpulley::entry
