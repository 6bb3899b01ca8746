#include "gateway/backend_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr auto kLimit = std::chrono::seconds(10);
/// What a server in these tests sends at most, so that a test whose guard is missing ends.
constexpr std::size_t kMostSent = 64U << 20U;

/// A server that reads a request, sends some bytes, and then others again and again until the connection is closed.
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
      if (!aError && !mBlock.empty() && mSent < kMostSent) {
        Write(mBlock);
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
};

class recording_owner : public call_handler
{
public:
  explicit recording_owner(std::function<void()> aDone)
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
  recording_owner mOwner{ [this] { mContext.stop(); } };

  ref<backend_call> Start(const endless_server& aServer, call_handler& aOwner)
  {
    call_options options;
    options.mServer = aServer.Address();
    options.mRequestId = "mine";
    options.mConnectTimeout = kLimit;
    return mCalls->Start(options, net::http_request(), aOwner);
  }

  /// Runs until the call has ended.
  void Call(const endless_server& aServer)
  {
    const auto call = Start(aServer, mOwner);
    mContext.run_for(kLimit);
    call->Cancel();
  }
};

struct endless_answer
{
  const char* mName;
  std::string mFirst;
  std::string mRepeated;
};

const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_answer> kEndlessAnswers{
  { "bytes that are no head", "", "x" },
  { "one field of a head", "HTTP/1.1 200 OK\r\nX-Filler: ", "x" },
  { "fields of a head", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n" },
  { "the reason of a head", "HTTP/1.1 200 ", "OK" },
  { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "the extension of a chunk", kChunked + "5;", "x" },
  { "the size of a chunk", kChunked, "0" },
  { "fields behind the last chunk", kChunked + "0\r\n", "X-Filler: x\r\n" },
  { "one field behind the last chunk", kChunked + "0\r\nX-Filler: ", "x" },
  { "an answer to another request",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
    "4\r\nbody\r\n" },
};

} // namespace

TEST_CASE("worker_call_with_bytes_without_end_that_are_no_answer_ends_after_some_of_them")
{
  for (const endless_answer& answer : kEndlessAnswers) {
    INFO(answer.mName);
    backend_call_fixture fixture;
    const endless_server server(fixture.mContext, answer.mFirst, answer.mRepeated);
    fixture.Call(server);
    CHECK(fixture.mOwner.mEnd == call_end::Cut);
    CHECK(server.Sent() < (16U << 20U));
  }
}

TEST_CASE_METHOD(backend_call_fixture,
                 "worker_call_whose_answer_is_followed_by_other_bytes_does_not_use_the_connection_again")
{
  const endless_server server(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", "");
  Call(server);
  CHECK(mOwner.mEnd == call_end::Complete);
  CHECK(mOwner.mBytes == 2);
  CHECK(mOwner.mReason == "bytes came behind the answer");
}

TEST_CASE_METHOD(backend_call_fixture, "worker_call_to_another_server_is_answered_while_one_sends_without_end")
{
  recording_owner flooded([] {});
  const endless_server flooding(mContext, kChunked, "4\r\nbody\r\n");
  const endless_server plain(mContext, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
  const auto flood = Start(flooding, flooded);
  boost::asio::steady_timer timer(mContext, std::chrono::milliseconds(20));
  ref<backend_call> call;
  timer.async_wait([&](const error_code&) { call = Start(plain, mOwner); });
  mContext.run_for(kLimit);
  CHECK(mOwner.mEnd == call_end::Complete);
  CHECK_FALSE(flooded.mEnd);
  flood->Cancel();
}
