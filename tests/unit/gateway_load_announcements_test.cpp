#include "gateway/load_announcements.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <set>

#include "gateway/peer_hints.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

const failure_domain_id kHere("here");
const failure_domain_id kThere("there");
const failure_domain_id kElsewhere("elsewhere");
const instant kStart(std::chrono::hours(5));

std::optional<load_announcement> Decode(std::string_view aText)
{
  const auto value = boost::json::parse(boost::json::string_view(aText.data(), aText.size()));
  return DecodeAnnouncement(value.as_object());
}

std::string Encode(const load_announcement& aAnnouncement)
{
  return boost::json::serialize(EncodeAnnouncement(aAnnouncement));
}

load_announcement Announcement(const failure_domain_id& aHome)
{
  load_announcement announcement{ aHome, {}, {}, 0, {} };
  announcement.mDomains[aHome].mInUse = 1000;
  return announcement;
}

/// The announcement of a gateway with three priorities, as many tokens as a loaded one has, and two domains.
load_announcement LoadedAnnouncement(const failure_domain_id& aHome, const failure_domain_id& aOther)
{
  load_announcement announcement{ aHome, {}, {}, 24, {} };
  announcement.mDomains[aHome].mInUse = 123'456;
  announcement.mDomains[aHome].mWanted[0] = 23'456;
  announcement.mDomains[aHome].mWanted[2] = 34'567;
  announcement.mDomains[aHome].mWanted[4] = 45'678;
  announcement.mDomains[aOther].mInUse = 12'345;
  announcement.mDomains[aOther].mWanted[2] = 3'456;
  for (std::uint32_t each = 0; each < kMaxAnnouncedWorkspaces; ++each) {
    announcement.mLargest.push_back({ 2, 4'000'000'000U + each, 10'000 });
  }
  return announcement;
}

net::endpoint Address(std::size_t aIndex)
{
  return { "10.0." + std::to_string(aIndex / 250) + "." + std::to_string(aIndex % 250), 9000 };
}

bool IsEqual(const domain_load& aLeft, const domain_load& aRight)
{
  return aLeft.mInUse == aRight.mInUse && aLeft.mWanted == aRight.mWanted;
}

/// Announcements of a gateway in kHere that records what it sends.
struct announcements_fixture
{
  load_announcements mAnnouncements{ kHere };
  std::vector<std::pair<net::endpoint, std::string>> mSent;
  std::size_t mSends = 0;
  instant mNow = kStart;

  announcements_fixture()
  {
    mAnnouncements.OnAnnounce([this](const std::vector<net::endpoint>& aTo, const std::string& aDatagram) {
      ++mSends;
      for (const net::endpoint& receiver : aTo) {
        mSent.emplace_back(receiver, aDatagram);
      }
    });
  }

  /// Announces every 20 ms, as a timer of the gateway does.
  void Run(const load_announcement& aOwn, duration aTime)
  {
    for (const instant end = mNow + aTime; mNow < end; mNow += milliseconds(20)) {
      mAnnouncements.Announce(aOwn, mNow);
    }
  }

  std::set<net::endpoint> Receivers() const
  {
    std::set<net::endpoint> receivers;
    for (const auto& [receiver, datagram] : mSent) {
      receivers.insert(receiver);
    }
    return receivers;
  }

  std::optional<double> HeardInUse() const
  {
    std::optional<double> inUse;
    mAnnouncements.ForEach(
      mNow, [&](const load_announcement& aHeard, duration) { inUse = aHeard.mDomains.at(aHeard.mHome).mInUse; });
    return inUse;
  }
};

} // namespace

