#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "net/http_client.h"
#include "processes/process.h"

/// Short forms of HTTP calls for tests; a call that gets no answer throws std::runtime_error.
namespace chervilpulley::processes {

net::http_reply Call(const net::endpoint& aEndpoint,
                     std::string_view aMethod,
                     std::string_view aTarget,
                     std::string_view aBody = {},
                     const std::vector<net::http_header>& aHeaders = {});

/// The reply's body as a JSON object; throws when it is none.
boost::json::object JsonOf(const net::http_reply& aReply);

/// POST /control of a stand-in.
void Control(const process& aStandin, const boost::json::object& aFaults);

/// GET /records of a stand-in.
std::vector<boost::json::object> RecordsOf(const process& aStandin);

/// Parses JSON lines.
std::vector<boost::json::object> ParseLines(std::string_view aText);

} // namespace chervilpulley::processes
