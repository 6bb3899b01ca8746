#include "processes/http_call.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <sstream>
#include <stdexcept>

namespace chervilpulley::processes {

net::http_reply Call(const net::endpoint& aEndpoint,
                     std::string_view aMethod,
                     std::string_view aTarget,
                     std::string_view aBody,
                     const std::vector<net::http_header>& aHeaders)
{
  net::http_request request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  for (const net::http_header& header : aHeaders) {
    request.mHeaders.Set(header.mName, header.mValue);
  }
  auto reply = net::FetchBlocking(aEndpoint, request, kTestTimeout);
  if (!reply) {
    throw std::runtime_error(request.mMethod + " " + request.mTarget + ": " + reply.error().mMessage);
  }
  return std::move(reply).value();
}

boost::json::object JsonOf(const net::http_reply& aReply)
{
  return boost::json::parse(aReply.mBody).as_object();
}

void Control(const process& aStandin, const boost::json::object& aFaults)
{
  const net::http_reply reply = Call(aStandin.Address("http"), "POST", "/control", boost::json::serialize(aFaults));
  if (reply.mStatus != 200) {
    throw std::runtime_error("POST /control: " + reply.mBody);
  }
}

std::vector<boost::json::object> RecordsOf(const process& aStandin)
{
  return ParseLines(Call(aStandin.Address("http"), "GET", "/records").mBody);
}

std::vector<boost::json::object> ParseLines(std::string_view aText)
{
  std::vector<boost::json::object> records;
  std::istringstream lines{ std::string(aText) };
  for (std::string line; std::getline(lines, line);) {
    records.push_back(boost::json::parse(line).as_object());
  }
  return records;
}

} // namespace chervilpulley::processes