/// Guards against amounts that are lost or change their rank, domain or workspace on the way.
TEST_CASE("load_announcement_of_any_content_arrives_as_it_was_sent")
{
  rc::check([] {
    const auto amount = [] { return static_cast<double>(*rc::gen::inRange<int>(0, 1'000'000)); };
    load_announcement sent = Announcement(kHere);
    for (const failure_domain_id& domain : { kHere, kThere, kElsewhere }) {
      sent.mDomains[domain].mInUse = amount() + 1;
      sent.mDomains[domain].mWanted[*rc::gen::inRange<std::size_t>(0, policy::kRankCount)] = amount();
    }
    for (std::uint32_t each = 0; each < *rc::gen::inRange<std::uint32_t>(0, 5); ++each) {
      sent.mLargest.push_back({ *rc::gen::inRange<std::size_t>(0, policy::kRankCount), each - 2, amount() + 1 });
    }
    sent.mWorkspaces = *rc::gen::inRange<std::size_t>(0, 9300);
    sent.mTick = *rc::gen::arbitrary<std::uint16_t>();
    const auto received = Decode(Encode(sent));
    RC_ASSERT(received);
    RC_ASSERT(received->mHome == sent.mHome);
    RC_ASSERT(received->mWorkspaces == sent.mWorkspaces);
    RC_ASSERT(received->mTick == sent.mTick);
    RC_ASSERT(received->mDomains.size() == sent.mDomains.size());
    for (const auto& [domain, load] : sent.mDomains) {
      RC_ASSERT(IsEqual(received->mDomains.at(domain), load));
    }
    const auto key = [](const policy::workspace_demand& aDemand) {
      return std::tuple(aDemand.mWorkspace, aDemand.mRank, aDemand.mTokens);
    };
    std::set<std::tuple<std::uint32_t, std::size_t, double>> left;
    std::set<std::tuple<std::uint32_t, std::size_t, double>> right;
    std::transform(sent.mLargest.begin(), sent.mLargest.end(), std::inserter(left, left.end()), key);
    std::transform(received->mLargest.begin(), received->mLargest.end(), std::inserter(right, right.end()), key);
    RC_ASSERT(left == right);
  });
}

/// Guards against an encoding that grows: the bytes decide how often gateways hear of each other.
TEST_CASE("load_announcement_is_encoded_without_zero_amounts_and_fractions")
{
  load_announcement sent{ kHere, {}, {}, 0, {} };
  CHECK(Encode(sent) == R"({"load":{"h":"here"}})");
  sent.mDomains[kHere].mInUse = 12.4;
  sent.mDomains[kHere].mWanted[2] = 7.6;
  sent.mDomains[kThere].mWanted[21] = 3;
  sent.mDomains[kElsewhere].mInUse = 0.2;
  sent.mLargest = { { 2, 0xffffffff, 5 }, { 0, 1, 0 } };
  sent.mWorkspaces = 9;
  sent.mTick = 65535;
  CHECK(Encode(sent) ==
        R"({"load":{"h":"here","t":65535,"d":{"":[12,2,8],"there":[0,21,3]},"w":[2,4294967295,5],"n":9}})");
}

/// Guards against amounts from a fault of the sender that no receiver would accept.
TEST_CASE("load_announcement_with_amounts_out_of_range_is_sent_with_amounts_in_range")
{
  load_announcement sent{ kHere, {}, {}, 0, {} };
  sent.mDomains[kHere].mInUse = std::nan("");
  sent.mDomains[kHere].mWanted[0] = -5;
  sent.mDomains[kHere].mWanted[1] = std::numeric_limits<double>::infinity();
  const auto received = Decode(Encode(sent));
  REQUIRE(received);
  CHECK(received->mDomains.at(kHere).mInUse == 0);
  CHECK(received->mDomains.at(kHere).mWanted[0] == 0);
  CHECK(received->mDomains.at(kHere).mWanted[1] == 1e9);
}

/// Guards against datagrams that the network fragments or the receiver truncates, and against the loss of large amounts
/// while small ones are sent.
TEST_CASE("load_announcement_that_is_too_large_loses_the_smallest_demands_of_foreign_domains")
{
  const std::size_t domains = GENERATE(20, 31, 60);
  load_announcement sent = LoadedAnnouncement(kHere, kThere);
  for (std::size_t each = 0; each < domains; ++each) {
    domain_load& load = sent.mDomains[failure_domain_id("domain-" + std::to_string(100 + each))];
    for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
      load.mWanted[rank] = static_cast<double>(1000 * (each + 1) + rank);
    }
  }
  const std::string datagram = Encode(sent);
  CHECK(datagram.size() <= kMaxAnnouncementBytes);
  CHECK(datagram.size() > kMaxAnnouncementBytes - 40);
  const auto received = Decode(datagram);
  REQUIRE(received);
  CHECK(received->mDomains.at(kHere).mWanted == sent.mDomains.at(kHere).mWanted);
  CHECK(received->mLargest.size() == kMaxAnnouncedWorkspaces);
  CHECK(received->mDomains.at(kThere).mInUse == 12'345);
  double smallestKept = 1e9;
  double largestLost = 0;
  for (const auto& [domain, load] : sent.mDomains) {
    for (std::size_t rank = 0; domain != kHere && rank < policy::kRankCount; ++rank) {
      const auto found = received->mDomains.find(domain);
      const bool isKept = found != received->mDomains.end() && found->second.mWanted[rank] > 0;
      if (load.mWanted[rank] > 0) {
        (isKept ? smallestKept : largestLost) =
          isKept ? std::min(smallestKept, load.mWanted[rank]) : std::max(largestLost, load.mWanted[rank]);
      }
    }
  }
  CHECK(largestLost <= smallestKept);
}

