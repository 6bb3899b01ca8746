#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <ostream>

#include "cli/commands.h"
#include "cli/exit_code.h"
#include "cli/route_text.h"
#include "net/http_client.h"

DEFINE_string(route_address, "", "Address of the gateway's readiness check, ip:port ([gateway] ready).");
DEFINE_string(route_host, "", "Host of the request.");
DEFINE_string(route_path, "", "Path of the request.");
DEFINE_string(route_key, "", "Key of the request; it is neither logged nor printed.");
DEFINE_uint64(route_prompt_tokens, 0, "Tokens of the prompt.");
DEFINE_uint64(route_max_output_tokens, 0, "Most tokens of the output.");
DEFINE_bool(route_json, false, "Print the gateway's response as JSON.");

namespace chervilpulley::cli {

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);

net::http_request Question()
{
  net::http_request request;
  request.mTarget = fmt::format("/explain-route?host={}&path={}&prompt_tokens={}&max_output_tokens={}",
                                net::PercentEncode(FLAGS_route_host),
                                net::PercentEncode(FLAGS_route_path),
                                FLAGS_route_prompt_tokens,
                                FLAGS_route_max_output_tokens);
  request.mHeaders.Set("Explain-Key", FLAGS_route_key);
  return request;
}

int ExplainRoute(const std::vector<std::string>&, streams aStreams)
{
  const auto address = net::ParseEndpoint(FLAGS_route_address);
  if (!address || FLAGS_route_host.empty() || FLAGS_route_path.empty()) {
    aStreams.mErr << "explain-route: --address (ip:port), --host and --path are needed\n";
    return ExitUsage;
  }
  // A line break would end the header.
  if (FLAGS_route_key.find_first_of("\r\n") != std::string::npos) {
    aStreams.mErr << "explain-route: --key has a line break\n";
    return ExitUsage;
  }
  const auto reply = net::FetchBlocking(address.value(), Question(), kTimeout);
  if (!reply) {
    aStreams.mErr << fmt::format("explain-route: {}: {}\n", address.value().Str(), reply.error().mMessage);
    return ExitUnavailable;
  }
  if (reply.value().mStatus != 200) {
    aStreams.mErr << fmt::format("explain-route: {} responded with status {}; it must be the address of a gateway's "
                                 "readiness check\n",
                                 address.value().Str(),
                                 reply.value().mStatus);
    return ExitRefused;
  }
  if (FLAGS_route_json) {
    aStreams.mOut << reply.value().mBody << "\n";
    return ExitOk;
  }
  try {
    aStreams.mOut << RouteText(boost::json::parse(reply.value().mBody).as_object());
  } catch (const std::exception& error) {
    aStreams.mErr << fmt::format("explain-route: unexpected response: {}\n", error.what());
    return ExitRefused;
  }
  return ExitOk;
}

} // namespace

command ExplainRouteCommand()
{
  return { "explain-route",
           "",
           "Explains where a gateway would route a request now, without sending it.",
           { { "address", "route_address" },
             { "host", "route_host" },
             { "path", "route_path" },
             { "key", "route_key" },
             { "prompt-tokens", "route_prompt_tokens" },
             { "max-output-tokens", "route_max_output_tokens" },
             { "json", "route_json" } },
           0,
           0,
           ExplainRoute };
}

} // namespace chervilpulley::cli
