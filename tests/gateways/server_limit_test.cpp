#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "gateways/limit_judge.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

/// Time of load after which a window of the rule lies behind the time that gateways have to comply.
constexpr auto kLoadTime = std::chrono::milliseconds(kLimitContactMs + kLimitWindowMs + 1500);
constexpr auto kAtOnce = 400ms;

/// What a caller got, and how long that took.
struct timed_response
{
  std::string mTarget;
  unsigned mStatus = 0;
  double mRetryAfter = 0; ///< seconds
  duration mTime{ 0 };
  bool mIsServed = false;
};

/// Gateways before servers that name limits, and callers that send at a steady rate.
struct server_limit_fixture : gateway_fixture
{
  std::mutex mMutex;
  std::vector<timed_response> mResponses;
  std::atomic<int> mSent = 0;

  explicit server_limit_fixture(std::vector<std::string> aFlags = {})
    : gateway_fixture(std::move(aFlags))
  {
  }

  void StartGateways(std::size_t aCount)
  {
    while (mGateways.size() < aCount) {
      StartGateway();
    }
    // All gateways count each other before the load begins.
    for (std::size_t each = 0; each < aCount; ++each) {
      REQUIRE(WaitUntil([&] { return Metric(each, "gateway_gateways") == static_cast<double>(aCount); }));
    }
  }

  timed_response SendTo(std::size_t aGateway, const std::string& aTarget)
  {
    const bool isStream = aTarget.starts_with("/draft/");
    gateway_call call;
    call.mMethod = aTarget.starts_with("/look/") ? "GET" : "POST";
    call.mTarget = aTarget;
    call.mId = fmt::format("gateway-{}/{}", aGateway, ++mSent);
    call.mOutputTokens = isStream ? 4 : 0;
    call.mDeadlineMs = 3000;
    const instant begun = Now();
    const auto response = Send(call, aGateway);
    timed_response timed;
    timed.mTarget = aTarget;
    timed.mStatus = response.mStatus;
    timed.mTime = Now() - begun;
    timed.mIsServed = response.mIsComplete && response.mStatus == 200;
    timed.mRetryAfter = std::atof(std::string(response.mHeaders.Get("Retry-After")).c_str());
    const std::lock_guard lock(mMutex);
    mResponses.push_back(timed);
    return timed;
  }

  /// Sends requests to each gateway, a new one each aInterval, whether earlier ones have ended or not.
  void Load(const std::string& aTarget, duration aInterval, duration aTime)
  {
    std::vector<std::thread> requests;
    const instant begun = Now();
    for (int each = 0; aInterval * each < aTime; ++each) {
      std::this_thread::sleep_until(begun + aInterval * each);
      for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
        requests.emplace_back([this, gateway, aTarget] { SendTo(gateway, aTarget); });
      }
    }
    for (std::thread& request : requests) {
      request.join();
    }
  }

  double ServedShare() const
  {
    std::size_t served = 0;
    for (const timed_response& each : mResponses) {
      served += each.mIsServed ? 1 : 0;
    }
    return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, mResponses.size()));
  }

  void CheckLimits()
  {
    for (const limit_break& each : LimitBreaks(RecordsOf(mFleet))) {
      FAIL_CHECK(each.mServer << " with a limit of " << each.mLimit << " a second got " << each.mRequests
                              << " requests in 4 s, allowed " << each.mAllowed);
    }
  }

  std::size_t RunsAt(const std::string& aServer) const
  {
    std::size_t count = 0;
    for (const auto& record : Records("run")) {
      count += record.at("server").as_string() == aServer ? 1 : 0;
    }
    return count;
  }

  /// The engines that hold the first layer.
  std::vector<std::string> FirstEngines() const
  {
    std::vector<std::string> names;
    for (const auto& server : Servers()) {
      const auto& object = server.as_object();
      if (object.at("name").as_string().starts_with("engine") && object.at("from").to_number<int>() == 0) {
        names.emplace_back(object.at("name").as_string());
      }
    }
    return names;
  }
};

} // namespace

TEST_CASE_METHOD(server_limit_fixture,
                 "plain_service_that_names_a_limit_gets_no_more_from_one_gateway_and_all_is_served")
{
  StartGateways(1);
  SetServer("service-0", "limited1");
  Load("/look/rope", 40ms, kLoadTime);
  CheckLimits();
  CHECK(ServedShare() == 1);
  CHECK(RunsAt("service-0") >= 4);
}

TEST_CASE_METHOD(server_limit_fixture, "engine_that_names_a_limit_gets_no_more_from_three_gateways_and_all_is_served")
{
  StartGateways(3);
  const auto engines = FirstEngines();
  REQUIRE(engines.size() >= 2);
  SetServer(engines.front(), "limited1.5");
  Load("/draft/1", 80ms, kLoadTime);
  CheckLimits();
  CHECK(ServedShare() == 1);
  CHECK(RunsAt(engines.front()) >= 6);
}

TEST_CASE_METHOD(server_limit_fixture, "bookings_beyond_the_limits_of_all_servers_are_refused_at_once_with_a_time")
{
  StartGateways(3);
  SetServer("service-0", "limited2");
  SetServer("service-1", "limited1");
  Load("/book/winch", 80ms, kLoadTime);
  CheckLimits();
  std::size_t served = 0;
  for (const timed_response& each : mResponses) {
    served += each.mIsServed ? 1 : 0;
    CHECK((each.mIsServed || each.mStatus == 503));
    if (each.mStatus == 503) {
      CHECK(each.mTime < kAtOnce);
      CHECK(each.mRetryAfter > 0.2);
    }
  }
  // Half of what the servers take is used at least.
  CHECK(static_cast<double>(served) >= 3 * 0.5 * std::chrono::duration<double>(kLoadTime).count());
}

TEST_CASE_METHOD(server_limit_fixture, "server_whose_limit_ends_is_used_again_by_all_gateways")
{
  StartGateways(3);
  SetServer("service-0", "limited0");
  Load("/look/rope", 50ms, 4s);
  const std::size_t before = RunsAt("service-0");
  SetServer("service-0", "ok");
  Load("/look/rope", 50ms, 7s);
  CHECK(RunsAt("service-0") > before + 20);
  for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
    CHECK(WaitUntil([&] {
      const std::string id = fmt::format("gateway-{}/{}", gateway, mSent + 1);
      SendTo(gateway, "/look/rope");
      const auto runs = Records("run", id);
      return !runs.empty() && runs.front().at("server").as_string() == "service-0";
    }));
  }
  CHECK(ServedShare() == 1);
}

TEST_CASE_METHOD(server_limit_fixture, "lookups_within_the_limit_of_the_only_server_are_all_served_by_three_gateways")
{
  StartGateways(3);
  SetServer("service-1", "gone");
  SetServer("service-0", "limited12");
  Load("/look/rope", 500ms, kLoadTime);
  CheckLimits();
  CHECK(ServedShare() == 1);
}
