#include "entry/api_request.h"

#include <boost/json.hpp>

#include <cctype>

namespace chervilpulley::entry {

namespace {

namespace json = boost::json;

constexpr std::uint32_t kMostTokens = 1U << 20U;
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

result<bool, api_error> ReadFlag(const json::object& aBody, const std::string& aField)
{
  const json::value* value = aBody.if_contains(aField);
  if (value == nullptr || value->is_null()) {
    return false;
  }
  if (!value->is_bool()) {
    return BadField(aField, "must be true or false");
  }
  return value->get_bool();
}

result<std::uint32_t, api_error> ReadMaxTokens(const json::object& aBody)
{
  const json::value* value = aBody.if_contains("max_tokens");
  if (value == nullptr || value->is_null()) {
    value = aBody.if_contains("max_completion_tokens");
  }
  if (value == nullptr || value->is_null()) {
    return kDefaultMaxTokens;
  }
  boost::system::error_code error;
  const auto number = value->is_number() ? value->to_number<std::uint32_t>(error) : 0;
  if (error || number == 0 || number > kMostTokens) {
    return BadField("max_tokens", "must be a whole number from 1 to " + std::to_string(kMostTokens));
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

bool IncludesUsage(const json::object& aBody)
{
  const json::value* options = aBody.if_contains("stream_options");
  if (options == nullptr || !options->is_object()) {
    return false;
  }
  const json::value* flag = options->get_object().if_contains("include_usage");
  return flag != nullptr && flag->is_bool() && flag->get_bool();
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
  request.mIncludeUsage = IncludesUsage(body);
  return request;
}

} // namespace chervilpulley::entry
