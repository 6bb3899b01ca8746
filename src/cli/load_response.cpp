#include "cli/load_response.h"

#include <boost/json.hpp>

namespace chervilpulley::cli {

namespace {

namespace json = boost::json;

/// The field "error.outcome" of an error body; empty when it is missing or not a string.
std::string OutcomeField(const std::string& aBody)
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
  const json::value* field = error->get_object().if_contains("outcome");
  return field != nullptr && field->is_string() ? std::string(field->get_string()) : "";
}

} // namespace

std::optional<completion_response> ParseCompletion(const std::string& aBody)
{
  try {
    const json::value body = json::parse(aBody);
    const json::value& choice = body.at("choices").at(0);
    completion_response completion;
    completion.mId = json::value_to<std::string>(body.at("id"));
    completion.mText = json::value_to<std::string>(choice.at("text"));
    completion.mFinishReason = json::value_to<std::string>(choice.at("finish_reason"));
    completion.mTokens = json::value_to<std::uint32_t>(body.at("usage").at("completion_tokens"));
    return completion;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

call_outcome OutcomeOfError(const std::string& aBody)
{
  const std::string outcome = OutcomeField(aBody);
  if (outcome == "not_run") {
    return call_outcome::NotRun;
  }
  return outcome == "unknown" ? call_outcome::Unknown : call_outcome::Failed;
}

} // namespace chervilpulley::cli
