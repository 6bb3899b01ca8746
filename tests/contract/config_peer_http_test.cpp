#include "config/peer_server.h"
#include "config/replicated_config_store.h"

#include <catch2/catch.hpp>

#include "contract/config_fakes.h"
#include "unit/config_changes.h"

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

namespace {

constexpr duration kTimeout = std::chrono::seconds(5);
constexpr const char* kKey = "cluster-key";

/// A configuration store behind a real HTTP server on the loopback interface.
struct peer_http_fixture : control_handler
{
  peer_http_fixture()
  {
    config_store_options options;
    options.mInstance = instance_id("a0");
    options.mFailureDomain = failure_domain_id("a");
    options.mMaxWatchWait = std::chrono::milliseconds(20);
    options.mRetryDelay = std::chrono::milliseconds(5);
    mStore = MakeConfigStore(mContext, mObjects, MakeRef<fake_peers>(mContext), options);
    auto server =
      net::http_server::Start(mContext, { "127.0.0.1", 0 }, MakePeerHandler(mStore, *this, kKey), net::http_limits{});
    REQUIRE(server.has_value());
    mServer = server.value();
  }
  ~peer_http_fixture() override
  {
    mStore->Stop();
    mServer->StopAccepting();
    mContext.run_for(std::chrono::milliseconds(50));
  }

  rpc::drain_reply Drain(const rpc::drain_request& aRequest) override { return { aRequest.mUndo ? 1U : 2U }; }
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override
  {
    return { aRequest.mCrashes + 1 };
  }
  std::string Status() override { return "status"; }

