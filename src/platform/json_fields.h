#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Reads fields of the platform's JSON; a field that is absent or of another type is nothing.
namespace chervilpulley::platform {

/// Parses a body that must hold one JSON object.
std::optional<boost::json::object> ParseObject(std::string_view aBody);
std::optional<std::string> TextField(const boost::json::object& aObject, std::string_view aName);
std::optional<std::uint64_t> NumberField(const boost::json::object& aObject, std::string_view aName);
/// Null when the field is absent or is not an array.
const boost::json::array* ArrayField(const boost::json::object& aObject, std::string_view aName);

} // namespace chervilpulley::platform
