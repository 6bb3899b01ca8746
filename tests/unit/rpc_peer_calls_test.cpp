#include "rpc/peer_calls.h"

#include <catch2/catch.hpp>

using namespace chervilpulley::rpc;

namespace {

constexpr std::uint64_t kBigRevision = 18446744073709551615ULL;

struct peer_calls_fixture : peer_handler
{
  pull_config_reply PullConfig(const pull_config_request& aRequest) override
  {
    mPull = aRequest;
    return { kBigRevision, { "e1", "e2" }, "s", { 9, true, "changed", { "gone" }, 1500 } };
  }
  drain_reply Drain(const drain_request& aRequest) override
  {
    mUndo = aRequest.mUndo;
    return { 3 };
  }
  report_suspect_reply ReportSuspect(const report_suspect_request& aRequest) override
  {
    mSuspect = aRequest;
    return { 2 };
  }
  get_status_reply GetStatus() override { return { 5, { { "i", "d", 4, 100 } }, "status" }; }

  pull_config_request mPull;
  report_suspect_request mSuspect;
  bool mUndo = false;
};

} // namespace

TEST_CASE_METHOD(peer_calls_fixture, "peer_calls_each_call_reaches_handler_and_returns_result")
{
  const pull_config_request pull{ kBigRevision, "i-1", "d-1", 2500, { { "i-2", "d-1", 7, 10 } }, true, 8 };
  const auto pulled = ParsePullConfigReply(HandlePeerCall(*this, MakePullConfigCall(pull)));
  REQUIRE(mPull.mAfterRevision == kBigRevision);
  REQUIRE(mPull.mInstance == "i-1");
  REQUIRE(mPull.mFailureDomain == "d-1");
  REQUIRE(mPull.mWaitMs == 2500);
  REQUIRE(mPull.mReports.at(0).mRevision == 7);
  REQUIRE(pulled.value().mRevision == kBigRevision);
  REQUIRE(pulled.value().mEntries == std::vector<std::string>{ "e1", "e2" });
  REQUIRE(pulled.value().mSnapshot == "s");
  REQUIRE(mPull.mWantsList);
  REQUIRE(mPull.mListDigest == 8);
  REQUIRE(pulled.value().mList.mDigest == 9);
  REQUIRE(pulled.value().mList.mFull);
  REQUIRE(pulled.value().mList.mChanged == "changed");
  REQUIRE(pulled.value().mList.mRemoved == std::vector<std::string>{ "gone" });
  REQUIRE(pulled.value().mList.mAgeMs == 1500);
  REQUIRE(ParseDrainReply(HandlePeerCall(*this, MakeDrainCall({ true }))).value().mRunning == 3);
  REQUIRE(mUndo);
  const auto suspect = HandlePeerCall(*this, MakeReportSuspectCall({ "d", 1, 60000 }));
  REQUIRE(ParseReportSuspectReply(suspect).value().mCrashes == 2);
  REQUIRE(mSuspect.mTtlMs == 60000);
  const auto status = ParseGetStatusReply(HandlePeerCall(*this, MakeGetStatusCall()));
  REQUIRE(status.value().mInstances.at(0).mAgeMs == 100);
  REQUIRE(status.value().mStatus == "status");
}

TEST_CASE_METHOD(peer_calls_fixture, "peer_calls_malformed_request_returns_error")
{
  const std::string call = MakePullConfigCall({ 1, "i", "d", 1, {} });
  const auto replaced = [&](const std::string& aOld, const std::string& aNew) {
    auto body = call;
    REQUIRE(body.find(aOld) != std::string::npos);
    return body.replace(body.find(aOld), aOld.size(), aNew);
  };
  const std::string bodies[] = {
    "",
    "{",
    "7",
    "[]",
    "{}",
    std::string(5000, '['),
    call.substr(0, call.size() / 2),
    replaced("PullConfig", "Unknown"),
    replaced("\"after_revision\":\"1\"", "\"after_revision\":1"),
    replaced("\"after_revision\":\"1\"", "\"after_revision\":\"-1\""),
    replaced("\"after_revision\":\"1\"", "\"after_revision\":\"\""),
    replaced("\"after_revision\":\"1\"", "\"after_revision\":\"18446744073709551616\""),
    replaced("\"after_revision\":\"1\",", ""),
    replaced("\"wait_ms\":1", "\"wait_ms\":-1"),
    replaced("\"reports\":[]", "\"reports\":[1]"),
    replaced("\"reports\":[]", "\"reports\":{}"),
  };
  for (const auto& body : bodies) {
    CAPTURE(body.substr(0, 200));
    const auto response = HandlePeerCall(*this, body);
    REQUIRE(response.find("\"error\"") != std::string::npos);
    REQUIRE(ParsePullConfigReply(response).has_error());
  }
}

TEST_CASE("peer_calls_bad_reply_returns_malformed_error")
{
  const std::string bodies[] = {
    "",
    "{",
    "[]",
    R"({"jsonrpc":"2.0","id":1,"result":7})",
    R"({"jsonrpc":"2.0","id":1,"result":{}})",
    R"({"jsonrpc":"2.0","id":1,"result":{"revision":"x","entries":[],"snapshot":""}})",
    R"({"jsonrpc":"2.0","id":1,"result":{"revision":"1","entries":[1],"snapshot":""}})",
    R"({"jsonrpc":"2.0","id":1,"result":{"revision":"1","entries":{},"snapshot":""}})",
    R"({"jsonrpc":"2.0","id":1,"result":{"revision":"1","entries":[],"snapshot":1}})",
  };
  for (const auto& body : bodies) {
    CAPTURE(body);
    REQUIRE(ParsePullConfigReply(body).error().mCode == peer_errc::Malformed);
  }
  const std::string failed = R"({"jsonrpc":"2.0","id":1,"error":{"code":-32602,"message":"no"}})";
  REQUIRE(ParseDrainReply(failed).error().mCode == peer_errc::Failed);
}
