#include "gateway/store_sync.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <functional>

#include "base/clock.h"
#include "gateway/gateway_registry.h"
#include "net/http_server.h"
#include "policy/config_propagation.h"
#include "support/odd_entries.h"
#include "support/store_revisions.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using chervilpulley::testing::At;
using std::chrono::milliseconds;

namespace {

constexpr duration kLimit = std::chrono::seconds(20);
const std::string kSpec = R"({"version":7,"routes":[],"services":[],"tenants":[]})";
constexpr policy::store_bounds kBounds{ milliseconds(1000), milliseconds(2000), milliseconds(1000) };

/// A store and a relay in one server. The store can be switched off, and the relay's response can be set.
struct store_sync_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<net::http_server> mServer;
  ref<store_client> mStoreClient;
  ref<store_sync> mSync;
  bool mStoreResponds = true;
  relay_response mRelayResponse;
  unsigned mRelayRequests = 0;
  duration mRelayDelay = milliseconds(20);
  unsigned mWatches = 0;
  duration mWatchDelay = milliseconds(100);
  ref<fleet> mFleet;
  std::string mListItems;
  std::string mEvents;              ///< sent once, as the changes up to revision 11
  std::string mEra = "1";           ///< of the store's responses; empty: they name none
  std::uint64_t mListRevision = 10; ///< of the list and of watches without events
  std::string mSpec = kSpec;        ///< of the configuration

  explicit store_sync_fixture(policy::store_bounds aBounds = kBounds, duration aReturnTime = std::chrono::minutes(10))
  {
    mServer = net::http_server::Start(
                mContext,
                { "127.0.0.1", 0 },
                [this](net::http_exchange& aExchange) { return Handle(aExchange); },
                net::http_limits())
                .value();
    const auto metrics = gateway_metrics::Create();
    mFleet = MakeRef<fleet>(failure_domain_id("here"), aReturnTime, policy::retry_bounds());
    mStoreClient = MakeRef<store_client>(mContext, mServer->LocalEndpoint(), metrics);
    mSync = MakeRef<store_sync>(mContext, mStoreClient, mFleet, metrics, aBounds);
    mSync->Start();
    REQUIRE(RunUntil([this] { return mSync->IsComplete(); }));
    mRelayResponse.mUpdates.mConfigurationVersion = 7;
    mRelayResponse.mUpdates.mMembersRevision = At(10);
    mRelayResponse.mUpdates.mConfirmedAge = duration::zero();
  }

  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange)
  {
    const std::string target = aExchange.Request().mTarget;
    if (target.starts_with("/relay")) {
      ++mRelayRequests;
      boost::asio::steady_timer timer(aExchange.Executor(), mRelayDelay);
      co_await timer.async_wait(boost::asio::use_awaitable);
      net::http_reply reply = net::JsonReply(200, EncodeRelayResponse(mRelayResponse));
      co_await aExchange.Reply(std::move(reply));
      co_return;
    }
    if (!mStoreResponds) {
      net::http_reply refusal;
      refusal.mStatus = 503;
      co_await aExchange.Reply(std::move(refusal));
      co_return;
    }
    if (target.find("watch=") != std::string::npos) {
      ++mWatches;
      boost::asio::steady_timer timer(aExchange.Executor(), mWatchDelay);
      co_await timer.async_wait(boost::asio::use_awaitable);
      const bool hasEvents = !mEvents.empty() && target.find("watch=10") != std::string::npos;
      const std::string body = hasEvents ? R"({"events":[)" + mEvents + R"(],"currentRev":11})"
                                         : R"({"events":[],"currentRev":)" + std::to_string(mListRevision) + "}";
      net::http_reply changes = net::JsonReply(200, body);
      SetEra(changes);
      co_await aExchange.Reply(std::move(changes));
      co_return;
    }
    const bool isConfiguration = target.find("main") != std::string::npos;
    net::http_reply reply =
      net::JsonReply(200,
                     isConfiguration ? R"({"metadata":{"name":"main","revision":5},"spec":)" + mSpec + "}"
                                     : R"({"items":[)" + mListItems + R"(],"truncated":false,"currentRev":)" +
                                         std::to_string(mListRevision) + "}");
    SetEra(reply);
    co_await aExchange.Reply(std::move(reply));
  }

  void SetEra(net::http_reply& aReply) const
  {
    if (!mEra.empty()) {
      aReply.mHeaders.Set("Store-Era", mEra);
    }
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const instant end = Now() + kLimit;
    while (!aCondition() && Now() < end) {
      mContext.run_one_for(milliseconds(5));
    }
    return aCondition();
  }

  void FollowRelay() { mSync->SetRelays({ { instance_id("relay"), mServer->LocalEndpoint() } }, false); }
  void AddServer(const std::string& aName) { mFleet->Members().Changed(Member(aName)); }
  bool HasServer(const std::string& aName) const { return mFleet->Members().Find(backend_id(aName)) != nullptr; }
  static policy::backend_member Member(const std::string& aName)
  {
    policy::backend_member member;
    member.mId = backend_id(aName);
    return member;
  }
  bool TrustsKeys() const { return mSync->Keys().MayTrustKeys(BootNow()); }
};

