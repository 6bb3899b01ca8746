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

TEST_CASE("caller_session_with_output_that_does_not_fit_its_response_ends_it_visibly_incomplete")
{
  struct misuse
  {
    const char* mName;
    session_use mUse;
    std::string mEnd; ///< of the bytes that the caller gets
  };
  const session_use begin = [](caller_session& aSession) { aSession.Begin(Reply(""), "begun"); };
  const std::vector<misuse> misuses{
    { "response after the beginning of another",
      [&](caller_session& aSession) {
        begin(aSession);
        aSession.Respond(Reply("error"));
      },
      "\r\n\r\n5\r\nbegun\r\n" },
    { "second beginning",
      [&](caller_session& aSession) {
        begin(aSession);
        begin(aSession);
      },
      "\r\n\r\n5\r\nbegun\r\n" },
    { "bytes before the beginning", [](caller_session& aSession) { aSession.Write("bytes"); }, "" },
    { "end before the beginning", [](caller_session& aSession) { aSession.Finish(); }, "" },
  };
  for (const misuse& misuse : misuses) {
    caller_session_fixture fixture;
    fixture.mUses.push_back([&](caller_session& aSession) {
      misuse.mUse(aSession);
      aSession.Write("more");
      aSession.Finish();
    });
    fixture.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    INFO(misuse.mName);
    CHECK(fixture.WaitUntil([&] { return fixture.mIsClosed; }));
    INFO(fixture.mReceived);
    CHECK(fixture.mReceived.ends_with(misuse.mEnd));
    CHECK(fixture.mReceived.empty() == misuse.mEnd.empty());
    CHECK(fixture.mReceived.find("HTTP/1.1") == fixture.mReceived.rfind("HTTP/1.1"));
    CHECK(fixture.mReceived.find("more") == std::string::npos);
  }
}

TEST_CASE("caller_session_with_output_after_a_complete_response_sends_nothing_more")
{
  for (const session_use& more : std::vector<session_use>{
         [](caller_session& aSession) { aSession.Respond(Reply("second")); },
         [](caller_session& aSession) { aSession.Begin(Reply(""), "second"); },
         [](caller_session& aSession) { aSession.Write("second"); },
         [](caller_session& aSession) { aSession.Finish(); },
       }) {
    caller_session_fixture fixture;
    fixture.mUses.push_back([&](caller_session& aSession) {
      aSession.Respond(Reply("first"));
      more(aSession);
    });
    fixture.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(fixture.WaitUntil([&] { return fixture.mReceived.ends_with("\r\n\r\nfirst"); }));
    fixture.mUses.push_back([](caller_session& aSession) { aSession.Respond(Reply("next")); });
    fixture.mReceived.clear();
    fixture.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(fixture.WaitUntil([&] { return fixture.mIsClosed; }));
    CHECK(fixture.mReceived.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(fixture.mReceived.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(fixture.mReceived.ends_with("\r\n\r\nnext"));
  }
}

TEST_CASE("caller_session_that_begins_a_response_to_HEAD_sends_no_body")
{
  caller_session_fixture fixture;
  fixture.mUses.push_back([](caller_session& aSession) {
    aSession.Begin(Reply(""), "begun");
    aSession.Write("more");
    aSession.Finish();
  });
  fixture.Send("HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(fixture.WaitUntil([&] { return fixture.mIsClosed; }));
  INFO(fixture.mReceived);
  CHECK(fixture.mReceived.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(fixture.mReceived.find("\r\n\r\n") == fixture.mReceived.size() - 4);
}

// A handler that was told from within its own write that the caller is gone went on with a request that had ended.
TEST_CASE("caller_session_whose_caller_has_reset_notifies_its_handler_after_the_write_that_finds_out")
{
  class recording_handler : public request_handler
  {
  public:
    void OnCallerGone() override { ++mGone; }
    void OnWritten() override {}
    int mGone = 0;
  };
  for (const session_use& write : std::vector<session_use>{
         [](caller_session& aSession) { aSession.Begin(Reply(""), "begun"); },
         [](caller_session& aSession) {
           aSession.Begin(Reply(""), "");
           aSession.Write("more");
         },
       }) {
    caller_session_fixture fixture;
    const auto handler = MakeRef<recording_handler>();
    bool isHandled = false;
    fixture.mUses.push_back([&](caller_session& aSession) {
      aSession.SetHandler(handler);
      fixture.mSocket.set_option(boost::asio::socket_base::linger(true, 0));
      fixture.mSocket.close();
      write(aSession);
      CHECK(handler->mGone == 0);
      isHandled = true;
    });
    fixture.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(fixture.WaitUntil([&] { return isHandled && handler->mGone == 1; }));
  }
}
