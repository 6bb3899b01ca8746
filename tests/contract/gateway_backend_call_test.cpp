#include "gateway/backend_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/wire.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);
/// Limit on the bytes that a test server sends, so that a test ends even if the limit under test is missing.
constexpr std::size_t kMaxSentBytes = 64U << 20U;

/// Server that reads a request, sends aFirst and then aRepeated over and over until the connection is closed.
class endless_server
{
public:
  endless_server(boost::asio::io_context& aContext, std::string aFirst, const std::string& aRepeated)
    : mAcceptor(aContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mSocket(aContext)
    , mFirst(std::move(aFirst))
  {
    while (!aRepeated.empty() && mBlock.size() < 16'384) {
      mBlock += aRepeated;
    }
    mAcceptor.async_accept(mSocket, [this](const error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

  /// Closes the connection after aFirst, in an orderly way or by a reset.
  void CloseAfterFirst(bool aResets)
  {
    mCloses = true;
    mResets = aResets;
  }
  net::endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }
  std::size_t Sent() const { return mSent; }
  bool IsClosed() const { return mIsClosed; }

private:
  void Read()
  {
    mSocket.async_read_some(boost::asio::buffer(mRequest), [this](const error_code& aError, std::size_t) {
      if (!aError) {
        Write(mFirst);
      }
    });
  }

  void Write(const std::string& aBytes)
  {
    boost::asio::async_write(mSocket, boost::asio::buffer(aBytes), [this](const error_code& aError, std::size_t aSize) {
      mSent += aSize;
      mIsClosed = aError.failed();
      if (!aError && !mBlock.empty() && mSent < kMaxSentBytes) {
        Write(mBlock);
      }
      if (mCloses) {
        error_code ignored;
        mSocket.set_option(boost::asio::socket_base::linger(mResets, 0), ignored);
        mSocket.close(ignored);
      }
    });
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  std::string mFirst;
  std::string mBlock;
  std::array<char, 4096> mRequest{};
  std::size_t mSent = 0;
  bool mIsClosed = false;
  bool mCloses = false;
  bool mResets = false;
};

/// Records the response of a call and how it ended.
class recording_handler : public call_handler
{
public:
  explicit recording_handler(std::function<void()> aDone)
    : mDone(std::move(aDone))
  {
  }

  void OnHead(unsigned aStatus, net::http_headers) override { mStatus = aStatus; }
  void OnBody(std::string_view aBytes) override { mBytes += aBytes.size(); }
  void OnEnd(call_end aEnd, const std::string& aReason) override
  {
    mEnd = aEnd;
    mReason = aReason;
    mDone();
  }

  unsigned mStatus = 0;
  std::size_t mBytes = 0;
  std::optional<call_end> mEnd;
  std::string mReason;

private:
  std::function<void()> mDone;
};

struct backend_call_fixture
{
  boost::asio::io_context mContext{ 1 };
  ref<backend_calls> mCalls = backend_calls::Create(mContext);
  recording_handler mHandler{ [this] { mContext.stop(); } };

  ref<backend_call> Start(const endless_server& aServer, call_handler& aHandler, const std::string& aMethod = "GET")
  {
    net::http_request request;
    request.mMethod = aMethod;
    call_options options;
    options.mTo = { { backend_id("server"), 1 }, aServer.Address() };
    options.mRequestId = "mine";
    options.mConnectTimeout = kLimit;
    return mCalls->Start(options, std::move(request), aHandler);
  }

  /// Runs until the call has ended.
  void Call(const endless_server& aServer, const std::string& aMethod = "GET")
  {
    const auto call = Start(aServer, mHandler, aMethod);
    mContext.run_for(kLimit);
    call->Cancel();
  }
};

/// First bytes of a response, and the bytes that follow without end.
struct endless_response
{
  const char* mName;
  std::string mFirst;
  std::string mRepeated;
};

const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_response> kEndlessResponses{
  { "bytes that are not a head", "", "x" },
  { "one endless field of a head", "HTTP/1.1 200 OK\r\nX-Filler: ", "x" },
  { "endless fields of a head", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n" },
  { "endless reason phrase", "HTTP/1.1 200 ", "OK" },
  { "endless interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "endless chunk extension", kChunked + "5;", "x" },
  { "endless chunk size", kChunked, "0" },
  { "endless trailer fields", kChunked + "0\r\n", "X-Filler: x\r\n" },
  { "one endless trailer field", kChunked + "0\r\nX-Filler: ", "x" },
  { "endless response to another request",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n" },
};

} // namespace

TEST_CASE("backend_call_with_endless_invalid_response_ends_after_bounded_bytes")
{
  for (const endless_response& response : kEndlessResponses) {
    INFO(response.mName);
    backend_call_fixture fixture;
    const endless_server server(fixture.mContext, response.mFirst, response.mRepeated);
    fixture.Call(server);
    CHECK(fixture.mHandler.mEnd == call_end::Abort);
    CHECK(server.Sent() < (16U << 20U));
  }
}

TEST_CASE_METHOD(backend_call_fixture, "backend_call_with_bytes_after_the_response_does_not_reuse_the_connection")
{
  const endless_server server(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", "");
  Call(server);
  CHECK(mHandler.mEnd == call_end::Complete);
  CHECK(mHandler.mBytes == 2);
  CHECK(mHandler.mReason == "unexpected bytes after the response");
}

TEST_CASE_METHOD(backend_call_fixture, "backend_call_during_an_endless_response_of_another_server_completes")
{
  recording_handler flooded([] {});
  const endless_server flooding(mContext, kChunked, "4\r\nbody\r\n");
  const endless_server plain(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
  const auto flood = Start(flooding, flooded);
  boost::asio::steady_timer timer(mContext, std::chrono::milliseconds(20));
  ref<backend_call> call;
  timer.async_wait([&](const error_code&) { call = Start(plain, mHandler); });
  mContext.run_for(kLimit);
  CHECK(mHandler.mEnd == call_end::Complete);
  CHECK_FALSE(flooded.mEnd);
  flood->Cancel();
}

TEST_CASE("backend_call_reports_the_head_of_every_final_response_whatever_its_status_framing_and_request")
{
  const std::string leaving = "Server-Leaving: 1\r\n";
  for (const std::string& response : {
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + leaving + "\r\nok",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + leaving + "\r\n2\r\nok\r\n0\r\n\r\n",
         "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + leaving + "\r\n",
         "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n" + leaving + "\r\n",
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n" + leaving +
           "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + leaving + "\r\n",
       }) {
    INFO(response);
    backend_call_fixture fixture;
    int reported = 0;
    fixture.mCalls->OnEachHead(
      [&](const policy::server_start& aServer, const wire::response_metadata& aResponse, instant) {
        CHECK(aServer == policy::server_start{ backend_id("server"), 1 });
        reported += aResponse.mIsLeaving ? 1 : 0;
      });
    const endless_server server(fixture.mContext, response, "");
    fixture.Call(server);
    CHECK(fixture.mHandler.mEnd == call_end::Complete);
    CHECK(reported == 1);
  }
}

TEST_CASE_METHOD(backend_call_fixture, "backend_call_with_a_response_without_length_ends_with_its_connection")
{
  endless_server server(mContext, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n", "");
  server.CloseAfterFirst(false);
  Call(server);
  CHECK(mHandler.mEnd == call_end::Closed);
  CHECK(mHandler.mBytes == 15);
}

TEST_CASE_METHOD(backend_call_fixture, "backend_call_with_a_response_without_length_that_is_reset_is_not_complete")
{
  endless_server server(mContext, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n", "");
  server.CloseAfterFirst(true);
  Call(server);
  CHECK(mHandler.mEnd == call_end::Abort);
}

TEST_CASE("backend_call_with_a_response_that_ends_before_its_length_chunks_or_head_is_not_complete")
{
  for (const std::string& response : { std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"),
                                       kChunked + "5\r\nshort\r\n",
                                       std::string("HTTP/1.1 200 OK\r\nContent-Le"),
                                       std::string() }) {
    INFO(response);
    backend_call_fixture fixture;
    endless_server server(fixture.mContext, response, "");
    server.CloseAfterFirst(false);
    fixture.Call(server);
    CHECK(fixture.mHandler.mEnd == call_end::Abort);
  }
}

// A server that announces an impossible length must not end the process: memory was reserved for what was announced.
TEST_CASE_METHOD(backend_call_fixture, "backend_call_with_an_announced_length_beyond_all_memory_fails_alone")
{
  endless_server server(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 800800800800800\r\n\r\nshort", "");
  server.CloseAfterFirst(false);
  Call(server);
  CHECK(mHandler.mEnd == call_end::Abort);
  CHECK(mHandler.mBytes == 5);
  CHECK(mHandler.mReason == "End of file, 800800800800795 bytes missing");
}

// Bytes that are no response must not pass for an interim one: the request would count as rejected, or as answered with
// these bytes before the real response.
TEST_CASE("backend_call_with_a_status_below_100_fails_without_a_head")
{
  for (const std::string& bytes : { std::string("HTTP/1.1 000 \r\n\r\n"),
                                    std::string("HTTP/1.1 020 x\r\nContent-Length: 4\r\n\r\nbody"
                                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }) {
    backend_call_fixture fixture;
    endless_server server(fixture.mContext, bytes, "");
    server.CloseAfterFirst(false);
    fixture.Call(server);
    CHECK(fixture.mHandler.mEnd == call_end::Abort);
    CHECK(fixture.mHandler.mStatus == 0);
    CHECK(fixture.mHandler.mBytes == 0);
  }
}

// A trailer field that the library's container can't hold must not end the process.
TEST_CASE_METHOD(backend_call_fixture, "backend_call_with_a_trailer_field_of_over_64_KiB_fails_alone")
{
  for (const std::string& field : { "X-Filler: " + std::string(70'000, 'x'), std::string(70'000, 'x') + ": value" }) {
    mContext.restart();
    recording_handler handler([this] { mContext.stop(); });
    const endless_server server(mContext, kChunked + "0\r\n" + field + "\r\n\r\n", "");
    const auto call = Start(server, handler);
    mContext.run_for(kLimit);
    CHECK(handler.mEnd == call_end::Abort);
  }
}

TEST_CASE("backend_call_with_a_response_that_has_no_body_completes_without_the_end_of_the_connection")
{
  struct bodiless
  {
    const char* mMethod;
    std::string mResponse;
  };
  for (const bodiless& each : { bodiless{ "GET", "HTTP/1.1 204 No Content\r\n\r\n" },
                                bodiless{ "GET", "HTTP/1.1 304 Not Modified\r\n\r\n" },
                                bodiless{ "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" },
                                bodiless{ "HEAD", "HTTP/1.1 200 OK\r\n\r\n" },
                                bodiless{ "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" } }) {
    INFO(each.mMethod << " " << each.mResponse);
    backend_call_fixture fixture;
    const endless_server server(fixture.mContext, each.mResponse, "");
    fixture.Call(server, each.mMethod);
    CHECK(fixture.mHandler.mEnd == call_end::Complete);
    CHECK(fixture.mHandler.mBytes == 0);
  }
}

TEST_CASE_METHOD(backend_call_fixture, "backend_call_after_a_response_without_length_opens_another_connection")
{
  endless_server unframed(mContext, "HTTP/1.1 200 OK\r\n\r\nok", "");
  unframed.CloseAfterFirst(false);
  Call(unframed);
  mContext.restart();
  recording_handler next([this] { mContext.stop(); });
  const endless_server framed(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
  const auto call = Start(framed, next);
  mContext.run_for(kLimit);
  CHECK(next.mEnd == call_end::Complete);
  CHECK(mCalls->ConnectionsOpened() == 2);
}