/// Guards against an announcement of many domains with short names, which fits but no receiver accepts.
TEST_CASE("load_announcement_names_no_more_domains_than_receivers_accept")
{
  load_announcement sent{ kHere, {}, {}, 0, {} };
  for (int each = 0; each < 50; ++each) {
    sent.mDomains[failure_domain_id(std::to_string(each))].mInUse = each;
  }
  const auto received = Decode(Encode(sent));
  REQUIRE(received);
  CHECK(received->mDomains.size() == kMaxAnnouncedDomains);
  CHECK(received->mDomains.contains(failure_domain_id("49")));
  CHECK(received->mDomains.contains(kHere));
}

/// Guards against malformed datagrams that change what this gateway admits, or make it use memory or fail.
TEST_CASE("load_announcement_that_is_malformed_is_rejected")
{
  std::string domains;
  for (std::size_t each = 0; each <= kMaxAnnouncedDomains; ++each) {
    domains += (each == 0 ? "\"" : ",\"") + std::to_string(each) + "\":[1]";
  }
  const std::string longName(kMaxAnnouncedNameBytes + 1, 'x');
  for (const std::string& text : { std::string("{}"),
                                   std::string(R"({"load":1})"),
                                   std::string(R"({"load":[]})"),
                                   std::string(R"({"load":{}})"),
                                   std::string(R"({"load":{"h":""}})"),
                                   std::string(R"({"load":{"h":1}})"),
                                   std::string(R"({"load":{"h":"x"},"lost":"y"})"),
                                   std::string(R"({"load":{"h":"x","d":[]}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":5}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,2]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":["1"]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[-1]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1.5]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1e999]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1000000001]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,22,1]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,-1,1]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,2,null]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,2,-3]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,2,1,2,1]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1,4,1,2,1]}}})"),
                                   std::string(R"({"load":{"h":"x","d":{"":[1],"x":[1]}}})"),
                                   std::string(R"({"load":{"h":"x","w":{}}})"),
                                   std::string(R"({"load":{"h":"x","w":[1,2]}})"),
                                   std::string(R"({"load":{"h":"x","w":[22,2,3]}})"),
                                   std::string(R"({"load":{"h":"x","w":[1,4294967296,3]}})"),
                                   std::string(R"({"load":{"h":"x","w":[1,2,-3]}})"),
                                   std::string(R"({"load":{"h":"x","w":[1,2,3,1,2,4]}})"),
                                   std::string(R"({"load":{"h":"x","w":[1,1,1,1,2,1,1,3,1,1,4,1,1,5,1]}})"),
                                   std::string(R"({"load":{"h":"x","n":-1}})"),
                                   std::string(R"({"load":{"h":"x","n":1000000001}})"),
                                   std::string(R"({"load":{"h":"x","n":"1"}})"),
                                   std::string(R"({"load":{"h":"x","t":65536}})"),
                                   std::string(R"({"load":{"h":"x","t":true}})"),
                                   R"({"load":{"h":"x","d":{)" + domains + "}}}",
                                   R"({"load":{"h":")" + longName + "\"}}",
                                   R"({"load":{"h":"x","d":{")" + longName + "\":[1]}}}" }) {
    CAPTURE(text);
    CHECK_FALSE(Decode(text));
  }
  // A later release may add fields.
  CHECK(Decode(R"({"load":{"h":"x","later":[1]}})"));
}

/// Guards against announcements to gateways that don't need them, and against gateways that aren't told of load on
/// their engines.
TEST_CASE_METHOD(announcements_fixture, "load_announcements_go_to_the_domains_concerned_and_to_no_others")
{
  mAnnouncements.SetPeers({ { kHere, Address(1) }, { kThere, Address(2) }, { kElsewhere, Address(3) } });
  Run(Announcement(kHere), std::chrono::seconds(1));
  CHECK(Receivers() == std::set{ Address(1) });
  mSent.clear();
  load_announcement own = Announcement(kHere);
  own.mDomains[kThere].mWanted[4] = 10;
  Run(own, std::chrono::seconds(1));
  CHECK(Receivers() == std::set{ Address(1), Address(2) });
  mSent.clear();
  load_announcement heard = Announcement(kElsewhere);
  heard.mDomains[kHere].mWanted[0] = 5;
  mAnnouncements.Received(Address(3), heard, mNow);
  Run(Announcement(kHere), std::chrono::seconds(1));
  CHECK(Receivers() == std::set{ Address(1), Address(3) });
  Run(Announcement(kHere), kAnnouncementTime);
  mSent.clear();
  Run(Announcement(kHere), std::chrono::seconds(1));
  CHECK(Receivers() == std::set{ Address(1) });
}