/// A relay that is partitioned from the store: it responds, but confirms nothing any more.
struct partitioned_relay_fixture : store_sync_fixture
{
  /// Keys may be used for longer than a configuration may take to be in force.
  static constexpr policy::store_bounds kLongKeys{ milliseconds(1000), milliseconds(10000), milliseconds(1000) };

  partitioned_relay_fixture()
    : store_sync_fixture(kLongKeys)
  {
    FollowRelay();
    REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  }

  /// Writes version 8 to the store; returns the time until it is in force.
  duration TimeToNextVersion(const std::function<void(duration)>& aTimePassed)
  {
    mSpec.replace(mSpec.find('7'), 1, "8");
    const instant writtenAt = Now();
    REQUIRE(RunUntil([&] {
      aTimePassed(Now() - writtenAt);
      return mFleet->Configuration()->mVersion == 8;
    }));
    return Now() - writtenAt;
  }
};

/// This gateway and a relay of its failure domain are registered in the store.
struct registered_gateway_fixture : store_sync_fixture
{
  const failure_domain_id mDomain{ "here" };
  ref<engine_probes> mProbes = MakeRef<engine_probes>(mContext, mFleet, backend_calls::Create(mContext));
  ref<peer_hints> mHints = MakeRef<peer_hints>(mContext, mFleet, mProbes);
  ref<gateway_registry> mRegistry;

  registered_gateway_fixture()
  {
    const policy::propagation_plan plan({ instance_id("one"), mDomain }, { { instance_id("two"), mDomain } });
    const instance_id relay = plan.RelaysOf(mDomain).front();
    const instance_id self(relay == instance_id("one") ? "two" : "one");
    const std::string spec = wire::EncodeGateway({ mDomain, "", mServer->LocalEndpoint().Str(), BootNow() });
    mListItems = R"({"metadata":{"name":")" + relay.Str() + R"(","revision":9},"spec":)" + spec + "}";
    mRegistry = MakeRef<gateway_registry>(mContext, self, mDomain, "", mStoreClient, mSync, mFleet, mHints);
    mRegistry->Start();
    REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  }
};

/// Lapsed entries are waited for only briefly.
struct short_return_fixture : store_sync_fixture
{
  short_return_fixture()
    : store_sync_fixture(kBounds, milliseconds(300))
  {
  }
};

} // namespace

// Guards against a follower that relies on a partitioned relay for as long as keys may be used without confirmation.
TEST_CASE_METHOD(partitioned_relay_fixture,
                 "store_sync_with_a_relay_that_confirms_nothing_applies_a_new_configuration_within_its_bound")
{
  CHECK(TimeToNextVersion([this](duration aTime) { mRelayResponse.mUpdates.mConfirmedAge = aTime; }) <
        kLongKeys.mConfiguration);
}

