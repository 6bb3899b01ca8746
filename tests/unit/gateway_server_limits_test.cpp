#include "gateway/server_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace std::chrono_literals;

namespace {

/// A gateway with two others in its failure domain and one in another; asks are collected instead of sent.
struct server_limits_fixture
{
  const failure_domain_id mEast{ "east" };
  const policy::server_start mServer{ backend_id("server"), 1 };
  instant mNow = instant() + 1h;
  server_limits mLimits{ mEast };
  std::vector<std::pair<net::endpoint, permit_ask>> mAsks;
  int mPermitsArrived = 0;

  server_limits_fixture()
  {
    mLimits.SetSelf(instance_id("self"));
    mLimits.OnAsk([this](const net::endpoint& aTo, const permit_ask& aAsk) { mAsks.emplace_back(aTo, aAsk); });
    mLimits.OnPermits([this] { ++mPermitsArrived; });
  }

  static permit_peer Peer(const std::string& aName, const std::string& aDomain, std::uint16_t aPort)
  {
    return { instance_id(aName), failure_domain_id(aDomain), { "127.0.0.1", aPort } };
  }

  void AddPeers() { mLimits.SetPeers({ Peer("a", "east", 1), Peer("b", "east", 2), Peer("c", "west", 3) }); }

  void Name(std::optional<double> aLimit, duration aSentAgo = 0ms)
  {
    mLimits.Responded(mServer, mEast, aLimit, mNow - aSentAgo, mNow);
  }

  bool MayBegin() const { return mLimits.MayBegin(mServer, mNow); }

  void Pass(duration aTime)
  {
    mNow += aTime;
    mLimits.TimePassed(mNow);
  }

  /// A server of which another gateway is the first coordinator.
  void NameAtOthersServer()
  {
    AddPeers();
    Name(5);
    mLimits.Missed(mServer, true, mNow);
    Pass(1ms);
  }

  static permit_grant GrantOf(const permit_ask& aAsk, std::uint32_t aPermits)
  {
    permit_grant grant;
    grant.mServer = aAsk.mServer;
    grant.mPermits = aPermits;
    grant.mLimit = aAsk.mLimit;
    grant.mKnownFor = aAsk.mKnownFor;
    return grant;
  }
};

} // namespace

TEST_CASE_METHOD(server_limits_fixture, "limit_that_overtakes_the_response_without_one_holds_until_a_later_request")
{
  Name(5);
  CHECK_FALSE(MayBegin());
  Pass(100ms);
  Name(std::nullopt, 150ms);
  CHECK_FALSE(MayBegin());
  Name(std::nullopt, 50ms);
  CHECK(MayBegin());
}

TEST_CASE_METHOD(server_limits_fixture, "limit_that_falls_holds_at_once_and_one_that_rises_only_by_a_later_request")
{
  Name(5);
  Pass(100ms);
  Name(3, 150ms);
  CHECK(mLimits.InForce(mNow).front().mPerSecond == 3);
  Name(8, 50ms);
  CHECK(mLimits.InForce(mNow).front().mPerSecond == 3);
  Pass(100ms);
  Name(8, 50ms);
  CHECK(mLimits.InForce(mNow).front().mPerSecond == 8);
}

TEST_CASE_METHOD(server_limits_fixture, "limit_of_a_server_that_restarts_ends")
{
  Name(5);
  mLimits.Restarted({ mServer.mId, 2 });
  CHECK(mLimits.MayBegin({ mServer.mId, 2 }, mNow));
  CHECK(mLimits.IsEmpty());
  CHECK(mLimits.InForce(mNow).empty());
}

TEST_CASE_METHOD(server_limits_fixture, "limit_at_a_lone_gateway_is_coordinated_by_itself")
{
  Name(5);
  mLimits.Missed(mServer, true, mNow);
  int begun = 0;
  for (int each = 0; each < 200; ++each) {
    Pass(20ms);
    if (MayBegin()) {
      mLimits.Begun(mServer, mNow);
      ++begun;
    } else {
      mLimits.Missed(mServer, true, mNow);
    }
  }
  CHECK(begun >= 14);
  CHECK(begun <= 20);
  CHECK(mAsks.empty());
}

TEST_CASE_METHOD(server_limits_fixture, "gateways_agree_on_the_coordinator_of_a_server_in_its_failure_domain")
{
  std::set<std::uint16_t> ports;
  for (int each = 0; each < 40; ++each) {
    server_limits_fixture one;
    one.AddPeers();
    const policy::server_start server{ backend_id("server-" + std::to_string(each)), 1 };
    one.mLimits.Responded(server, failure_domain_id("west"), 5.0, one.mNow, one.mNow);
    one.mLimits.Missed(server, true, one.mNow);
    one.Pass(1ms);
    REQUIRE(one.mAsks.size() == 1);
    CHECK(one.mAsks.front().first.mPort == 3);
    one.mLimits.Responded({ server.mId, 2 }, failure_domain_id("east"), 5.0, one.mNow, one.mNow);
    one.mLimits.Missed({ server.mId, 2 }, true, one.mNow);
    one.Pass(1ms);
    ports.insert(one.mAsks.back().first.mPort);
  }
  // The servers of a failure domain are spread over its gateways.
  CHECK(ports.contains(1));
  CHECK(ports.contains(2));
}

