#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Accessors for fields in the platform's JSON. A field that is absent or has another type yields no value, so that a
/// malformed response is reported as an error and never throws.
namespace chervilpulley::platform {

/// Parses a body that must be a JSON object; no value otherwise.
std::optional<boost::json::object> ParseObject(std::string_view aBody);
std::optional<std::string> TextField(const boost::json::object& aObject, std::string_view aName);
/// A non-negative integer.
std::optional<std::uint64_t> NumberField(const boost::json::object& aObject, std::string_view aName);
/// Null when the field is absent or is not an array.
const boost::json::array* ArrayField(const boost::json::object& aObject, std::string_view aName);

} // namespace chervilpulley::platform
