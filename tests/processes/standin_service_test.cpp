#include <catch2/catch.hpp>

#include "base/random.h"
#include "net/http_client.h"
#include "processes/checker.h"
#include "processes/http_call.h"
#include "processes/process.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

struct service_fixture
{
  temporary_folder mFolder;
  process mService{ { StandinPath(), "service" }, mFolder.File("service.log") };
  net::endpoint mHttp = mService.Address("http");
};

/// A relay in front of a service.
struct relay_fixture : service_fixture
{
  process mRelay{ { StandinPath(), "relay", "--target", mHttp.Str() }, mFolder.File("relay.log") };
  net::endpoint mRelayAddress = mRelay.Address("link");

  bool IsReachable(duration aLimit) const
  {
    return net::FetchBlocking(mRelayAddress, { "GET", "/rope", {}, "" }, aLimit).has_value();
  }
};

struct service_case
{
  const char* mMethod;
  const char* mTarget;
  unsigned mStatus;
};

} // namespace

TEST_CASE_METHOD(service_fixture, "standin_service_calls_respond_as_specified")
{
  const std::vector<service_case> cases = {
    { "POST", "/reserve", 201 }, { "GET", "/rope", 200 },  { "POST", "/slow?ms=1", 200 },
    { "POST", "/fail", 500 },    { "GET", "/other", 404 }, { "GET", "/healthz", 200 },
  };
  for (const service_case& each : cases) {
    INFO(each.mTarget);
    CHECK(Call(mHttp, each.mMethod, each.mTarget, "{}").mStatus == each.mStatus);
  }
}

TEST_CASE_METHOD(service_fixture, "standin_service_records_hold_key_path_and_digest")
{
  Call(mHttp, "POST", "/reserve", "winch 3", { { "Idempotency-Key", "k1" } });
  const std::vector<service_run> runs = ServiceRuns(RecordsOf(mService));
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].mKey == "k1");
  CHECK(runs[0].mPath == "/reserve");
  CHECK(runs[0].mBodyDigest == Sha256Hex("winch 3"));
}

TEST_CASE_METHOD(service_fixture, "standin_service_crash_ends_the_process")
{
  CHECK_FALSE(net::FetchBlocking(mHttp, { "POST", "/crash", {}, "" }, kTestTimeout).has_value());
  CHECK(mService.WaitForExit().has_value());
}

TEST_CASE_METHOD(relay_fixture, "standin_relay_undisturbed_link_forwards_calls")
{
  CHECK(IsReachable(kTestTimeout));
}

TEST_CASE_METHOD(relay_fixture, "standin_relay_cut_link_refuses_calls_until_it_is_restored")
{
  Control(mRelay, { { "cut", true } });
  CHECK_FALSE(IsReachable(kTestTimeout));
  Control(mRelay, { { "cut", false } });
  CHECK(IsReachable(kTestTimeout));
}

TEST_CASE_METHOD(relay_fixture, "standin_relay_black_hole_gives_no_response_and_no_error")
{
  Control(mRelay, { { "black_hole", true } });
  const auto reply = net::FetchBlocking(mRelayAddress, { "GET", "/rope", {}, "" }, std::chrono::milliseconds(100));
  REQUIRE_FALSE(reply.has_value());
  CHECK(reply.error().mCode == net::net_errc::Timeout);
  Control(mRelay, { { "black_hole", false } });
  CHECK(IsReachable(kTestTimeout));
}

TEST_CASE_METHOD(relay_fixture, "standin_relay_slow_link_delays_each_piece")
{
  Control(mRelay, { { "slow_ms", 50 } });
  const auto start = std::chrono::steady_clock::now();
  CHECK(IsReachable(kTestTimeout));
  CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(100));
}
