#include "entry/api_error.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::entry;
using namespace std::chrono_literals;

namespace {

struct refusal_case
{
  link::refusal_reason mReason;
  link::call_outcome mOutcome;
  unsigned mStatus;
  std::string mType;
};

struct retry_case
{
  std::optional<duration> mRetryAfter;
  std::string mHeader;
};

link::refusal Refusal(link::refusal_reason aReason, link::call_outcome aOutcome)
{
  link::refusal refusal;
  refusal.set_reason(aReason);
  refusal.set_outcome(aOutcome);
  refusal.set_message("why");
  return refusal;
}

} // namespace

TEST_CASE("api_error_of_each_refusal_has_its_status_and_type")
{
  const std::string caller = "invalid_request_error";
  const std::string server = "server_error";
  const std::vector<refusal_case> cases = {
    { link::REFUSAL_UNSPECIFIED, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_LEAVING, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_OVERLOADED, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_NO_ROUTE, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_WRONG_MODEL, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_FENCED, link::OUTCOME_UNKNOWN, 504, server },
    { link::REFUSAL_BACKEND_DOWN, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_BACKEND_DOWN, link::OUTCOME_UNKNOWN, 504, server },
    { link::REFUSAL_SUSPECT, link::OUTCOME_FAILED, 422, caller },
    { link::REFUSAL_GAP, link::OUTCOME_UNKNOWN, 504, server },
    { link::REFUSAL_PLATFORM_DOWN, link::OUTCOME_NOT_RUN, 503, server },
    { link::REFUSAL_KEY_REUSED, link::OUTCOME_NOT_RUN, 422, caller },
    { link::REFUSAL_KEY_TOO_OLD, link::OUTCOME_NOT_RUN, 400, caller },
    { link::REFUSAL_BAD_REQUEST, link::OUTCOME_NOT_RUN, 400, caller },
    { link::REFUSAL_RATE_LIMITED, link::OUTCOME_NOT_RUN, 429, caller },
  };
  for (const refusal_case& each : cases) {
    INFO(each.mReason);
    const api_error error = FromRefusal(Refusal(each.mReason, each.mOutcome));
    CHECK(error.mStatus == each.mStatus);
    CHECK(error.mType == each.mType);
    CHECK(error.mOutcome == each.mOutcome);
    CHECK(error.mMessage == "why");
    CHECK_FALSE(error.mRetryAfter);
  }
}

TEST_CASE("api_error_retry_after_is_in_whole_seconds_and_at_least_one")
{
  const std::vector<retry_case> cases = { { std::nullopt, "" }, { 0ms, "1" },    { -5s, "1" },   { 1ms, "1" },
                                          { 1000ms, "1" },      { 1001ms, "2" }, { 2min, "120" } };
  for (const retry_case& each : cases) {
    api_error error;
    error.mRetryAfter = each.mRetryAfter;
    CHECK(ErrorReply(error).mHeaders.Get("Retry-After") == each.mHeader);
  }
  link::refusal refusal = Refusal(link::REFUSAL_OVERLOADED, link::OUTCOME_NOT_RUN);
  refusal.set_retry_after_ms(1500);
  CHECK(ErrorReply(FromRefusal(refusal)).mHeaders.Get("Retry-After") == "2");
}

TEST_CASE("api_error_body_has_message_type_and_outcome")
{
  const auto reply = ErrorReply(BadRequest(404, "no \"such\" model"));
  CHECK(reply.mStatus == 404);
  CHECK(reply.mHeaders.Get("content-type") == "application/json");
  CHECK(reply.mBody ==
        R"({"error":{"message":"no \"such\" model","type":"invalid_request_error","outcome":"not_run"}})");
}

TEST_CASE("api_error_unknown_outcome_values_are_reported_as_unknown")
{
  CHECK(OutcomeName(link::OUTCOME_NOT_RUN) == "not_run");
  CHECK(OutcomeName(link::OUTCOME_FAILED) == "failed");
  CHECK(OutcomeName(link::OUTCOME_UNKNOWN) == "unknown");
  CHECK(OutcomeName(link::OUTCOME_UNSPECIFIED) == "unknown");
  CHECK(OutcomeName(static_cast<link::call_outcome>(99)) == "unknown");
}