/// Guards against gateways that never hear of this one when there are more than kMaxPeers, and against a large own
/// domain that keeps all others uninformed.
TEST_CASE_METHOD(announcements_fixture, "load_announcements_with_more_receivers_than_allowed_reach_all_in_turn")
{
  const std::size_t inOwnDomain = GENERATE(5, 60);
  std::vector<announcement_peer> peers;
  for (std::size_t each = 0; each < 200; ++each) {
    peers.push_back({ each < inOwnDomain ? kHere : kThere, Address(each) });
  }
  mAnnouncements.SetPeers(peers);
  load_announcement own = Announcement(kHere);
  own.mDomains[kThere].mInUse = 10;
  while (mSent.size() < kMaxPeers) {
    Run(own, milliseconds(20));
  }
  // One round: those of the own domain first.
  std::set<net::endpoint> ownDomain;
  for (std::size_t each = 0; each < inOwnDomain; ++each) {
    ownDomain.insert(Address(each));
  }
  for (std::size_t each = 0; each < kMaxPeers; ++each) {
    CHECK(ownDomain.contains(mSent[each].first) == (each < std::min<std::size_t>(inOwnDomain, 30)));
  }
  CHECK(Receivers().size() == kMaxPeers);
  Run(own, std::chrono::seconds(60));
  CHECK(Receivers().size() == peers.size());
  std::map<net::endpoint, std::size_t> counts;
  for (const auto& [receiver, datagram] : mSent) {
    ++counts[receiver];
  }
  for (std::size_t each = 0; each < peers.size(); ++each) {
    const std::size_t other = counts[Address(each < inOwnDomain ? 0 : inOwnDomain)];
    CHECK(counts[Address(each)] + 1 >= other);
    CHECK(counts[Address(each)] <= other + 1);
  }
}

/// Guards against sending too often, to nobody, or before anyone has set how.
TEST_CASE_METHOD(announcements_fixture, "load_announcements_are_sent_at_the_minimum_interval_at_most")
{
  Run(Announcement(kHere), std::chrono::seconds(1));
  CHECK(mSends == 0);
  mAnnouncements.SetPeers({ { kHere, Address(1) } });
  Run(Announcement(kHere), milliseconds(2800));
  CHECK(mSends == 10);
  CHECK(mAnnouncements.SentBytes() == 10 * (mSent.front().second.size() + kDatagramHeaderBytes));
  load_announcements unconnected(kHere);
  unconnected.SetPeers({ { kHere, Address(1) } });
  unconnected.Announce(Announcement(kHere), kStart);
  CHECK(unconnected.SentBytes() == 0);
}

/// Guards against a gateway that is no longer listed and keeps its part of the capacity, or gets announcements.
TEST_CASE_METHOD(announcements_fixture, "load_announcements_of_a_gateway_that_left_the_list_are_dropped")
{
  mAnnouncements.SetPeers({ { kHere, Address(1) }, { kHere, Address(2) } });
  mAnnouncements.Received(Address(1), Announcement(kHere), mNow);
  CHECK(mAnnouncements.HeardCount(mNow) == 1);
  mAnnouncements.SetPeers({ { kHere, Address(2) } });
  CHECK(mAnnouncements.HeardCount(mNow) == 0);
  // Its last announcements may still arrive.
  mAnnouncements.Received(Address(1), Announcement(kHere), mNow);
  CHECK(mAnnouncements.HeardCount(mNow) == 0);
  Run(Announcement(kHere), std::chrono::seconds(1));
  CHECK(Receivers() == std::set{ Address(2) });
}

/// Guards against an old state that replaces a newer one when the network reorders or repeats datagrams, also where the
/// tick wraps around, and against a restarted machine, whose clock is behind, that is ignored for long.
TEST_CASE_METHOD(announcements_fixture, "load_announcements_sent_earlier_do_not_replace_a_later_one")
{
  mAnnouncements.SetPeers({ { kThere, Address(1) } });
  const auto receive = [&](std::uint16_t aTick, double aInUse) {
    load_announcement heard = Announcement(kThere);
    heard.mDomains[kThere].mInUse = aInUse;
    heard.mTick = aTick;
    mAnnouncements.Received(Address(1), heard, mNow);
  };
  receive(65533, 1);
  receive(2, 2);
  CHECK(HeardInUse() == 2.0);
  receive(65533, 3);
  receive(2, 4);
  CHECK(HeardInUse() == 2.0);
  mNow += kAnnouncementTime + milliseconds(1);
  CHECK_FALSE(HeardInUse());
  receive(65000, 5);
  CHECK(HeardInUse() == 5.0);
}
