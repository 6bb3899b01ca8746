#pragma once

#include <boost/json/object.hpp>

#include <string>

/// Formats a gateway's explanation of a route as text.
namespace chervilpulley::cli {

/// @param aExplanation as gateway::ToJson() encodes it; throws boost::system::system_error or std::exception when a
/// member is missing or has another type.
std::string RouteText(const boost::json::object& aExplanation);

} // namespace chervilpulley::cli
