#include "gateway/caller_session.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);

/// Responds with the request's body: in chunks if the path is /chunked, otherwise with a length.
class echo_host : public session_host
{
public:
  echo_host()
  {
    mLimits.mHeaderTimeout = std::chrono::milliseconds(200);
    mLimits.mMaxBodyBytes = 1000;
    mLimits.mMaxHeaderBytes = 1000;
  }

  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return false; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override
  {
    net::http_reply reply;
    if (aRequest.mTarget == "/chunked") {
      aSession->Begin(reply, aRequest.mBody);
      aSession->Finish();
      return;
    }
    reply.mBody = aRequest.mBody;
    aSession->Respond(std::move(reply));
  }

private:
  caller_limits mLimits;
};

/// A listener and one connection to it, on the same event loop.
struct caller_session_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<caller_listener> mListener =
    caller_listener::Open(mContext, { "127.0.0.1", 0 }, ref<session_host>(MakeRef<echo_host>()));
  tcp::socket mCaller{ mContext };
  std::string mReceived;

  caller_session_fixture()
  {
    mListener->Accept();
    mCaller.connect({ boost::asio::ip::address_v4::loopback(), mListener->LocalEndpoint().mPort });
  }

  void Send(const std::string& aBytes) { boost::asio::write(mCaller, boost::asio::buffer(aBytes)); }

  /// Runs until the bytes received since the last call end with aEnd; returns them.
  std::string ReadUntil(const std::string& aEnd)
  {
    mReceived.clear();
    mCaller.non_blocking(true);
    const instant deadline = Now() + kLimit;
    while (!mReceived.ends_with(aEnd) && Now() < deadline) {
      mContext.restart();
      mContext.run_for(std::chrono::milliseconds(2));
      std::array<char, 4096> piece{};
      error_code error;
      const std::size_t size = mCaller.read_some(boost::asio::buffer(piece), error);
      mReceived.append(piece.data(), size);
      if (error && error != boost::asio::error::would_block) {
        break;
      }
    }
    return mReceived;
  }
};

std::string Request(const std::string& aPath, const std::string& aHeaders, const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" + aHeaders + "\r\n" + aBody;
}

const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Requests after which the connection is kept, and the end of their responses.
const std::vector<std::pair<std::string, std::string>> kEarlier{
  { Request("/", "Content-Length: 3\r\n", "one"), "one" },
  { Request("/chunked", "Content-Length: 3\r\n", "one"), "one\r\n0\r\n\r\n" },
};

} // namespace

TEST_CASE("caller_on_a_kept_connection_that_expects_100_continue_gets_it_before_its_body_is_read")
{
  for (const auto& [earlier, end] : kEarlier) {
    INFO(earlier);
    caller_session_fixture fixture;
    fixture.Send(earlier);
    REQUIRE(fixture.ReadUntil(end).ends_with(end));
    fixture.Send(Request("/", "Content-Length: 3\r\nExpect: 100-continue\r\n", ""));
    CHECK(fixture.ReadUntil(kContinue) == kContinue);
    fixture.Send("two");
    CHECK(fixture.ReadUntil("two").starts_with("HTTP/1.1 200 OK\r\n"));
  }
}

TEST_CASE("caller_on_a_kept_connection_whose_request_can_not_be_read_gets_an_error_response")
{
  struct faulty_request
  {
    const char* mName;
    std::string mBytes;
    std::string mStatus;
  };
  const std::vector<faulty_request> faulty{
    { "no request", "no request\r\n\r\n", "400" },
    { "long body", Request("/", "Content-Length: 2000\r\n", std::string(2000, 'x')), "413" },
    { "long head", Request("/", "X-Filler: " + std::string(2000, 'x') + "\r\n", ""), "431" },
    { "long trailer field",
      Request("/", "Transfer-Encoding: chunked\r\n", "0\r\nX-Filler: " + std::string(70'000, 'x') + "\r\n\r\n"),
      "431" },
    { "trailer without end",
      Request("/", "Transfer-Encoding: chunked\r\n", "0\r\n") + std::string(300'000, 'x'),
      "431" },
    { "chunk extension without end",
      Request("/", "Transfer-Encoding: chunked\r\n", "5;") + std::string(300'000, 'x'),
      "431" },
    { "transfer coding that does not end with chunked",
      Request("/", "Transfer-Encoding: gzip\r\n", Request("/", "", "")),
      "400" },
    { "incomplete head", "POST / HTTP/1.1\r\nHost: ", "408" },
    { "incomplete body", Request("/", "Content-Length: 3\r\n", "tw"), "408" },
  };
  for (const auto& [earlier, end] : kEarlier) {
    for (const faulty_request& each : faulty) {
      INFO(earlier << " and " << each.mName);
      caller_session_fixture fixture;
      fixture.Send(earlier);
      REQUIRE(fixture.ReadUntil(end).ends_with(end));
      fixture.Send(each.mBytes);
      CHECK(fixture.ReadUntil("\r\n\r\n").substr(0, 13) == "HTTP/1.1 " + each.mStatus + " ");
    }
  }
}
