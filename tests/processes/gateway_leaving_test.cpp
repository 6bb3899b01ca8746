#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// One gateway, and backend servers that say that they leave in their responses alone: the list shows them as ready.
struct leaving_fixture : gateway_fixture
{
  leaving_fixture() { StartGateway(); }

  gateway_response SendTo(const std::string& aTarget, const std::string& aId, unsigned aTokens = 0)
  {
    gateway_call call;
    call.mMethod = aTarget.starts_with("/look/") ? "GET" : "POST";
    call.mTarget = aTarget;
    call.mId = aId;
    call.mOutputTokens = aTokens;
    return Send(call);
  }

  /// Names of the servers that ran a request.
  std::vector<std::string> ServersOf(const std::string& aId) const
  {
    std::vector<std::string> servers;
    for (const auto& run : Records("run", aId)) {
      servers.emplace_back(run.at("server").as_string());
    }
    return servers;
  }

  /// Sends requests until aServer has answered one of them.
  void SendUntilServedBy(const std::string& aServer, const std::string& aTarget, unsigned aTokens = 0)
  {
    int sent = 0;
    REQUIRE(WaitUntil([&] {
      const std::string id = aServer + "-" + std::to_string(++sent);
      SendTo(aTarget, id, aTokens);
      const auto servers = ServersOf(id);
      return std::find(servers.begin(), servers.end(), aServer) != servers.end();
    }));
  }

  /// Number of aCount requests that aServer ran.
  std::size_t RunsAt(const std::string& aServer, const std::string& aTarget, int aCount, unsigned aTokens = 0)
  {
    std::size_t runs = 0;
    for (int each = 0; each < aCount; ++each) {
      const std::string id = "after" + aTarget + std::to_string(each);
      CHECK(SendTo(aTarget, id, aTokens).mStatus == 200);
      const auto servers = ServersOf(id);
      runs += static_cast<std::size_t>(std::count(servers.begin(), servers.end(), aServer));
    }
    return runs;
  }
};

} // namespace

TEST_CASE_METHOD(leaving_fixture, "gateway_sends_no_call_to_a_service_that_said_in_a_response_that_it_leaves")
{
  SetServer("service-0", "announcing");
  SendUntilServedBy("service-0", "/look/rope");
  CHECK(RunsAt("service-0", "/look/rope", 12) == 0);
  CHECK(RunsAt("service-0", "/book/winch", 12) == 0);
}

TEST_CASE_METHOD(leaving_fixture, "gateway_begins_no_stream_at_an_engine_that_said_in_a_response_that_it_leaves")
{
  SendTo("/draft/1", "probe", 2);
  const std::string first = ServersOf("probe").front();
  SetServer(first, "announcing");
  SendUntilServedBy(first, "/draft/1", 2);
  CHECK(RunsAt(first, "/draft/1", 12, 2) == 0);
}

TEST_CASE_METHOD(leaving_fixture, "gateway_whose_servers_of_a_service_all_said_that_they_leave_refuses_calls_at_once")
{
  SetServer("service-0", "announcing");
  SetServer("service-1", "announcing");
  // Either server may be the first to say it, and gets nothing after that.
  int sent = 0;
  REQUIRE(WaitUntil([&] { return SendTo("/look/rope", "look-" + std::to_string(++sent)).mStatus == 503; }));
  for (const char* server : { "service-0", "service-1" }) {
    const auto runs = Records("run");
    CHECK(std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) { return aRun.at("server") == server; }) == 1);
  }
  const auto response = SendTo("/book/winch", "last");
  CHECK(response.mStatus == 503);
  CHECK(!response.mHeaders.Get("Retry-After").empty());
  CHECK(RunCount("last") == 0);
}

TEST_CASE_METHOD(leaving_fixture, "gateway_sends_calls_again_to_a_service_that_restarted_after_it_had_said_it_leaves")
{
  SetServer("service-0", "announcing");
  SendUntilServedBy("service-0", "/look/rope");
  SetServer("service-0", "reborn");
  SetServer("service-1", "dark");
  CHECK(WaitUntil([&] { return SendTo("/look/rope", "again").mStatus == 200; }));
}