TEST_CASE_METHOD(partitioned_relay_fixture,
                 "store_sync_with_a_relay_that_stops_responding_applies_a_new_configuration_within_its_bound")
{
  mRelayDelay = std::chrono::hours(1);
  CHECK(TimeToNextVersion([](duration) {}) < kLongKeys.mConfiguration);
}

// Guards against a gateway that forgets its relays once it can't read their addresses from the store.
TEST_CASE_METHOD(registered_gateway_fixture, "store_sync_of_a_gateway_partitioned_from_the_store_keeps_its_relay")
{
  mStoreResponds = false;
  const instant startedAt = Now();
  CHECK(RunUntil([&] { return Now() - startedAt > milliseconds(2000); }));
  CHECK(mSync->IsFollowing());
  CHECK(TrustsKeys());
}

// Guards against removals that take effect only when a watch ends.
TEST_CASE_METHOD(short_return_fixture, "store_sync_drops_a_lapsed_server_in_time_although_its_watch_goes_on")
{
  AddServer("lapsed");
  mStoreResponds = false;
  REQUIRE(RunUntil([this] { return mSync->Cache()->IsListLost(); }));
  mWatchDelay = milliseconds(1100);
  mStoreResponds = true;
  REQUIRE(RunUntil([this] { return !mSync->Cache()->IsListLost(); }));
  const instant listedAt = Now();
  CHECK(HasServer("lapsed"));
  CHECK(RunUntil([this] { return !HasServer("lapsed"); }));
  CHECK(Now() - listedAt < milliseconds(700));
}

