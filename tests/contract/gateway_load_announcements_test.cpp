#include "gateway/load_announcements.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "base/clock.h"
#include "gateway/peer_hints.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using udp = boost::asio::ip::udp;

namespace {

constexpr auto kLimit = std::chrono::seconds(5);
const failure_domain_id kHere("here");
const failure_domain_id kThere("there");

/// A gateway with its socket for hints.
struct gateway_end
{
  ref<fleet> mFleet;
  ref<peer_hints> mHints;

  gateway_end(boost::asio::io_context& aContext, const failure_domain_id& aDomain)
  {
    mFleet = MakeRef<fleet>(aDomain, std::chrono::seconds(2), policy::retry_bounds{});
    mHints =
      MakeRef<peer_hints>(aContext, mFleet, MakeRef<engine_probes>(aContext, mFleet, backend_calls::Create(aContext)));
    REQUIRE(mHints->Start({ "127.0.0.1", 0 }));
    Announcements().OnAnnounce([this](const std::vector<net::endpoint>& aTo, const std::string& aDatagram) {
      mHints->SendAnnouncement(aTo, aDatagram);
    });
  }

  load_announcements& Announcements() const { return mFleet->Announcements(); }
  net::endpoint Address() const { return net::ParseEndpoint(mHints->LocalAddress()).value(); }
};

load_announcement Announcement(const failure_domain_id& aHome, double aInUse)
{
  load_announcement announcement{ aHome, {}, {}, 3, {} };
  announcement.mDomains[aHome].mInUse = aInUse;
  announcement.mDomains[aHome].mWanted[2] = 50;
  announcement.mLargest = { { 2, 77, 30 } };
  return announcement;
}

std::string Datagram(double aInUse, std::optional<std::uint16_t> aTick = {})
{
  load_announcement announcement = Announcement(kThere, aInUse);
  announcement.mTick = aTick;
  return boost::json::serialize(EncodeAnnouncement(announcement));
}

/// The gateway under test in kHere, a second one in kThere, and the plain socket of a third one in kThere.
struct announcements_fixture
{
  boost::asio::io_context mContext{ 1 };
  gateway_end mHere{ mContext, kHere };
  gateway_end mThere{ mContext, kThere };
  udp::socket mPlain{ mContext, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
  udp::socket mStranger{ mContext, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };

  announcements_fixture()
  {
    const net::endpoint plain{ "127.0.0.1", mPlain.local_endpoint().port() };
    mHere.Announcements().SetPeers({ { kThere, mThere.Address() }, { kThere, plain } });
    mThere.Announcements().SetPeers({ { kHere, mHere.Address() } });
  }

  void SendHere(udp::socket& aFrom, const std::string& aDatagram)
  {
    aFrom.send_to(boost::asio::buffer(aDatagram),
                  udp::endpoint(boost::asio::ip::address_v4::loopback(), mHere.Address().mPort));
  }

  /// Handles datagrams until the condition holds, at most for kLimit.
  template<class Condition>
  bool Await(Condition aCondition)
  {
    const instant limit = Now() + kLimit;
    while (!aCondition() && Now() < limit) {
      mContext.restart();
      mContext.run_one_for(std::chrono::milliseconds(50));
    }
    return aCondition();
  }

  /// Tokens in use as announced, of all gateways that were heard.
  std::vector<double> HeardInUse(instant aNow) const
  {
    std::vector<double> inUse;
    mHere.Announcements().ForEach(aNow, [&](const load_announcement& aHeard, duration) {
      inUse.push_back(aHeard.mDomains.at(aHeard.mHome).mInUse);
    });
    return inUse;
  }

  /// Waits until the datagrams sent so far are handled. Those of one socket arrive in order on loopback, so one that is
  /// accepted shows that all before it were handled.
  bool AwaitHeard(double aInUse)
  {
    return Await([&] { return HeardInUse(Now()) == std::vector<double>{ aInUse }; });
  }

  /// Announces from kThere what reaches mHere, which is in a domain that it uses.
  void AnnounceThere(double aInUse, instant aNow)
  {
    load_announcement own = Announcement(kThere, aInUse);
    own.mDomains[kHere].mInUse = 1;
    mThere.Announcements().Announce(own, aNow);
  }
};

/// What one gateway sends in a fleet, counted without a network.
struct announced_traffic
{
  std::size_t mReceivers = 0;
  std::size_t mDatagramBytes = 0; ///< without headers
  double mDatagramsPerSecond = 0;
  double mBytesPerSecond = 0;
  duration mLongestGap{ 0 }; ///< longest time between two datagrams to the same receiver
};

/// Counts for 20 s what a gateway of the first domain sends that has load in the first aUsed domains.
announced_traffic CountTraffic(std::size_t aGateways, std::size_t aDomains, std::size_t aUsed)
{
  constexpr int kSeconds = 20;
  const auto domain = [&](std::size_t aIndex) {
    return failure_domain_id("domain-" + std::to_string(aIndex % aDomains));
  };
  std::vector<announcement_peer> peers;
  for (std::size_t each = 1; each < aGateways; ++each) {
    peers.push_back({ domain(each), { "10.0.0.1", static_cast<std::uint16_t>(1000 + each) } });
  }
  load_announcements announcements(domain(0));
  announcements.SetPeers(peers);
  const instant start(std::chrono::hours(3));
  instant now = start;
  announced_traffic traffic;
  std::size_t datagrams = 0;
  std::map<net::endpoint, instant> lastAt;
  announcements.OnAnnounce([&](const std::vector<net::endpoint>& aTo, const std::string& aDatagram) {
    for (const net::endpoint& receiver : aTo) {
      instant& last = lastAt.try_emplace(receiver, start).first->second;
      traffic.mLongestGap = std::max(traffic.mLongestGap, now - last);
      last = now;
    }
    datagrams += aTo.size();
    traffic.mDatagramBytes = aDatagram.size();
  });
  load_announcement own{ domain(0), {}, {}, 24, {} };
  for (std::size_t used = 0; used < aUsed; ++used) {
    domain_load& load = own.mDomains[domain(used)];
    load.mInUse = used == 0 ? 123'456 : 12'345;
    load.mWanted[0] = load.mWanted[2] = load.mWanted[4] = used == 0 ? 23'456 : 3'456;
  }
  for (std::uint32_t each = 0; each < kMaxAnnouncedWorkspaces; ++each) {
    own.mLargest.push_back({ 2, 4'000'000'000U + each, 10'000 });
  }
  for (; now < start + std::chrono::seconds(kSeconds); now += std::chrono::milliseconds(20)) {
    announcements.Announce(own, now);
    const double seconds = std::chrono::duration<double>(now - start).count();
    // A send may take the bytes of up to twice the shortest interval in advance.
    const double burst =
      2 * kMaxAnnouncementBytesPerSecond * std::chrono::duration<double>(kMinAnnouncementInterval).count();
    CHECK(static_cast<double>(announcements.SentBytes()) <= kMaxAnnouncementBytesPerSecond * seconds + burst);
  }
  traffic.mReceivers = lastAt.size();
  traffic.mDatagramsPerSecond = static_cast<double>(datagrams) / kSeconds;
  traffic.mBytesPerSecond = static_cast<double>(announcements.SentBytes()) / kSeconds;
  INFO("receivers " << traffic.mReceivers << ", bytes " << traffic.mDatagramBytes << ", datagrams/s "
                    << traffic.mDatagramsPerSecond << ", bytes/s " << traffic.mBytesPerSecond << ", longest gap us "
                    << traffic.mLongestGap.count());
  CHECK(traffic.mBytesPerSecond < kMaxAnnouncementBytesPerSecond);
  CHECK(traffic.mLongestGap < kAnnouncementTime);
  return traffic;
}

} // namespace

/// Guards against fields that are lost between two gateways, and an announcement that is taken for another kind of
/// hint.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_sent_over_udp_arrives_whole")
{
  AnnounceThere(1234, Now());
  REQUIRE(AwaitHeard(1234));
  mHere.Announcements().ForEach(Now(), [](const load_announcement& aHeard, duration aAge) {
    CHECK(aHeard.mHome == kThere);
    CHECK(aHeard.mDomains.contains(kThere));
    CHECK(aHeard.mDomains.at(kThere).mWanted[2] == 50);
    CHECK(aHeard.mDomains.at(kHere).mInUse == 1);
    REQUIRE(aHeard.mLargest.size() == 1);
    CHECK(aHeard.mLargest[0].mWorkspace == 77);
    CHECK(aHeard.mWorkspaces == 3);
    CHECK(aAge < kAnnouncementTime);
  });
}

/// Guards against a receiver that needs every datagram: the next one must replace a lost one.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_that_is_lost_is_replaced_by_the_next")
{
  const instant start = Now();
  mThere.Announcements().OnAnnounce([](const auto&, const auto&) {}); // loses the first one
  AnnounceThere(1, start);
  mThere.Announcements().OnAnnounce(
    [&](const auto& aTo, const auto& aDatagram) { mThere.mHints->SendAnnouncement(aTo, aDatagram); });
  AnnounceThere(2, start + kMinAnnouncementInterval);
  CHECK(AwaitHeard(2));
}

/// Guards against an old state that replaces a newer one when datagrams are late, reordered or repeated.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_that_arrives_after_a_later_one_is_ignored")
{
  SendHere(mPlain, Datagram(10, 65'530));
  SendHere(mPlain, Datagram(30, 4));
  REQUIRE(AwaitHeard(30));
  SendHere(mPlain, Datagram(20, 1));
  SendHere(mPlain, Datagram(25, 4));
  AnnounceThere(40, Now()); // another gateway's, to see that both were handled
  REQUIRE(Await([&] { return mHere.Announcements().HeardCount(Now()) == 2; }));
  // The order between sockets is that of arrival, so the next one of the same socket must follow the ignored ones.
  SendHere(mPlain, Datagram(50, 9));
  REQUIRE(Await([&] {
    const auto heard = HeardInUse(Now());
    CHECK(std::count(heard.begin(), heard.end(), 20) + std::count(heard.begin(), heard.end(), 25) == 0);
    return std::count(heard.begin(), heard.end(), 50) == 1;
  }));
}

/// Guards against malformed datagrams that are accepted in part, or stop the socket.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_that_is_malformed_changes_nothing_and_the_next_arrives")
{
  const std::string whole = Datagram(11);
  for (std::size_t size = 0; size < whole.size(); size += 3) {
    SendHere(mPlain, whole.substr(0, size));
  }
  SendHere(mPlain, R"({"load":{"h":"there","d":{"":[11],"x":")" + std::string(1500, 'y') + "\"}}}"); // oversized
  // Valid, but longer than the receiver's buffer.
  SendHere(mPlain, R"({"load":{"h":"there","d":{"":[11]},"later":")" + std::string(1500, 'y') + "\"}}");
  SendHere(mPlain, R"({"load":{"h":"there","d":{"":["11"]}}})");
  SendHere(mPlain, R"({"load":{"h":"there","d":{"":[-11]}}})");
  SendHere(mPlain, R"({"load":{"h":["there"],"d":{"":[11]}}})");
  SendHere(mPlain, R"({"load":[11]})");
  SendHere(mPlain, R"({"load":{"h":"there","d":{"":[11]}},"lost":5})");
  SendHere(mPlain, Datagram(12));
  REQUIRE(Await([&] {
    const auto heard = HeardInUse(Now());
    CHECK(std::count(heard.begin(), heard.end(), 11) == 0);
    return !heard.empty();
  }));
  CHECK(HeardInUse(Now()) == std::vector<double>{ 12 });
}

/// Guards against load that someone claims who is not among the gateways.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_from_an_address_that_is_no_peer_is_ignored")
{
  SendHere(mStranger, Datagram(99));
  SendHere(mPlain, Datagram(5));
  REQUIRE(AwaitHeard(5));
  // The stranger's datagram was sent first to the same socket, so it was handled first.
  CHECK(mHere.Announcements().HeardCount(Now()) == 1);
}

/// Guards against a restarted gateway that counts twice, or is ignored because its first announcements look old.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_of_a_restarted_peer_replaces_its_former_one")
{
  AnnounceThere(1000, Now());
  REQUIRE(AwaitHeard(1000));
  // Another process on the same machine, and so with the same steady clock, at the same address.
  load_announcements restarted(kThere);
  restarted.SetPeers({ { kHere, mHere.Address() } });
  restarted.OnAnnounce(
    [&](const auto& aTo, const auto& aDatagram) { mThere.mHints->SendAnnouncement(aTo, aDatagram); });
  load_announcement own = Announcement(kThere, 7);
  own.mDomains[kHere].mInUse = 1;
  restarted.Announce(own, Now() + kMinAnnouncementInterval);
  CHECK(AwaitHeard(7));
}

/// Guards against load of a gateway that crashed or was cut off and keeps its part of the capacity.
TEST_CASE_METHOD(announcements_fixture, "load_announcement_of_a_peer_that_falls_silent_expires")
{
  AnnounceThere(1000, Now());
  REQUIRE(AwaitHeard(1000));
  duration age{};
  const instant heardAt = Now();
  mHere.Announcements().ForEach(heardAt, [&](const auto&, duration aAge) { age = aAge; });
  const instant receivedAt = heardAt - age;
  CHECK(mHere.Announcements().HeardCount(receivedAt + kAnnouncementTime) == 1);
  CHECK(mHere.Announcements().HeardCount(receivedAt + kAnnouncementTime + duration(1)) == 0);
  CHECK(HeardInUse(receivedAt + kAnnouncementTime + duration(1)).empty());
  // It returns: heard again at once.
  AnnounceThere(8, Now() + kMinAnnouncementInterval);
  CHECK(AwaitHeard(8));
}

/// Guards against control traffic that grows with the fleet, and against an interval so long that announcements expire
/// before the next one: a gateway of 390 in 20 domains that uses engines of a second domain.
TEST_CASE("load_announcements_of_390_gateways_in_20_domains_stay_under_the_limit_of_bytes")
{
  const announced_traffic traffic = CountTraffic(390, 20, 2);
  // All others of the own domain and all of the second one.
  CHECK(traffic.mReceivers == 19 + 20);
}

/// Guards against announcements of a small fleet that expire before the next one, where all use engines of all domains.
TEST_CASE("load_announcements_of_25_gateways_in_3_domains_reach_all_before_they_expire")
{
  CHECK(CountTraffic(25, 3, 3).mReceivers == 24);
}
