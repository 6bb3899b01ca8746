#include "gateway/store_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>

#include "base/clock.h"
#include "gateway/store_sync.h"
#include "net/http_client.h"
#include "support/store_revisions.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using chervilpulley::testing::At;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kLimit = seconds(20);
/// Longer than everything else in these tests takes.
constexpr duration kLongWait = seconds(4);

struct store_relay_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<store_cache> mCache = MakeRef<store_cache>();
  bool mMayServe = true;
  ref<store_relay> mRelay = MakeRef<store_relay>(
    mContext,
    mCache,
    [this] { return mMayServe; },
    2 * kMaxReaders);
  ref<net::http_client> mClient = net::http_client::Create(mContext);
  std::optional<unsigned> mStatus;
  std::optional<relay_response> mResponse;

  store_relay_fixture()
  {
    REQUIRE(mRelay->Start({ "127.0.0.1", 0 }));
    mCache->UpdateConfiguration({ "main", At(5), "1" }, 5, BootNow());
    mCache->Listed({ { "one", At(3), "1" } }, At(10));
  }

  void SendRequest(const cache_position& aPosition, duration aWait)
  {
    boost::asio::co_spawn(mContext, Fetch({ aPosition, aWait, mCache->Confirmation() }), boost::asio::detached);
  }

  boost::asio::awaitable<void> Fetch(relay_request aRequest)
  {
    const auto address = net::ParseEndpoint(mRelay->LocalAddress());
    auto reply = co_await mClient->Fetch(address.value(), EncodeRelayRequest(aRequest), kLimit);
    mStatus = reply ? reply.value().mStatus : 0;
    if (reply) {
      std::string fault;
      mResponse = DecodeRelayResponse(reply.value().mBody, fault);
    }
  }

  void Run(const std::function<bool()>& aCondition)
  {
    const instant end = Now() + kLimit;
    while (!aCondition() && Now() < end) {
      mContext.run_one_for(milliseconds(5));
    }
    REQUIRE(aCondition());
  }
};

} // namespace

TEST_CASE_METHOD(store_relay_fixture, "store_relay_sends_a_change_to_a_waiting_reader_at_once")
{
  const instant startedAt = Now();
  SendRequest({ 5, At(10) }, kLongWait);
  Run([this] { return mRelay->Readers() == 1; });
  mCache->Changed({ { { "two", At(12), "1" }, false } }, At(12));
  Run([this] { return mStatus.has_value(); });
  CHECK(Now() - startedAt < kLongWait / 2);
  REQUIRE(mResponse);
  CHECK(mResponse->mUpdates.mChanges.size() == 1);
  CHECK(mRelay->Readers() == 0);
}

// Guards against a reader that can't tell a relay which reads the store in time from one that no longer does.
TEST_CASE_METHOD(store_relay_fixture, "store_relay_tells_a_waiting_reader_at_once_that_the_configuration_is_confirmed")
{
  const instant startedAt = Now();
  SendRequest({ 5, At(10) }, kLongWait);
  Run([this] { return mRelay->Readers() == 1; });
  mCache->Confirmed(BootNow() + kMinConfirmationStep);
  Run([this] { return mStatus.has_value(); });
  CHECK(Now() - startedAt < kLongWait / 2);
  REQUIRE(mResponse);
  CHECK(mResponse->mUpdates.mConfirmation == mCache->Confirmation());
}

TEST_CASE_METHOD(store_relay_fixture, "store_relay_without_updates_responds_after_the_wait_and_reports_its_length")
{
  SendRequest({ 5, At(10) }, milliseconds(200));
  Run([this] { return mStatus.has_value(); });
  REQUIRE(mResponse);
  CHECK(mResponse->mUpdates.mChanges.empty());
  CHECK(mResponse->mWaited >= milliseconds(199));
  CHECK(*mResponse->mUpdates.mConfirmedAge >= mResponse->mWaited);
}

TEST_CASE_METHOD(store_relay_fixture, "store_relay_that_shuts_down_refuses_its_readers_at_once")
{
  const instant startedAt = Now();
  SendRequest({ 5, At(10) }, kLongWait);
  Run([this] { return mRelay->Readers() == 1; });
  mRelay->Leave();
  Run([this] { return mStatus.has_value(); });
  CHECK(*mStatus == 503);
  CHECK(Now() - startedAt < kLongWait / 2);
}

TEST_CASE_METHOD(store_relay_fixture, "store_relay_that_follows_another_relay_refuses_readers")
{
  mMayServe = false;
  SendRequest({}, kLongWait);
  Run([this] { return mStatus.has_value(); });
  CHECK(*mStatus == 503);
}
