#include "processes/gateway_fixture.h"
#include "processes/raw_caller.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr unsigned kCrowd = 60;
constexpr std::size_t kMaxPeakKb = 90U << 10U;
constexpr std::size_t kMaxBodyBytes = 4U << 20U;
constexpr std::size_t kMaxDescriptors = 400;
/// Connections that one caller opens, more than kMaxDescriptors.
constexpr unsigned kIdleConnections = 500;
/// Maximum that a caller sends when the gateway lets it; far over every limit.
constexpr std::size_t kEndlessBytes = 16U << 20U;
constexpr std::size_t kPieceBytes = 32U << 10U;
/// Longest time that a caller waits for the end of its connection.
constexpr duration kHold = std::chrono::seconds(8);

std::size_t OpenDescriptors(const process& aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(aProcess.Pid()) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string Head(const std::string& aHeaders)
{
  return "POST /book/1 HTTP/1.1\r\nHost: demo.example\r\nX-Attempt-Id: hostile\r\nX-Deadline-Ms: 8000\r\n"
         "X-Credential: key-1\r\n" +
         aHeaders;
}

/// Sends aPiece until the connection ends or kEndlessBytes have been sent, then waits for the end of the connection.
void SendWithoutEnd(raw_caller& aCaller, const std::string& aHead, const std::string& aPiece)
{
  bool isOpen = aCaller.Send(aHead);
  for (std::size_t sent = 0; isOpen && sent < kEndlessBytes; sent += aPiece.size()) {
    isOpen = aCaller.Send(aPiece);
  }
  aCaller.ReadToEnd(kHold);
}

std::string Lines(const std::string& aLine)
{
  std::string lines;
  while (lines.size() < kPieceBytes) {
    lines += aLine;
  }
  return lines;
}

/// A gateway with the memory of the smallest machines of the users' platform and few descriptors.
struct hostile_callers_fixture : gateway_fixture
{
  std::size_t mMostDescriptors = 0;

  hostile_callers_fixture()
    : gateway_fixture({ "--max_body_bytes=" + std::to_string(kMaxBodyBytes) })
  {
    mMoreSettings += "memory_mb = 112\nmax_descriptors = " + std::to_string(kMaxDescriptors) + "\n";
    StartGateway();
  }

  /// Runs aCall on kCrowd connections at once.
  void RunCrowd(const std::function<void(raw_caller&)>& aCall)
  {
    const net::endpoint address = mGateways[0]->Address("http");
    std::atomic<unsigned> left{ kCrowd };
    std::vector<std::thread> callers;
    for (unsigned each = 0; each < kCrowd; ++each) {
      callers.emplace_back([&] {
        try {
          raw_caller caller(address);
          aCall(caller);
        } catch (const boost::system::system_error&) {
          // A gateway that has terminated refuses connections; Check() finds that.
        }
        --left;
      });
    }
    WaitUntil([&] {
      Observe();
      return left == 0;
    });
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  /// Opens more connections than the gateway has descriptors, and sends nothing.
  std::vector<std::unique_ptr<raw_caller>> OpenIdle(std::string_view aPurpose)
  {
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = std::max<rlim_t>(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, 8 * kIdleConnections));
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (unsigned each = 0; each < kIdleConnections; ++each) {
      callers.push_back(std::make_unique<raw_caller>(mGateways[0]->Address(aPurpose)));
      Observe();
    }
    return callers;
  }

  void Observe() { mMostDescriptors = std::max(mMostDescriptors, OpenDescriptors(*mGateways[0])); }

  gateway_response Look(const std::string& aId) const
  {
    gateway_call call;
    call.mTarget = "/look/1";
    call.mId = aId;
    return Send(call);
  }

  void Check()
  {
    Observe();
    const std::size_t peakKb = PeakMemoryKb(*mGateways[0]);
    WARN("peak memory " << peakKb << " KB, descriptors " << mMostDescriptors);
    CHECK_FALSE(mGateways[0]->Status());
    CHECK(peakKb < kMaxPeakKb);
    CHECK(mMostDescriptors < kMaxDescriptors);
    CHECK(Look("after").mStatus == 200);
  }
};

} // namespace

