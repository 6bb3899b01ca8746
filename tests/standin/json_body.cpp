#include "json_body.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace chervilpulley::standin {

namespace json = boost::json;

json_body::json_body(std::string_view aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    mError = "the body is not a JSON object";
    return;
  }
  mObject = std::move(value.as_object());
}

std::uint64_t json_body::Number(std::string_view aKey, std::uint64_t aDefault)
{
  const json::value* value = mObject.if_contains(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    SetError(aKey, "a whole number that is not negative");
    return aDefault;
  }
  return number;
}

bool json_body::Flag(std::string_view aKey, bool aDefault)
{
  const json::value* value = mObject.if_contains(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    SetError(aKey, "true or false");
    return aDefault;
  }
  return value->get_bool();
}

std::string json_body::Text(std::string_view aKey, std::string_view aDefault)
{
  const json::value* value = mObject.if_contains(aKey);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    SetError(aKey, "a string");
    return std::string(aDefault);
  }
  return std::string(value->get_string());
}

std::vector<std::string> json_body::Texts(std::string_view aKey)
{
  std::vector<std::string> texts;
  const json::value* value = mObject.if_contains(aKey);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    SetError(aKey, "an array of strings");
    return texts;
  }
  for (const json::value& element : value->get_array()) {
    if (!element.is_string()) {
      SetError(aKey, "an array of strings");
      return {};
    }
    texts.emplace_back(element.get_string());
  }
  return texts;
}

void json_body::Require(std::string_view aKey)
{
  if (!Has(aKey)) {
    SetError(aKey, "given");
  }
}

void json_body::SetError(std::string_view aKey, std::string_view aExpected)
{
  if (mError.empty()) {
    mError = std::string(aKey) + " must be " + std::string(aExpected);
  }
}

net::http_reply ErrorReply(unsigned aStatus, std::string_view aMessage)
{
  json::object body;
  body["error"] = aMessage;
  return ObjectReply(aStatus, body);
}

net::http_reply ObjectReply(unsigned aStatus, const json::object& aObject)
{
  return net::JsonReply(aStatus, json::serialize(aObject));
}

net::http_reply LinesReply(std::string aLines)
{
  net::http_reply reply;
  reply.mHeaders.Set("Content-Type", "application/x-ndjson");
  reply.mBody = std::move(aLines);
  return reply;
}

} // namespace chervilpulley::standin
