#include "gateway/caller_session.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/request_memory.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);
constexpr std::size_t kHeaderBytes = 2000;
constexpr std::size_t kBodyBytes = 16U << 20U;
/// With two of kBodyBytes more than the budget.
constexpr std::size_t kSmallBodyBytes = 12U << 20U;
constexpr std::size_t kConnections = 3;

/// Responds to each request with its target; connections and bytes are limited.
class limited_host : public session_host
{
public:
  limited_host()
  {
    mLimits.mMaxHeaderBytes = kHeaderBytes;
    mLimits.mMaxBodyBytes = kBodyBytes;
    mMemory->SetLargestRequest(kHeaderBytes + kBodyBytes);
  }

  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return false; }
  request_memory* Memory() override { return mMemory.get(); }
  std::size_t MaxConnections() const override { return kConnections; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override
  {
    net::http_reply reply;
    reply.mBody = aRequest.mTarget;
    aSession->Respond(std::move(reply));
  }

private:
  caller_limits mLimits;
  /// The budget is its minimum, 2.7 times the largest request.
  ref<request_memory> mMemory = MakeRef<request_memory>(1);
};

struct caller_limits_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<caller_listener> mListener =
    caller_listener::Open(mContext, { "127.0.0.1", 0 }, ref<session_host>(MakeRef<limited_host>()));

  caller_limits_fixture() { mListener->Accept(); }

  std::unique_ptr<tcp::socket> Connect()
  {
    auto caller = std::make_unique<tcp::socket>(mContext);
    caller->connect({ boost::asio::ip::address_v4::loopback(), mListener->LocalEndpoint().mPort });
    caller->non_blocking(true);
    return caller;
  }

  void Run()
  {
    mContext.restart();
    mContext.run_for(std::chrono::milliseconds(2));
  }

  /// Runs until a condition holds; returns whether it did in time.
  template<class Condition>
  bool RunUntil(const Condition& aCondition)
  {
    for (const instant deadline = Now() + kLimit; Now() < deadline;) {
      if (aCondition()) {
        return true;
      }
      Run();
    }
    return false;
  }

  void Send(tcp::socket& aCaller, std::string_view aBytes)
  {
    RunUntil([&] {
      error_code error;
      aBytes.remove_prefix(aCaller.write_some(boost::asio::buffer(aBytes), error));
      return aBytes.empty() || (error && error != boost::asio::error::would_block);
    });
  }

  /// Receives until aText has arrived or the connection ends.
  std::string Receive(tcp::socket& aCaller, const std::string& aText)
  {
    std::string received;
    RunUntil([&] {
      std::array<char, 4096> piece{};
      error_code error;
      received.append(piece.data(), aCaller.read_some(boost::asio::buffer(piece), error));
      return received.find(aText) != std::string::npos || (error && error != boost::asio::error::would_block);
    });
    return received;
  }

  bool IsOpen(tcp::socket& aCaller)
  {
    std::array<char, 1> piece{};
    error_code error;
    aCaller.receive(boost::asio::buffer(piece), tcp::socket::message_peek, error);
    return !error || error == boost::asio::error::would_block;
  }
};

std::string Request(const std::string& aHeaders)
{
  return "POST /target HTTP/1.1\r\nHost: h\r\n" + aHeaders + "\r\n";
}

} // namespace

// A rejected caller must learn that its request has not run and may be sent again, and smaller ones are not hit.
TEST_CASE_METHOD(caller_limits_fixture, "caller_with_the_largest_incomplete_request_over_the_budget_gets_503")
{
  const auto large = Connect();
  const auto small = Connect();
  const auto other = Connect();
  const std::string head = Request("Content-Length: " + std::to_string(kBodyBytes) + "\r\n");
  const std::string body(kSmallBodyBytes, 'x');
  Send(*large, head + std::string(kBodyBytes - 1, 'x'));
  Send(*other, head + std::string(kBodyBytes - 2, 'x'));
  Send(*small, Request("Content-Length: " + std::to_string(kSmallBodyBytes) + "\r\n") + body.substr(1));
  const std::string response = Receive(*large, "\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 503 "));
  CHECK(response.find("\r\nRetry-After: ") != std::string::npos);
  CHECK(response.find("\r\nConnection: close\r\n") != std::string::npos);
  Send(*small, "x");
  CHECK(Receive(*small, "/target").starts_with("HTTP/1.1 200 "));
}

// The parser's limit does not cover trailers that arrive completely.
TEST_CASE_METHOD(caller_limits_fixture, "caller_whose_trailers_exceed_the_limit_of_heads_gets_431")
{
  for (const std::size_t lines : { 10U, 30U }) {
    const auto caller = Connect();
    std::string trailers;
    for (std::size_t each = 0; each < lines; ++each) {
      trailers += "X-Trailer: " + std::string(90, 'x') + "\r\n";
    }
    Send(*caller, Request("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n" + trailers + "\r\n");
    CHECK(Receive(*caller, "\r\n\r\n").substr(0, 13) == (lines == 10 ? "HTTP/1.1 200 " : "HTTP/1.1 431 "));
  }
}

// A connection whose request has been read, or is being read, must not be closed for a new one.
TEST_CASE_METHOD(caller_limits_fixture,
                 "caller_that_connects_over_the_limit_takes_the_place_of_one_idle_since_a_response")
{
  const auto served = Connect();
  Send(*served, Request("Content-Length: 0\r\n"));
  CHECK(Receive(*served, "/target").starts_with("HTTP/1.1 200 "));
  const auto reading = Connect();
  Send(*reading, "POST /target HTTP/1.1\r\n");
  const auto silent = Connect();
  RunUntil([&] { return mListener->Open() == kConnections; });
  const auto fourth = Connect();
  CHECK(RunUntil([&] { return !IsOpen(*served); }));
  CHECK(IsOpen(*silent));
  // None has had a response now, so the newest without a request gives way.
  Send(*fourth, "POST /target HTTP/1.1\r\n");
  RunUntil([&] { return mListener->Open() == kConnections; });
  const auto fifth = Connect();
  CHECK(RunUntil([&] { return !IsOpen(*silent); }));
  Send(*reading, "Host: h\r\nContent-Length: 0\r\n\r\n");
  CHECK(Receive(*reading, "/target").starts_with("HTTP/1.1 200 "));
  Send(*fifth, Request("Content-Length: 0\r\n"));
  CHECK(Receive(*fifth, "/target").starts_with("HTTP/1.1 200 "));
}
