#include "platform/json_fields.h"

#include <boost/json/parse.hpp>

namespace chervilpulley::platform {

namespace {

boost::json::string_view ViewOf(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

std::optional<boost::json::object> ParseObject(std::string_view aBody)
{
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(ViewOf(aBody), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::optional<std::string> TextField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(ViewOf(aName));
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string().c_str(), value->get_string().size());
}

std::optional<std::uint64_t> NumberField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(ViewOf(aName));
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (value->is_int64() && value->get_int64() >= 0) {
    return static_cast<std::uint64_t>(value->get_int64());
  }
  return std::nullopt;
}

const boost::json::array* ArrayField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(ViewOf(aName));
  return value == nullptr ? nullptr : value->if_array();
}

} // namespace chervilpulley::platform
