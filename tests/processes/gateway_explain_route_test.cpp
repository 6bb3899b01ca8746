#include "processes/gateway_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <sstream>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

struct command_output
{
  std::string mText;
  int mStatus = 0;
};

struct explaining_fixture : gateway_fixture
{
  explaining_fixture() { StartGateway(); }

  command_output ExplainRoute(const std::string& aArguments)
  {
    const std::string line = BinaryPath() + " explain-route --address " + mGateways[0]->Address("admin").Str() +
                             " --host demo.example " + aArguments + " 2>&1";
    command_output output;
    std::FILE* pipe = ::popen(line.c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> piece{};
    while (const std::size_t size = std::fread(piece.data(), 1, piece.size(), pipe)) {
      output.mText.append(piece.data(), size);
    }
    output.mStatus = ::pclose(pipe);
    return output;
  }
};

/// The counts of ended requests by outcome, as a scrape shows them.
std::string EndedRequests(const process& aGateway)
{
  const std::string text = Call(aGateway.Address("admin"), "GET", "/metrics").mBody;
  std::istringstream lines(text);
  std::string counts;
  for (std::string line; std::getline(lines, line);) {
    counts += line.starts_with("gateway_request_seconds_count") ? line + "\n" : "";
  }
  return counts;
}

bool Holds(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Fails if the command sends the request, counts it, or prints or logs the key.
TEST_CASE_METHOD(explaining_fixture, "gateway_asked_to_explain_a_route_answers_without_running_or_counting_a_request")
{
  const std::size_t runs = Records("run").size();
  const std::string ended = EndedRequests(*mGateways[0]);
  REQUIRE_FALSE(ended.empty());
  const command_output stream = ExplainRoute("--path /draft/x --key key-1 --prompt-tokens 10 --max-output-tokens 5");
  INFO(stream.mText);
  CHECK(stream.mStatus == 0);
  CHECK(Holds(stream.mText, "route "));
  CHECK(Holds(stream.mText, ": sent"));
  CHECK(Holds(stream.mText, "  path "));
  CHECK(Holds(stream.mText, "  chosen"));
  const command_output service = ExplainRoute("--path /look/rope --key key-1");
  INFO(service.mText);
  CHECK(service.mStatus == 0);
  CHECK(Holds(service.mText, "chosen"));
  const command_output unknown = ExplainRoute("--path /look/rope --key key-of-nobody");
  CHECK(Holds(unknown.mText, "rejected with 401: unknown key"));
  CHECK(Holds(ExplainRoute("--path /nowhere --key key-1").mText, "rejected with 404: no route"));
  CHECK_FALSE(Holds(stream.mText + service.mText, "key-1"));
  CHECK_FALSE(Holds(unknown.mText, "key-of-nobody"));
  CHECK_FALSE(Holds(mGateways[0]->Output() + mGateways[0]->Log(), "key-of-nobody"));
  CHECK(Records("run").size() == runs);
  CHECK(EndedRequests(*mGateways[0]) == ended);
}

TEST_CASE_METHOD(explaining_fixture, "gateway_asked_to_explain_a_route_without_a_host_responds_with_400")
{
  const auto reply = Call(mGateways[0]->Address("admin"), "GET", "/explain-route?path=/x");
  CHECK(reply.mStatus == 400);
}