TEST_CASE_METHOD(server_limits_fixture, "coordinator_that_does_not_answer_is_asked_twice_and_then_the_next")
{
  NameAtOthersServer();
  REQUIRE(mAsks.size() == 1);
  const auto first = mAsks.front().first;
  Pass(200ms);
  REQUIRE(mAsks.size() == 2);
  CHECK(mAsks[1].first == first);
  CHECK_FALSE(MayBegin());
  Pass(200ms);
  const bool isNextSelf = mAsks.size() == 2;
  CHECK((isNextSelf || !(mAsks[2].first == first)));
  // A late grant of the one that was given up is not used.
  if (!isNextSelf) {
    mLimits.Granted(first, GrantOf(mAsks.front().second, 3), mNow);
    CHECK_FALSE(MayBegin());
    mLimits.Granted(mAsks[2].first, GrantOf(mAsks[2].second, 1), mNow);
    CHECK(MayBegin());
    CHECK(mPermitsArrived == 1);
  }
}

// Guards against permits that count from the repeated ask though the first one was granted.
TEST_CASE_METHOD(server_limits_fixture, "permits_granted_after_a_repeated_ask_expire_by_the_time_of_the_first_ask")
{
  NameAtOthersServer();
  const instant askedAt = mNow;
  Pass(200ms);
  REQUIRE(mAsks.size() == 2);
  mLimits.Granted(mAsks[0].first, GrantOf(mAsks[0].second, 3), mNow);
  CHECK(MayBegin());
  CHECK_FALSE(mLimits.MayBegin(mServer, askedAt + policy::kPermitTime));
}

TEST_CASE_METHOD(server_limits_fixture, "server_without_a_coordinator_that_answers_gets_nothing")
{
  mLimits.SetPeers({ Peer("a", "west", 1), Peer("b", "west", 2), Peer("c", "west", 3) });
  const failure_domain_id west("west");
  mLimits.Responded(mServer, west, 5.0, mNow, mNow);
  for (int each = 0; each < 100; ++each) {
    mLimits.Missed(mServer, true, mNow);
    Pass(20ms);
    CHECK_FALSE(MayBegin());
  }
  CHECK(mAsks.size() >= 6);
}

TEST_CASE_METHOD(server_limits_fixture, "coordinator_learns_the_limit_from_an_ask_and_its_end_from_another")
{
  permit_ask ask{ mServer, instance_id("a"), { 10, 5 }, 4.0, 0ms };
  std::uint32_t granted = 0;
  for (int each = 0; each < 20; ++each) {
    mNow += 100ms;
    granted += mLimits.Grant(ask, mEast, mNow).mPermits;
  }
  CHECK(granted >= 5);
  CHECK(granted <= 8);
  CHECK(mLimits.IsLimited(mServer));
  mNow += 100ms;
  mLimits.Grant({ mServer, instance_id("b"), {}, std::nullopt, 10ms }, mEast, mNow);
  CHECK_FALSE(mLimits.IsLimited(mServer));
  // A gateway that has not heard of the end is told of it, and one that was told later than the end is believed.
  ask.mKnownFor = 2s;
  CHECK_FALSE(mLimits.Grant(ask, mEast, mNow).mLimit);
  mNow += 1s;
  ask.mKnownFor = 100ms;
  CHECK(mLimits.Grant(ask, mEast, mNow).mLimit == 4.0);
}

TEST_CASE_METHOD(server_limits_fixture, "gateway_that_is_told_by_the_coordinator_that_a_limit_ended_sends_freely")
{
  NameAtOthersServer();
  REQUIRE(mAsks.size() == 1);
  Pass(50ms);
  permit_grant grant = GrantOf(mAsks.front().second, 0);
  grant.mLimit = std::nullopt;
  grant.mKnownFor = 1s;
  mLimits.Granted(mAsks.front().first, grant, mNow);
  CHECK_FALSE(MayBegin());
  mLimits.Missed(mServer, true, mNow);
  Pass(500ms);
  grant.mKnownFor = 10ms;
  mLimits.Granted(mAsks.back().first, grant, mNow);
  CHECK(MayBegin());
  // Requests that wait are told of a response without permits too, so that they are refused at once.
  CHECK(mPermitsArrived == 2);
}

TEST_CASE_METHOD(server_limits_fixture, "gateway_that_sees_the_end_of_a_limit_tells_the_coordinator")
{
  NameAtOthersServer();
  REQUIRE(mAsks.size() == 1);
  Pass(50ms);
  Name(std::nullopt);
  REQUIRE(mAsks.size() == 2);
  CHECK_FALSE(mAsks.back().second.mLimit);
  CHECK(mAsks.back().first == mAsks.front().first);
}

// Datagrams that name ever other servers must not fill the memory of the gateway.
TEST_CASE_METHOD(server_limits_fixture, "gateway_that_is_asked_for_permits_of_countless_servers_keeps_few_of_them")
{
  constexpr unsigned kAsked = 20'000;
  for (unsigned each = 0; each < kAsked; ++each) {
    mLimits.Grant({ { backend_id("s-" + std::to_string(each)), 1 }, instance_id("b"), {}, 5.0, 10ms }, mEast, mNow);
  }
  CHECK(mLimits.InForce(mNow).size() < kAsked / 2);
}
