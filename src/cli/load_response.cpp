#include "cli/load_response.h"

#include <boost/json.hpp>

namespace chervilpulley::cli {

namespace {

namespace json = boost::json;

/// The outcome that an error body tells; empty when it tells none.
std::string OutcomeOf(const std::string& aBody)
{
  json::error_code fault;
  const json::value body = json::parse(aBody, fault);
  if (fault || !body.is_object()) {
    return "";
  }
  const json::value* error = body.get_object().if_contains("error");
  if (error == nullptr || !error->is_object()) {
    return "";
  }
  const json::value* told = error->get_object().if_contains("outcome");
  return told != nullptr && told->is_string() ? std::string(told->get_string()) : "";
}

} // namespace

std::optional<completion_response> ParseCompletion(const std::string& aBody)
{
  try {
    const json::value body = json::parse(aBody);
    const json::value& choice = body.at("choices").at(0);
    completion_response answer;
    answer.mId = json::value_to<std::string>(body.at("id"));
    answer.mText = json::value_to<std::string>(choice.at("text"));
    answer.mFinishReason = json::value_to<std::string>(choice.at("finish_reason"));
    answer.mTokens = json::value_to<std::uint32_t>(body.at("usage").at("completion_tokens"));
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

call_outcome OutcomeOfError(const std::string& aBody)
{
  const std::string outcome = OutcomeOf(aBody);
  if (outcome == "not_run") {
    return call_outcome::NotRun;
  }
  return outcome == "unknown" ? call_outcome::Unknown : call_outcome::Failed;
}

} // namespace chervilpulley::cli