  template<class T>
  T Await(boost::asio::awaitable<T> aCall)
  {
    std::optional<T> result;
    auto run = [](boost::asio::awaitable<T> aInner, std::optional<T>& aResult) -> boost::asio::awaitable<void> {
      aResult.emplace(co_await std::move(aInner));
    };
    boost::asio::co_spawn(mContext, run(std::move(aCall), result), boost::asio::detached);
    const auto deadline = Now() + kTimeout;
    while (!result && Now() < deadline) {
      mContext.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(result.has_value());
    return std::move(*result);
  }

  void MakeReady()
  {
    mStore->Run();
    const auto deadline = Now() + kTimeout;
    while (!mStore->Ready() && Now() < deadline) {
      mContext.run_one_for(std::chrono::milliseconds(10));
    }
    REQUIRE(mStore->Ready());
  }

  ref<peer_client> Client(const std::string& aKey) { return peer_client::Create(mHttp, aKey); }

  net::http_reply Send(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
  {
    net::http_request request;
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mHeaders.Set(kClusterKeyHeader, kKey);
    request.mBody = aBody;
    return Await(mHttp->Fetch(mServer->LocalEndpoint(), request, kTimeout)).value();
  }

  boost::asio::io_context mContext;
  fake_platform mPlatform;
  fake_object_store mObjects{ mContext, mPlatform };
  ref<config_store> mStore;
  ref<net::http_server> mServer;
  ref<net::http_client> mHttp = net::http_client::Create(mContext);
};

} // namespace

TEST_CASE_METHOD(peer_http_fixture, "peer_server_each_call_gets_a_response")
{
  MakeReady();
  const auto client = Client(kKey);
  const auto peer = mServer->LocalEndpoint();
  REQUIRE(Await(client->Drain(peer, { true }, kTimeout)).value().mRunning == 1);
  REQUIRE(Await(client->ReportSuspect(peer, { "d", 4, 1 }, kTimeout)).value().mCrashes == 5);
  const auto status = Await(client->GetStatus(peer, kTimeout)).value();
  REQUIRE(status.mStatus == "status");
  REQUIRE(status.mInstances.at(0).mInstance == "a0");
  REQUIRE(Await(client->PullConfig(peer, { 0, "b0", "b", 0, {} }, kTimeout)).value().mRevision == 0);
  REQUIRE(Await(client->GetStatus(peer, kTimeout)).value().mInstances.size() == 2);
}

TEST_CASE_METHOD(peer_http_fixture, "peer_server_waiting_pull_returns_when_a_change_is_accepted")
{
  MakeReady();
  std::optional<rpc::peer_result<rpc::pull_config_reply>> pulled;
  auto pull = [](ref<peer_client> aClient,
                 net::endpoint aPeer,
                 std::optional<rpc::peer_result<rpc::pull_config_reply>>& aReply) -> boost::asio::awaitable<void> {
    rpc::pull_config_request request;
    request.mInstance = "b0";
    request.mFailureDomain = "b";
    request.mWaitMs = 4000;
    aReply.emplace(co_await aClient->PullConfig(aPeer, request, kTimeout));
  };
  boost::asio::co_spawn(mContext, pull(Client(kKey), mServer->LocalEndpoint(), pulled), boost::asio::detached);
  const auto deadline = Now() + kTimeout;
  while (mStore->Reports().size() < 2 && Now() < deadline) {
    mContext.run_one_for(std::chrono::milliseconds(10));
  }
  REQUIRE_FALSE(pulled.has_value());
  const auto started = Now();
  REQUIRE(Await(mStore->Apply(Put("c", Workspace("w")), "ann")).has_value());
  while (!pulled && Now() < deadline) {
    mContext.run_one_for(std::chrono::milliseconds(10));
  }
  REQUIRE(pulled->value().mRevision == 1);
  REQUIRE(pulled->value().mEntries.size() == 1);
  REQUIRE(Now() - started < std::chrono::seconds(3));
}

TEST_CASE_METHOD(peer_http_fixture, "peer_server_waiting_pull_returns_when_the_store_stops")
{
  MakeReady();
  std::optional<revision_number> waited;
  auto wait = [](ref<config_store> aStore, std::optional<revision_number>& aWaited) -> boost::asio::awaitable<void> {
    aWaited = co_await aStore->WaitForRevisionAbove(revision_number(), std::chrono::minutes(1));
  };
  boost::asio::co_spawn(mContext, wait(mStore, waited), boost::asio::detached);
  mContext.poll();
  REQUIRE_FALSE(waited.has_value());
  mStore->Stop();
  const auto deadline = Now() + kTimeout;
  while (!waited && Now() < deadline) {
    mContext.run_one_for(std::chrono::milliseconds(10));
  }
  REQUIRE(waited == revision_number());
}

TEST_CASE_METHOD(peer_http_fixture, "peer_server_without_loaded_configuration_refuses_pulls")
{
  const auto pulled = Await(Client(kKey)->PullConfig(mServer->LocalEndpoint(), { 0, "b0", "b", 0, {} }, kTimeout));
  REQUIRE(pulled.error().mCode == rpc::peer_errc::Failed);
  REQUIRE(Await(Client(kKey)->Drain(mServer->LocalEndpoint(), { false }, kTimeout)).has_value());
}

TEST_CASE_METHOD(peer_http_fixture, "peer_server_caller_with_wrong_key_is_refused")
{
  MakeReady();
  for (const char* key : { "", "cluster-ke", "cluster-key2", "Cluster-key" }) {
    CAPTURE(key);
    const auto reply = Await(Client(key)->Drain(mServer->LocalEndpoint(), { false }, kTimeout));
    REQUIRE(reply.error().mCode == rpc::peer_errc::Unauthorized);
  }
}

TEST_CASE_METHOD(peer_http_fixture, "peer_server_bad_request_is_refused")
{
  MakeReady();
  REQUIRE(Send("GET", "/peer", "").mStatus == 405);
  REQUIRE(Send("POST", "/other", "").mStatus == 404);
  REQUIRE(Send("POST", "/peer", "{").mBody.find("\"error\"") != std::string::npos);
  REQUIRE(Send("POST", "/peer", std::string(100, '[')).mBody.find("\"error\"") != std::string::npos);
}

TEST_CASE_METHOD(peer_http_fixture, "peer_client_of_unreachable_peer_returns_unreachable")
{
  const auto reply = Await(Client(kKey)->GetStatus({ "127.0.0.1", 1 }, kTimeout));
  REQUIRE(reply.error().mCode == rpc::peer_errc::Unreachable);
}
