#include "gateway/caller_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <deque>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);

/// What a handler does with the session of a request.
using session_use = std::function<void(caller_session&)>;

net::http_reply Reply(const std::string& aBody)
{
  net::http_reply reply;
  reply.mBody = aBody;
  return reply;
}

/// A caller on one connection, and a listener whose handlers use the session as given.
struct caller_session_fixture
{
  class host : public session_host
  {
  public:
    explicit host(caller_session_fixture& aFixture)
      : mFixture(aFixture)
    {
      mLimits.mHeaderTimeout = std::chrono::milliseconds(100);
    }
    const caller_limits& Limits() const override { return mLimits; }
    bool IsLeaving() const override { return false; }
    void Handle(const ref<caller_session>& aSession, net::http_request) override
    {
      REQUIRE(!mFixture.mUses.empty());
      const session_use use = mFixture.mUses.front();
      mFixture.mUses.pop_front();
      use(*aSession);
    }

  private:
    caller_session_fixture& mFixture;
    caller_limits mLimits;
  };

  boost::asio::io_context mContext{ 1 };
  std::deque<session_use> mUses;
  ref<caller_listener> mListener = caller_listener::Open(mContext, { "127.0.0.1", 0 }, MakeRef<host>(*this));
  tcp::socket mSocket{ mContext };
  std::array<char, 4096> mPiece{};
  std::string mReceived;
  bool mIsClosed = false;

  caller_session_fixture()
  {
    mListener->Accept();
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), mListener->LocalEndpoint().mPort });
    Read();
  }

  void Read()
  {
    mSocket.async_read_some(boost::asio::buffer(mPiece), [this](const error_code& aError, std::size_t aSize) {
      mReceived.append(mPiece.data(), aSize);
      mIsClosed = aError.failed();
      if (!aError) {
        Read();
      }
    });
  }

  void Send(const std::string& aBytes) { boost::asio::write(mSocket, boost::asio::buffer(aBytes)); }

  bool WaitUntil(const std::function<bool()>& aCondition)
  {
    const instant limit = Now() + kLimit;
    while (!aCondition() && Now() < limit) {
      mContext.run_one_for(std::chrono::milliseconds(20));
    }
    return aCondition();
  }

  /// Sends a request that is answered completely.
  void SendFirstRequest()
  {
    mUses.push_back([](caller_session& aSession) { aSession.Respond(Reply("first")); });
    Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(WaitUntil([&] { return mReceived.ends_with("first"); }));
    mReceived.clear();
  }
};

} // namespace

TEST_CASE("caller_session_rejects_an_invalid_second_request_as_it_does_a_first")
{
  for (const char* const request : { "not a request\r\n\r\n", "GET / HTTP/1.1\r\nUnfinished: ", "GE" }) {
    for (const bool isSecond : { false, true }) {
      caller_session_fixture fixture;
      if (isSecond) {
        fixture.SendFirstRequest();
      }
      fixture.Send(request);
      INFO(request << (isSecond ? " as the second" : " as the first"));
      CHECK(fixture.WaitUntil([&] { return fixture.mIsClosed; }));
      CHECK(fixture.mReceived.starts_with("HTTP/1.1 4"));
      CHECK(fixture.mReceived.ends_with("\r\n\r\n"));
    }
  }
}

TEST_CASE("caller_session_asks_for_the_body_of_a_second_request_as_it_does_of_a_first")
{
  for (const bool isSecond : { false, true }) {
    caller_session_fixture fixture;
    if (isSecond) {
      fixture.SendFirstRequest();
    }
    fixture.Send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    INFO((isSecond ? "second" : "first"));
    CHECK(fixture.WaitUntil([&] { return fixture.mReceived == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    fixture.mUses.push_back([](caller_session& aSession) { aSession.Respond(Reply("second")); });
    fixture.Send("body");
    CHECK(fixture.WaitUntil([&] { return fixture.mReceived.ends_with("\r\n\r\nsecond"); }));
  }
}
