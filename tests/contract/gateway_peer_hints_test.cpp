#include "gateway/peer_hints.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using udp = boost::asio::ip::udp;

namespace {

constexpr auto kLimit = std::chrono::seconds(5);

/// The hints of one gateway, and what others told it.
struct hints_end
{
  ref<fleet> mFleet;
  ref<peer_hints> mHints;
  std::vector<policy::interrupted_run> mCrashes;
  std::vector<policy::trait_block> mBlocks;
  std::vector<std::pair<std::vector<run_trait>, instant>> mCleared;
  std::vector<policy::trait_block> mOwnBlocks;
  std::function<void()> mOnHint;

  explicit hints_end(boost::asio::io_context& aContext)
  {
    mFleet = MakeRef<fleet>(failure_domain_id("here"), std::chrono::seconds(2), policy::retry_bounds{});
    auto probes = MakeRef<engine_probes>(aContext, mFleet, backend_calls::Create(aContext));
    mHints = MakeRef<peer_hints>(aContext, mFleet, probes);
    REQUIRE(mHints->Start({ "127.0.0.1", 0 }));
    mHints->OnBlocksAsked([this](instant) { return mOwnBlocks; });
    mHints->OnCrash([this](const auto& aRun) { mCrashes.push_back(aRun), mOnHint(); },
                    [this](const auto& aBlock) { mBlocks.push_back(aBlock), mOnHint(); },
                    [this](const auto& aTraits, instant aAt) { mCleared.emplace_back(aTraits, aAt), mOnHint(); });
  }

  net::endpoint Address() const { return net::ParseEndpoint(mHints->LocalAddress()).value(); }
};

struct peer_hints_fixture
{
  boost::asio::io_context mContext{ 1 };
  hints_end mLeft{ mContext };
  hints_end mRight{ mContext };

  peer_hints_fixture()
  {
    mLeft.mOnHint = mRight.mOnHint = [this] { mContext.stop(); };
    mLeft.mHints->SetPeers({ mRight.Address() });
  }

  void AwaitHint()
  {
    mContext.restart();
    mContext.run_for(kLimit);
  }