// The bodies of many callers, each under the limit of one body for a time, together exceeded the memory of the gateway.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_whose_callers_send_chunked_bodies_without_end_stays_within_memory")
{
  const std::string chunk = "8000\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
  RunCrowd([&](raw_caller& aCaller) { SendWithoutEnd(aCaller, Head("Transfer-Encoding: chunked\r\n\r\n"), chunk); });
  Check();
}

// Requests inside the limits that never end held the gateway's memory until they timed out.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_whose_callers_hold_back_the_last_byte_of_bodies_stays_within_memory")
{
  const std::string body(kMaxBodyBytes - 1, 'x');
  RunCrowd([&](raw_caller& aCaller) {
    aCaller.Send(Head("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n"));
    aCaller.Send(body);
    aCaller.ReadToEnd(kHold);
  });
  Check();
}

// The parser's limit on heads does not cover trailers.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_whose_callers_send_trailers_without_end_stays_within_memory")
{
  const std::string trailers = Lines("X-Trailer: " + std::string(100, 'x') + "\r\n");
  RunCrowd([&](raw_caller& aCaller) {
    SendWithoutEnd(aCaller, Head("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"), trailers);
  });
  Check();
}

// Memory must not be reserved for a length that is only announced, nor kept for bytes over the limit.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_whose_callers_send_bodies_far_over_the_limit_stays_within_memory")
{
  const std::string piece(kPieceBytes, 'x');
  RunCrowd([&](raw_caller& aCaller) { aCaller.Send(Head("Content-Length: 5000000000\r\n\r\n")); });
  RunCrowd([&](raw_caller& aCaller) { SendWithoutEnd(aCaller, Head("Content-Length: 5000000000\r\n\r\n"), piece); });
  Check();
}

// A head that does not end must not be buffered over the limit of heads.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_whose_callers_send_heads_without_end_stays_within_memory")
{
  const std::string lines = Lines("X-Filler: " + std::string(100, 'x') + "\r\n");
  RunCrowd([&](raw_caller& aCaller) { SendWithoutEnd(aCaller, Head(""), lines); });
  Check();
}

// Requests inside the limits that wait for servers which do not respond are kept in memory, once more than they
// arrived.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_with_many_large_bodies_at_silent_servers_stays_within_memory")
{
  SetServer("service-0", "dark");
  SetServer("service-1", "dark");
  const std::string body(kMaxBodyBytes, 'x');
  RunCrowd([&](raw_caller& aCaller) {
    aCaller.Send(Head("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n"));
    aCaller.Send(body);
    aCaller.ReadUntil("\r\n\r\n", kHold);
  });
  SetServer("service-0", "ok");
  SetServer("service-1", "ok");
  CHECK(WaitUntil([&] { return Look("later-" + std::to_string(Records("run").size())).mStatus == 200; }));
  Check();
}

// Idle connections must not take the descriptors that the gateway needs for its own and for further callers.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_with_more_idle_connections_than_descriptors_serves_another_caller")
{
  const auto callers = OpenIdle("http");
  Check();
}

// The listener for readiness checks and metrics had no limit on connections.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_with_many_idle_connections_for_control_reports_that_it_is_ready")
{
  const auto callers = OpenIdle("admin");
  CHECK(IsReady(*mGateways[0]));
  Check();
}

// A limit that holds for all callers together must not hit a single request inside the configured limits.
TEST_CASE_METHOD(hostile_callers_fixture, "gateway_that_is_idle_serves_a_body_of_the_maximum_size")
{
  gateway_call call;
  call.mMethod = "POST";
  call.mTarget = "/book/1";
  call.mId = "largest";
  call.mBody = std::string(kMaxBodyBytes, 'x');
  CHECK(Send(call).mStatus == 200);
  CHECK(RunCount("largest") == 1);
  Check();
}