// Guards against a gateway that was partitioned from the store and waits for removed servers as after an outage.
TEST_CASE_METHOD(store_sync_fixture, "store_sync_after_a_partition_drops_a_removed_server_that_others_saw_removed")
{
  AddServer("removed");
  mSync->SetWitnesses({ { instance_id("witness"), mServer->LocalEndpoint() } });
  mRelayResponse.mUpdates.mStoreServedFor = std::chrono::hours(1);
  mStoreResponds = false;
  REQUIRE(RunUntil([this] { return mSync->Cache()->IsListLost(); }));
  mStoreResponds = true;
  REQUIRE(RunUntil([this] { return !mSync->Cache()->IsListLost(); }));
  const instant listedAt = Now();
  CHECK(RunUntil([this] { return !HasServer("removed"); }));
  CHECK(Now() - listedAt < kBounds.mDrain);
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_after_an_outage_that_others_saw_too_waits_for_lapsed_servers")
{
  AddServer("lapsed");
  mSync->SetWitnesses({ { instance_id("witness"), mServer->LocalEndpoint() } });
  mRelayResponse.mUpdates.mStoreServedFor = milliseconds(50);
  mStoreResponds = false;
  REQUIRE(RunUntil([this] { return mSync->Cache()->IsListLost(); }));
  mStoreResponds = true;
  REQUIRE(RunUntil([this] { return mRelayRequests > 0; }));
  const instant askedAt = Now();
  CHECK(RunUntil([&] { return Now() - askedAt > milliseconds(500); }));
  CHECK(HasServer("lapsed"));
}

// Guards against a claim that the store served, from a gateway that has not noticed that it came back from a copy.
TEST_CASE_METHOD(store_sync_fixture, "store_sync_after_a_restore_ignores_a_witness_of_the_earlier_era")
{
  AddServer("lapsed");
  mSync->SetWitnesses({ { instance_id("witness"), mServer->LocalEndpoint() } });
  mRelayResponse.mUpdates.mStoreServedFor = std::chrono::hours(1);
  mEra = "2";
  mListRevision = 12;
  REQUIRE(RunUntil([this] { return mRelayRequests > 0; }));
  const instant askedAt = Now();
  CHECK(RunUntil([&] { return Now() - askedAt > milliseconds(500); }));
  CHECK(HasServer("lapsed"));
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_with_a_current_relay_trusts_keys_without_the_store")
{
  FollowRelay();
  REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  mStoreResponds = false;
  const instant startedAt = Now();
  CHECK(RunUntil([&] { return Now() - startedAt > milliseconds(2500); }));
  CHECK(mSync->IsFollowing());
  CHECK(TrustsKeys());
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_with_a_relay_whose_data_is_stale_leaves_it_and_trusts_no_keys")
{
  FollowRelay();
  REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  mStoreResponds = false;
  mRelayResponse.mUpdates.mConfirmedAge = std::chrono::hours(1);
  CHECK(RunUntil([this] { return !TrustsKeys(); }));
  CHECK_FALSE(mSync->IsFollowing());
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_ignores_the_age_of_a_configuration_that_it_does_not_have")
{
  mRelayResponse.mUpdates.mConfigurationVersion = 6;
  FollowRelay();
  mStoreResponds = false;
  CHECK(RunUntil([this] { return !TrustsKeys(); }));
  CHECK(mRelayRequests > 0);
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_with_a_relay_that_lost_its_list_reads_the_store")
{
  mRelayResponse.mUpdates.mListIsLost = true;
  FollowRelay();
  REQUIRE(RunUntil([this] { return mRelayRequests > 0; }));
  const instant startedAt = Now();
  CHECK(RunUntil([&] { return Now() - startedAt > milliseconds(300); }));
  CHECK_FALSE(mSync->IsFollowing());
  CHECK(TrustsKeys());
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_applies_changes_of_the_list_from_a_relay")
{
  FollowRelay();
  REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  mRelayResponse.mUpdates.mMembersRevision = At(12);
  mRelayResponse.mUpdates.mChanges = {
    { { "one", At(12), R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","born":12})" }, false }
  };
  CHECK(RunUntil([this] { return mSync->Cache()->Position().mMembers == At(12); }));
  // A response with an older revision changes nothing.
  mRelayResponse.mUpdates.mMembersRevision = At(11);
  mRelayResponse.mUpdates.mChanges.front().mIsDeleted = true;
  const unsigned requestsBefore = mRelayRequests;
  CHECK(RunUntil([&] { return mRelayRequests > requestsBefore + 2; }));
  CHECK(mSync->Cache()->Position().mMembers == At(12));
  CHECK(mSync->Cache()->UpdatesSince({ 7, {} }, BootNow()).mChanges.size() == 1);
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_with_unreadable_entries_relays_responses_that_readers_can_decode")
{
  std::size_t count = 0;
  for (const testing::odd_entry& odd : testing::UnreadableEntries()) {
    mEvents += std::string(mEvents.empty() ? "" : ",") + R"({"deleted":false,"object":{"metadata":{"name":"odd )" +
               std::to_string(count++) + R"(","revision":11},"spec":)" + odd.mSpec + "}}";
  }
  mEvents += R"(,{"deleted":false,"object":{"metadata":{"name":"sound","revision":11},"spec":)" +
             testing::SpecWith("extra", "1") + "}}";
  REQUIRE(RunUntil([this] { return mSync->Cache()->Position().mMembers == At(11); }));
  // A reader that needs the changes, and one that needs the whole list.
  for (const std::uint64_t members : { 10U, 0U }) {
    std::string fault;
    const relay_response sent{ mSync->Cache()->UpdatesSince({ 7, At(members) }, BootNow()), duration::zero() };
    const auto received = DecodeRelayResponse(EncodeRelayResponse(sent), fault);
    INFO(fault);
    REQUIRE(received);
    CHECK(received->mUpdates.mChanges.size() == count + 1);
    std::size_t usable = 0;
    for (const wire::record_change& change : received->mUpdates.mChanges) {
      usable += wire::DecodeMember(change.mObject.mName, change.mObject.mSpec, fault) ? 1 : 0;
    }
    CHECK(usable == 1);
  }
}

TEST_CASE_METHOD(store_sync_fixture,
                 "store_sync_that_lists_again_after_an_outage_drops_a_server_whose_entry_became_odd")
{
  AddServer("one");
  AddServer("lapsed");
  mStoreResponds = false;
  REQUIRE(RunUntil([this] { return mSync->Cache()->IsListLost(); }));
  mListItems = R"({"metadata":{"name":"one","revision":9},"spec":)" + testing::SpecWith("born", "1e9999999999") + "}";
  mStoreResponds = true;
  REQUIRE(RunUntil([this] { return !mSync->Cache()->IsListLost(); }));
  CHECK_FALSE(HasServer("one"));
  CHECK(HasServer("lapsed"));
}

TEST_CASE_METHOD(store_sync_fixture,
                 "store_sync_whose_watch_goes_on_at_a_revision_that_a_later_era_gave_out_again_lists_again")
{
  REQUIRE(mSync->Cache()->Position().mMembers == At(10));
  // The store has passed the revision of the watch again, and what it wrote before is in the list alone.
  mListItems = R"({"metadata":{"name":"new","revision":9},"spec":)" + testing::SpecWith("extra", "1") + "}";
  mListRevision = 12;
  mEra = "2";
  CHECK(RunUntil([this] { return mFleet->Members().Find(backend_id("new")) != nullptr; }));
  CHECK(mSync->Cache()->Position().mMembers == At(12, 2));
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_reads_a_list_at_a_lower_revision_of_a_later_era")
{
  mListItems = R"({"metadata":{"name":"new","revision":3},"spec":)" + testing::SpecWith("extra", "1") + "}";
  mListRevision = 4;
  mEra = "2";
  CHECK(RunUntil([this] { return mSync->Cache()->Position().mMembers == At(4, 2); }));
  CHECK(mFleet->Members().Find(backend_id("new")) != nullptr);
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_ignores_responses_of_an_earlier_era_and_those_without_one")
{
  mEra = "3";
  REQUIRE(RunUntil([this] { return mSync->Cache()->Position().mMembers == At(10, 3); }));
  mListRevision = 20;
  for (const char* era : { "2", "" }) {
    mEra = era;
    // Nothing is confirmed by them either.
    CHECK(RunUntil([this] { return !TrustsKeys(); }));
    CHECK(mSync->Cache()->Position().mMembers == At(10, 3));
    mEra = "3";
    mListRevision = 10;
    CHECK(RunUntil([this] { return TrustsKeys(); }));
    mListRevision = 20;
  }
}

TEST_CASE_METHOD(store_sync_fixture, "store_sync_with_a_relay_that_has_not_heard_of_the_later_era_leaves_it")
{
  FollowRelay();
  REQUIRE(RunUntil([this] { return mSync->IsFollowing(); }));
  mRelayResponse.mUpdates.mMembersRevision = At(4, 2);
  mRelayResponse.mUpdates.mIsWhole = true;
  REQUIRE(RunUntil([this] { return mSync->Cache()->Position().mMembers == At(4, 2); }));
  CHECK(mSync->IsFollowing());
  mEra = "2";
  mRelayResponse.mUpdates.mMembersRevision = At(11, 1);
  CHECK(RunUntil([this] { return !mSync->IsFollowing(); }));
  CHECK(mSync->Cache()->Position().mMembers >= At(4, 2));
}

TEST_CASE_METHOD(store_sync_fixture,
                 "store_sync_whose_sources_respond_at_once_with_nothing_new_asks_them_at_bounded_rates")
{
  mWatchDelay = duration::zero();
  const auto askedIn = [&](const unsigned& aCount, duration aTime) {
    const unsigned before = aCount;
    const instant end = Now() + aTime;
    CHECK(RunUntil([&] { return Now() >= end; }));
    return aCount - before;
  };
  CHECK(askedIn(mWatches, milliseconds(1000)) <= 60);
  // A relay with a configuration that is older than the one in force has news at each query.
  mRelayDelay = duration::zero();
  wire::record older{ "main", At(3), kSpec };
  older.mSpec.replace(older.mSpec.find('7'), 1, "6");
  mRelayResponse.mUpdates.mConfiguration = older;
  mRelayResponse.mUpdates.mConfigurationVersion = 6;
  FollowRelay();
  REQUIRE(RunUntil([this] { return mRelayRequests > 0; }));
  CHECK(askedIn(mRelayRequests, milliseconds(1000)) <= 60);
}
