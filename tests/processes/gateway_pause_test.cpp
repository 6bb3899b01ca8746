#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

/// Time for which the stand-in's servers ask, and the time after which the users' rules count further requests.
constexpr auto kPause = 3s;
constexpr auto kSettled = 500ms;

/// One gateway, and backend servers that turn requests away and want no other for some seconds.
struct pausing_fixture : gateway_fixture
{
  int mSent = 0;

  pausing_fixture() { StartGateway(); }

  gateway_response SendTo(const std::string& aTarget, unsigned aTokens = 0)
  {
    gateway_call call;
    call.mMethod = aTarget.starts_with("/look/") ? "GET" : "POST";
    call.mTarget = aTarget;
    call.mId = "p" + std::to_string(++mSent);
    call.mOutputTokens = aTokens;
    return Send(call);
  }

  std::size_t TurnedAway(const std::string& aServer) const
  {
    std::size_t count = 0;
    for (const auto& record : Records("turned_away")) {
      count += record.at("server").as_string() == aServer ? 1 : 0;
    }
    return count;
  }
};

} // namespace

TEST_CASE_METHOD(pausing_fixture, "gateway_turned_away_with_a_retry_after_time_sends_that_server_nothing_until_then")
{
  SetServer("service-0", "pausing");
  REQUIRE(WaitUntil([&] { return SendTo("/look/rope").mStatus != 0 && TurnedAway("service-0") > 0; }));
  const auto askedAt = std::chrono::steady_clock::now();
  const std::size_t before = TurnedAway("service-0");
  while (std::chrono::steady_clock::now() - askedAt < kPause - kSettled) {
    CHECK(SendTo("/look/rope").mStatus == 200);
    CHECK(SendTo("/book/winch").mStatus == 200);
  }
  CHECK(TurnedAway("service-0") <= before + 2);
  SetServer("service-0", "ok");
  SetServer("service-1", "gone");
  CHECK(WaitUntil([&] { return SendTo("/look/rope").mStatus == 200; }));
}

TEST_CASE_METHOD(pausing_fixture, "gateway_turned_away_by_all_servers_refuses_at_once_and_says_when_the_first_is_back")
{
  SetServer("service-0", "pausing");
  SetServer("service-1", "pausing");
  REQUIRE(WaitUntil([&] {
    SendTo("/look/rope");
    return TurnedAway("service-0") > 0 && TurnedAway("service-1") > 0;
  }));
  const std::size_t before = TurnedAway("service-0") + TurnedAway("service-1");
  for (int each = 0; each < 20; ++each) {
    const auto begun = std::chrono::steady_clock::now();
    const auto response = SendTo("/book/winch");
    CHECK(std::chrono::steady_clock::now() - begun < kSettled);
    CHECK(response.mStatus == 503);
    REQUIRE(!response.mHeaders.Get("Retry-After").empty());
    CHECK(std::stod(std::string(response.mHeaders.Get("Retry-After"))) > 1);
  }
  CHECK(TurnedAway("service-0") + TurnedAway("service-1") == before);
}

TEST_CASE_METHOD(pausing_fixture, "gateway_turned_away_by_an_engine_with_a_retry_after_time_begins_streams_elsewhere")
{
  SendTo("/draft/1", 2);
  const std::string first(Records("run", "p1").front().at("server").as_string());
  SetServer(first, "pausing");
  REQUIRE(WaitUntil([&] { return SendTo("/draft/1", 2).mStatus != 0 && TurnedAway(first) > 0; }));
  const auto askedAt = std::chrono::steady_clock::now();
  const std::size_t before = TurnedAway(first);
  while (std::chrono::steady_clock::now() - askedAt < kPause - kSettled) {
    CHECK(SendTo("/draft/1", 2).mStatus == 200);
  }
  CHECK(TurnedAway(first) <= before + 2);
}
