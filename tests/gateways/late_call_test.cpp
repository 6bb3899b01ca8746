#include "processes/gateway_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "net/http_client.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 12;
constexpr int kWarmUpCalls = 8; ///< of each caller

/// One gateway with a grace period of five seconds before plain services whose calls have long tails.
struct late_call_fixture : gateway_fixture
{
  std::mutex mMutex;
  std::map<unsigned, int> mStatuses; ///< of bookings that ran after SIGTERM; 0: no response
  std::map<unsigned, int> mNotRun;   ///< of those that did not
  std::atomic<int> mWarm = 0;
  std::atomic<bool> mIsTerminated = false;

  late_call_fixture()
  {
    mGraceS = 5;
    StartGateway();
    SetServer("service-0", "uneven");
    SetServer("service-1", "uneven");
  }

  /// Books on one connection until it is closed after SIGTERM.
  void Book(int aCaller)
  {
    boost::asio::io_context context(1);
    auto client = net::http_client::Create(context);
    for (int each = 0;; ++each) {
      net::http_request request{ "POST", "/book/winch", {}, "body" };
      const std::string id = fmt::format("late{}-{}", aCaller, each);
      request.mHeaders.Set("Host", "demo.example");
      request.mHeaders.Set("X-Attempt-Id", id);
      request.mHeaders.Set("X-Credential", "key-1");
      request.mHeaders.Set("X-Deadline-Ms", "5000");
      const bool isLate = mIsTerminated;
      std::optional<net::net_result<net::http_reply>> reply;
      context.restart();
      boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          reply.emplace(co_await client->Fetch(mGateways[0]->Address("http"), request, 8s));
        },
        boost::asio::detached);
      context.run();
      const unsigned status = reply->has_value() ? reply->value().mStatus : 0;
      mWarm += each == kWarmUpCalls ? 1 : 0;
      if (isLate) {
        const bool hasRun = RunCount(id) > 0;
        const std::lock_guard lock(mMutex);
        ++(hasRun ? mStatuses : mNotRun)[status];
      }
      if (status == 0) {
        return;
      }
      std::this_thread::sleep_for(status == 200 ? 1ms : 50ms);
    }
  }
};

} // namespace

TEST_CASE_METHOD(late_call_fixture, "bookings_with_long_tails_that_come_late_in_the_grace_period_are_not_begun_and_cut")
{
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this, caller] { Book(caller); });
  }
  REQUIRE(WaitUntil([&] { return mWarm == kCallers; }));
  mGateways[0]->Terminate();
  mIsTerminated = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& [status, count] : mStatuses) {
    INFO(count << " bookings that ran got " << status);
    CHECK(status == 200);
  }
  CHECK(mStatuses[200] > kCallers);
  for (const auto& [status, count] : mNotRun) {
    INFO(count << " bookings that did not run got " << status);
    CHECK((status == 503 || status == 0));
  }
}