  void SendToRight(const std::string& aDatagram)
  {
    udp::socket socket(mContext, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    socket.send_to(boost::asio::buffer(aDatagram),
                   udp::endpoint(boost::asio::ip::address_v4::loopback(), mRight.Address().mPort));
  }
};

bool IsNear(instant aLeft, instant aRight)
{
  return std::chrono::abs(aLeft - aRight) < std::chrono::milliseconds(500);
}

} // namespace

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_about_a_crash_arrive_with_all_traits_the_server_and_its_time")
{
  const instant now = Now();
  const instant crashed = now - std::chrono::seconds(3);
  std::vector<run_trait> traits;
  for (std::uint64_t each = 0; each < 32; ++each) {
    traits.emplace_back(~each);
  }
  mLeft.mHints->NotifyCrash({ traits, { backend_id("server-1"), 1'791'239'590'930 }, crashed, "request" }, now);
  AwaitHint();
  REQUIRE(mRight.mCrashes.size() == 1);
  CHECK(mRight.mCrashes[0].mTraits == traits);
  CHECK(mRight.mCrashes[0].mServer == policy::server_start{ backend_id("server-1"), 1'791'239'590'930 });
  CHECK(IsNear(mRight.mCrashes[0].mAt, crashed));
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_about_a_block_and_its_end_arrive_with_their_times")
{
  const instant now = Now();
  const instant since = now - std::chrono::seconds(7);
  mLeft.mHints->NotifyBlocked({ run_trait(~0ULL), 4, std::chrono::seconds(90), since }, now);
  AwaitHint();
  REQUIRE(mRight.mBlocks.size() == 1);
  CHECK(mRight.mBlocks[0].mTrait == run_trait(~0ULL));
  CHECK(mRight.mBlocks[0].mCrashes == 4);
  CHECK(mRight.mBlocks[0].mTimeLeft == duration(std::chrono::seconds(90)));
  CHECK(IsNear(mRight.mBlocks[0].mSince, since));
  mLeft.mHints->NotifyCleared({ run_trait(5), run_trait(6) }, std::chrono::seconds(2));
  AwaitHint();
  REQUIRE(mRight.mCleared.size() == 1);
  CHECK(mRight.mCleared[0].first == std::vector<run_trait>{ run_trait(5), run_trait(6) });
  CHECK(IsNear(mRight.mCleared[0].second, Now() - std::chrono::seconds(2)));
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_of_a_gateway_that_knows_a_new_one_ask_it_for_its_blocks")
{
  mLeft.mOwnBlocks = { { run_trait(9), 3, std::chrono::seconds(60), Now() } };
  mRight.mHints->SetPeers({ mLeft.Address() });
  AwaitHint();
  REQUIRE(mRight.mBlocks.size() == 1);
  CHECK(mRight.mBlocks[0].mTrait == run_trait(9));
  // Asked again when the list is read again: the answer may have been lost.
  mRight.mHints->SetPeers({ mLeft.Address() });
  AwaitHint();
  CHECK(mRight.mBlocks.size() == 2);
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_of_earlier_releases_about_a_request_are_understood")
{
  SendToRight(R"({"crashed_by":17,"server":"s","started_at":4})");
  AwaitHint();
  REQUIRE(mRight.mCrashes.size() == 1);
  CHECK(mRight.mCrashes[0].mTraits == std::vector<run_trait>{ run_trait(17) });
  SendToRight(R"({"cleared":17})");
  AwaitHint();
  CHECK(mRight.mCleared.size() == 1);
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_that_are_malformed_change_nothing_and_later_ones_arrive")
{
  std::string many = R"({"server":"s","started_at":4,"crashed_by":[)";
  for (int each = 0; each < 200; ++each) {
    many += "1,";
  }
  for (const std::string& datagram : { std::string(),
                                       std::string("{"),
                                       std::string("[]"),
                                       std::string("{}"),
                                       std::string(R"({"blocked":-1,"for_ms":5})"),
                                       std::string(R"({"blocked":"x","for_ms":5})"),
                                       std::string(R"({"blocked":7})"),
                                       std::string(R"({"cleared":[1,"x"]})"),
                                       std::string(R"({"cleared":[]})"),
                                       std::string(R"({"crashed_by":[1],"server":5,"started_at":4})"),
                                       std::string(R"({"crashed_by":[1],"server":"s"})"),
                                       std::string(R"({"crashed_by":[-1],"server":"s","started_at":4})"),
                                       std::string(R"({"ask":"everything"})"),
                                       many + "1]}",
                                       std::string(4000, '{') }) {
    SendToRight(datagram);
  }
  SendToRight(R"({"cleared":[3]})");
  AwaitHint();
  CHECK(mRight.mCrashes.empty());
  CHECK(mRight.mBlocks.empty());
  REQUIRE(mRight.mCleared.size() == 1);
  CHECK(mRight.mCleared[0].first == std::vector<run_trait>{ run_trait(3) });
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_carry_an_ask_for_permits_to_the_coordinator_and_its_grant_back")
{
  const policy::server_start server{ backend_id("server-1"), 1'791'239'590'930 };
  server_limits& limits = mLeft.mFleet->Limits();
  limits.SetSelf(instance_id("left"));
  limits.SetPeers({ { instance_id("right"), failure_domain_id("there"), mRight.Address() } });
  limits.OnAsk([&](const net::endpoint& aTo, const permit_ask& aAsk) { mLeft.mHints->AskPermits(aTo, aAsk); });
  limits.OnPermits([&] { mContext.stop(); });
  mRight.mFleet->Limits().SetSelf(instance_id("right"));
  const instant begun = Now();
  limits.Responded(server, failure_domain_id("there"), 40.0, begun, begun);
  while (!limits.MayBegin(server, Now()) && Now() - begun < kLimit) {
    limits.Missed(server, true, Now());
    limits.TimePassed(Now());
    mContext.restart();
    mContext.run_for(std::chrono::milliseconds(30));
  }
  CHECK(limits.MayBegin(server, Now()));
  CHECK(mRight.mFleet->Limits().IsLimited(server));
}

TEST_CASE_METHOD(peer_hints_fixture, "peer_hints_with_a_malformed_ask_for_permits_are_skipped_and_the_next_is_answered")
{
  for (const char* datagram :
       { R"({"permits_wanted":1})",
         R"({"permits_wanted":-1,"per_second":1,"gateway":"g","server":"s","started_at":1,"limit":1,"ms_ago":0})",
         R"({"permits_wanted":1,"per_second":"x","gateway":"g","server":"s","started_at":1,"limit":1,"ms_ago":0})",
         R"({"permits_wanted":1,"per_second":1,"gateway":"g","server":"","started_at":1,"limit":1,"ms_ago":0})",
         R"({"permits_wanted":1,"per_second":1,"gateway":"g","server":"s","started_at":1,"limit":-5,"ms_ago":0})",
         R"({"permits_wanted":1,"per_second":1,"gateway":"g","server":"s","started_at":1,"limit":1e999,"ms_ago":0})",
         R"({"permits_wanted":1,"per_second":1,"gateway":"g","server":"s","started_at":1,"limit":1,"ms_ago":-1})" }) {
    SendToRight(datagram);
  }
  udp::socket asker(mContext, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string ask =
    R"({"permits_wanted":1,"per_second":1,"gateway":"g","server":"s","started_at":1,"limit":2.5,"ms_ago":0})";
  asker.send_to(boost::asio::buffer(ask), udp::endpoint(asker.local_endpoint().address(), mRight.Address().mPort));
  std::array<char, 1000> answer{};
  std::size_t size = 0;
  asker.async_receive(boost::asio::buffer(answer), [&](const auto&, std::size_t aSize) {
    size = aSize;
    mContext.stop();
  });
  AwaitHint();
  CHECK(std::string_view(answer.data(), size).find("\"limit\":2.5") != std::string_view::npos);
  CHECK(mRight.mFleet->Limits().IsLimited({ backend_id("s"), 1 }));
}
