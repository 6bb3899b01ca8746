#include "processes/gateway_fixture.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

/// Memory of the smallest instances on the users' platform.
constexpr std::size_t kMaxMemoryKb = 160U << 10U;
constexpr unsigned kCalls = 60;

struct flood_fixture : gateway_fixture
{
  flood_fixture() { StartGateway(); }

  gateway_response Look(const std::string& aId) const
  {
    gateway_call call;
    call.mTarget = "/look/1";
    call.mId = aId;
    return Send(call);
  }

  /// Sends kCalls lookups at once; returns how many were answered.
  std::size_t LookAtOnce(const std::string& aName) const
  {
    std::vector<unsigned> statuses(kCalls);
    std::vector<std::thread> callers;
    for (unsigned each = 0; each < kCalls; ++each) {
      callers.emplace_back([&, each] { statuses[each] = Look(aName + std::to_string(each)).mStatus; });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return kCalls - static_cast<std::size_t>(std::count(statuses.begin(), statuses.end(), 0U));
  }
};

} // namespace

// The responses of many calls, each within the limit of one response, together exceeded the memory of the gateway.
TEST_CASE_METHOD(flood_fixture, "gateway_with_many_calls_at_servers_that_send_without_end_stays_within_its_memory")
{
  SetServer("service-0", "flooding");
  SetServer("service-1", "flooding");
  CHECK(LookAtOnce("flood-") == kCalls);
  const std::size_t peak = PeakMemoryKb(*mGateways[0]);
  CHECK(peak < kMaxMemoryKb);
  CHECK_FALSE(mGateways[0]->Status());
  SetServer("service-1", "ok");
  CHECK(WaitUntil([&] { return Look("after-" + std::to_string(Records("run").size())).mStatus == 200; }));
}
