#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "net/http_client.h"
#include "processes/process.h"

/// Blocking HTTP calls for tests; a call that gets no response throws std::runtime_error.
namespace chervilpulley::processes {

/// Sends a request and returns the reply.
net::http_reply Call(const net::endpoint& aEndpoint,
                     std::string_view aMethod,
                     std::string_view aTarget,
                     std::string_view aBody = {},
                     const std::vector<net::http_header>& aHeaders = {});

/// Parses the reply's body as a JSON object; throws when it is not one.
boost::json::object JsonOf(const net::http_reply& aReply);

/// Sets faults of a stand-in by POST /control.
void Control(const process& aStandin, const boost::json::object& aFaults);

/// Reads the records of a stand-in by GET /records.
std::vector<boost::json::object> RecordsOf(const process& aStandin);

/// Parses one JSON object per line.
std::vector<boost::json::object> ParseLines(std::string_view aText);

} // namespace chervilpulley::processes
