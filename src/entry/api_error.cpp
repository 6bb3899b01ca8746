#include "entry/api_error.h"

#include <boost/json.hpp>

#include <algorithm>

namespace chervilpulley::entry {

namespace {

/// Another entry can serve the retry.
constexpr duration kRetryElsewhereAfter = std::chrono::seconds(1);

unsigned StatusOf(link::refusal_reason aReason, link::call_outcome aOutcome)
{
  switch (aReason) {
    case link::REFUSAL_KEY_REUSED:
      return 422;
    case link::REFUSAL_KEY_TOO_OLD:
    case link::REFUSAL_BAD_REQUEST:
      return 400;
    case link::REFUSAL_RATE_LIMITED:
      return 429;
    case link::REFUSAL_SUSPECT:
      return 422;
    default:
      return aOutcome == link::OUTCOME_UNKNOWN ? 504 : 503;
  }
}

} // namespace

std::string OutcomeName(link::call_outcome aOutcome)
{
  switch (aOutcome) {
    case link::OUTCOME_NOT_RUN:
      return "not_run";
    case link::OUTCOME_FAILED:
      return "failed";
    default:
      return "unknown";
  }
}

std::string ErrorBody(const api_error& aError)
{
  boost::json::object error;
  error["message"] = aError.mMessage;
  error["type"] = aError.mType;
  error["outcome"] = OutcomeName(aError.mOutcome);
  return boost::json::serialize(boost::json::object{ { "error", error } });
}

net::http_reply ErrorReply(const api_error& aError)
{
  net::http_reply reply = net::JsonReply(aError.mStatus, ErrorBody(aError));
  if (aError.mRetryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aError.mRetryAfter).count();
    reply.mHeaders.Set("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
  }
  return reply;
}

api_error FromRefusal(const link::refusal& aRefusal)
{
  api_error error;
  error.mStatus = StatusOf(aRefusal.reason(), aRefusal.outcome());
  error.mType = error.mStatus < 500 ? "invalid_request_error" : "server_error";
  error.mMessage = aRefusal.message();
  error.mOutcome = aRefusal.outcome();
  if (aRefusal.retry_after_ms() > 0) {
    error.mRetryAfter = std::chrono::milliseconds(aRefusal.retry_after_ms());
  }
  return error;
}

api_error StoppingError()
{
  return { 503, "server_error", "this entry is stopping", link::OUTCOME_NOT_RUN, kRetryElsewhereAfter };
}

api_error BadRequest(unsigned aStatus, const std::string& aMessage)
{
  return { aStatus, "invalid_request_error", aMessage, link::OUTCOME_NOT_RUN, std::nullopt };
}

} // namespace chervilpulley::entry
