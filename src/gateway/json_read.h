#pragma once

#include <boost/json.hpp>

#include <cmath>
#include <optional>
#include <string>
#include <string_view>

/// Readers for JSON of other processes, in which any field may be missing or have an unexpected type.
namespace chervilpulley::gateway::wire {

/// A field of an object; null if it is missing or aValue is not an object.
inline const boost::json::value* Field(const boost::json::value& aValue, std::string_view aName)
{
  const auto* object = aValue.if_object();
  return object == nullptr ? nullptr : object->if_contains(aName);
}

/// A finite number; nothing for a missing value or another type. The parser takes a number that is too large as
/// infinite.
inline std::optional<double> Number(const boost::json::value* aValue)
{
  if (aValue == nullptr || !aValue->is_number()) {
    return std::nullopt;
  }
  const auto number = aValue->to_number<double>();
  return std::isfinite(number) ? std::optional(number) : std::nullopt;
}

/// A number that is not negative, rounded down to an integer.
inline std::optional<std::uint64_t> Count(const boost::json::value* aValue)
{
  const auto number = Number(aValue);
  // A double represents integers exactly only up to 2^53.
  if (!number || *number < 0 || *number > 9007199254740992.0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(*number);
}

/// A number that is not negative and has no fraction.
inline std::optional<std::uint64_t> WholeNumber(const boost::json::value* aValue)
{
  const auto count = Count(aValue);
  return count && static_cast<double>(*count) == Number(aValue) ? count : std::nullopt;
}

/// A string; nothing for a missing value or another type.
inline std::optional<std::string> Text(const boost::json::value* aValue)
{
  if (aValue == nullptr || !aValue->is_string()) {
    return std::nullopt;
  }
  return std::string(aValue->as_string());
}

/// A boolean; false for a missing value or another type.
inline bool Flag(const boost::json::value* aValue)
{
  return aValue != nullptr && aValue->is_bool() && aValue->as_bool();
}

/// An array; null for a missing value or another type.
inline const boost::json::array* List(const boost::json::value* aValue)
{
  return aValue == nullptr ? nullptr : aValue->if_array();
}

/// Parses a text; returns nothing and sets aFault if it is not valid JSON.
inline std::optional<boost::json::value> Parse(std::string_view aText, std::string& aFault)
{
  boost::json::error_code error;
  auto value = boost::json::parse(boost::json::string_view(aText.data(), aText.size()), error);
  if (error) {
    aFault = "not JSON: " + error.message();
    return std::nullopt;
  }
  return value;
}

} // namespace chervilpulley::gateway::wire
