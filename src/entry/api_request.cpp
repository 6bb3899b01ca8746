#include "entry/api_request.h"

#include <boost/json.hpp>

#include <cctype>

namespace chervilpulley::entry {

namespace {

namespace json = boost::json;

constexpr std::uint32_t kMaxTokens = 1U << 20U;
constexpr std::uint32_t kDefaultMaxTokens = 16;

api_error BadField(const std::string& aField, const std::string& aRule)
{
  return BadRequest(400, "field \"" + aField + "\" " + aRule);
}

result<std::string, api_error> ReadText(const json::object& aBody, const std::string& aField)
{
  const json::value* value = aBody.if_contains(aField);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    return BadField(aField, "must be text that is not empty");
  }
  return std::string(value->get_string());
}

/// The field's value; nullptr if the field is missing or null.
const json::value* FindField(const json::object& aBody, const std::string& aField)
{
  const json::value* value = aBody.if_contains(aField);
  return value == nullptr || value->is_null() ? nullptr : value;
}

result<bool, api_error> ReadFlag(const json::object& aBody, const std::string& aField)
{
  const json::value* value = FindField(aBody, aField);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    return BadField(aField, "must be true or false");
  }
  return value->get_bool();
}

result<std::uint32_t, api_error> ReadMaxTokens(const json::object& aBody)
{
  const std::string field = FindField(aBody, "max_tokens") != nullptr ? "max_tokens" : "max_completion_tokens";
  const json::value* value = FindField(aBody, field);
  if (value == nullptr) {
    return kDefaultMaxTokens;
  }
  boost::system::error_code error;
  const auto number = value->is_number() ? value->to_number<std::uint32_t>(error) : 0;
  if (error || number == 0 || number > kMaxTokens) {
    return BadField(field, "must be a whole number from 1 to " + std::to_string(kMaxTokens));
  }
  return number;
}

result<std::string, api_error> ReadMessages(const json::object& aBody)
{
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return BadField("messages", "must be a list that is not empty");
  }
  std::string prompt;
  for (const json::value& message : messages->get_array()) {
    if (!message.is_object()) {
      return BadField("messages", "must hold objects");
    }
    BOOST_OUTCOME_TRY(const auto role, ReadText(message.get_object(), "role"));
    BOOST_OUTCOME_TRY(const auto content, ReadText(message.get_object(), "content"));
    prompt += role;
    prompt += ": ";
    prompt += content;
    prompt += "\n";
  }
  return prompt;
}

result<bool, api_error> ReadIncludeUsage(const json::object& aBody)
{
  const json::value* options = FindField(aBody, "stream_options");
  if (options == nullptr) {
    return false;
  }
  if (!options->is_object()) {
    return BadField("stream_options", "must be an object");
  }
  return ReadFlag(options->get_object(), "include_usage");
}

} // namespace

std::uint32_t CountTokens(const std::string& aPrompt)
{
  std::uint32_t words = 0;
  bool isInWord = false;
  for (const char c : aPrompt) {
    const bool isSpace = std::isspace(static_cast<unsigned char>(c)) != 0;
    words += !isSpace && !isInWord ? 1 : 0;
    isInWord = !isSpace;
  }
  return words;
}

result<completion_request, api_error> ReadCompletionRequest(api_style aStyle, const std::string& aBody)
{
  boost::system::error_code error;
  const json::value parsed = json::parse(aBody, error);
  if (error || !parsed.is_object()) {
    return BadRequest(400, "the body is not a JSON object");
  }
  const json::object& body = parsed.get_object();
  completion_request request;
  request.mStyle = aStyle;
  BOOST_OUTCOME_TRY(request.mModel, ReadText(body, "model"));
  if (aStyle == api_style::Chat) {
    BOOST_OUTCOME_TRY(request.mPrompt, ReadMessages(body));
  } else {
    BOOST_OUTCOME_TRY(request.mPrompt, ReadText(body, "prompt"));
  }
  BOOST_OUTCOME_TRY(request.mMaxTokens, ReadMaxTokens(body));
  BOOST_OUTCOME_TRY(request.mStream, ReadFlag(body, "stream"));
  BOOST_OUTCOME_TRY(request.mIncludeUsage, ReadIncludeUsage(body));
  return request;
}

} // namespace chervilpulley::entry
