#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <deque>
#include <memory>

#include "base/clock.h"
#include "gateway/caller_session.h"
#include "gateway/capacity_queue.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_probes.h"
#include "gateway/service_request.h"
#include "gateway/stream_request.h"

/// Requests through a gateway's own classes to engines that write exactly the bytes that a test gives them. Callers and
/// engines are real sockets on one event loop.
namespace chervilpulley::testing {

using namespace gateway;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;
namespace http = boost::beast::http;

inline constexpr auto kLimit = std::chrono::seconds(10);
inline constexpr unsigned kEvents = 5;

inline std::string Event(unsigned aId)
{
  return fmt::format("id: {0}\ndata: token {0}\n\n", aId);
}

/// The events after aFrom up to aLast.
inline std::string Events(unsigned aFrom, unsigned aLast)
{
  std::string events;
  for (unsigned id = aFrom + 1; id <= aLast; ++id) {
    events += Event(id);
  }
  return events;
}

enum class framing
{
  Length,
  Chunked,
  None ///< the response ends with its connection
};

inline const std::vector<std::pair<const char*, framing>> kFramings{ { "with a length", framing::Length },
                                                                     { "chunked", framing::Chunked },
                                                                     { "ended by its connection", framing::None } };

inline const std::string kStreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nContent-Type: text/event-stream\r\n";

/// What an engine writes as a response.
struct engine_response
{
  std::string mBytes;
  std::size_t mPieceSize = std::string::npos; ///< size of the pieces in which the bytes are sent
  std::size_t mSplitAt = std::string::npos;   ///< end of the first piece
  bool mCloses = false;                       ///< closes the connection after the last byte
};

inline engine_response Frame(const std::string& aHead, const std::string& aBody, framing aFraming)
{
  engine_response response;
  response.mCloses = aFraming == framing::None;
  switch (aFraming) {
    case framing::Length:
      response.mBytes = fmt::format("{}Content-Length: {}\r\n\r\n{}", aHead, aBody.size(), aBody);
      break;
    case framing::Chunked:
      response.mBytes = aHead + "Transfer-Encoding: chunked\r\n\r\n";
      if (!aBody.empty()) {
        response.mBytes += fmt::format("{:x}\r\n{}\r\n", aBody.size(), aBody);
      }
      response.mBytes += "0\r\n\r\n";
      break;
    default:
      response.mBytes = aHead + "\r\n" + aBody;
  }
  return response;
}

/// Engines that answer requests for streams with given responses, in the order in which the requests arrive.
class scripted_engines
{
public:
  explicit scripted_engines(boost::asio::io_context& aContext, std::size_t aCount)
    : mContext(aContext)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      mAcceptors.push_back(std::make_unique<tcp::acceptor>(aContext, tcp::endpoint(kLoopback, 0)));
      Accept(*mAcceptors.back());
    }
  }

  void Answer(engine_response aResponse) { mResponses.push_back(std::move(aResponse)); }
  /// Sets the response to all requests after the given ones; without it, the stream is resumed and completed.
  void AnswerAllOthers(engine_response aResponse) { mOther = std::move(aResponse); }
  std::size_t Requests() const { return mRequests; }

  std::vector<policy::backend_member> Members(const pool_name& aPool) const
  {
    std::vector<policy::backend_member> members;
    for (const auto& acceptor : mAcceptors) {
      policy::backend_member member;
      member.mId = backend_id("engine-" + std::to_string(members.size()));
      member.mPool = aPool;
      member.mAddress = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
      member.mDomain = failure_domain_id("here");
      member.mAccelerator = "card";
      member.mLayers = { 0, 8 };
      member.mStartedAt = 1;
      members.push_back(member);
    }
    return members;
  }

private:
  struct connection
  {
    explicit connection(tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    tcp::socket mSocket;
    std::string mInput;
    engine_response mResponse;
    std::size_t mSent = 0;
  };
  using connection_ptr = std::shared_ptr<connection>;

  static inline const boost::asio::ip::address kLoopback = boost::asio::ip::address_v4::loopback();

  void Accept(tcp::acceptor& aAcceptor)
  {
    aAcceptor.async_accept([this, &aAcceptor](const error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        aSocket.set_option(tcp::no_delay(true));
        Read(std::make_shared<connection>(std::move(aSocket)));
        Accept(aAcceptor);
      }
    });
  }

  void Read(const connection_ptr& aConnection)
  {
    boost::asio::async_read_until(aConnection->mSocket,
                                  boost::asio::dynamic_buffer(aConnection->mInput),
                                  "\r\n\r\n",
                                  [this, aConnection](const error_code& aError, std::size_t aSize) {
                                    if (!aError) {
                                      const std::string head = aConnection->mInput.substr(0, aSize);
                                      aConnection->mInput.erase(0, aSize);
                                      aConnection->mResponse = NextResponse(head);
                                      aConnection->mSent = 0;
                                      Write(aConnection);
                                    }
                                  });
  }

  engine_response NextResponse(const std::string& aHead)
  {
    if (aHead.find("/chervilpulley/report") != std::string::npos) {
      return Frame(
        "HTTP/1.1 200 OK\r\n", R"({"seq":0,"born":1,"pace":1,"layers":{"from":0,"target":8}})", framing::Length);
    }
    ++mRequests;
    if (!mResponses.empty()) {
      engine_response next = std::move(mResponses.front());
      mResponses.pop_front();
      return next;
    }
    if (mOther) {
      return *mOther;
    }
    unsigned last = 0;
    const std::size_t field = aHead.find("Last-Event-Id: ");
    if (field != std::string::npos) {
      last = static_cast<unsigned>(std::stoul(aHead.substr(field + 15)));
    }
    return Frame(kStreamHead + "X-Response-Stamp: sound\r\n", Events(last, kEvents), framing::Chunked);
  }

  /// Sends one piece, so that the gateway reads it before the next is sent.
  void Write(const connection_ptr& aConnection)
  {
    engine_response& response = aConnection->mResponse;
    std::size_t size = response.mPieceSize;
    if (aConnection->mSent < response.mSplitAt && response.mSplitAt != std::string::npos) {
      size = response.mSplitAt - aConnection->mSent;
    }
    size = std::min(size, response.mBytes.size() - aConnection->mSent);
    error_code error;
    boost::asio::write(
      aConnection->mSocket, boost::asio::buffer(response.mBytes.data() + aConnection->mSent, size), error);
    aConnection->mSent += size;
    if (!error && aConnection->mSent < response.mBytes.size()) {
      // Twice, so that the events of the sockets are handled between two pieces.
      boost::asio::post(
        mContext, [this, aConnection] { boost::asio::post(mContext, [this, aConnection] { Write(aConnection); }); });
    } else if (error || response.mCloses) {
      error_code ignored;
      aConnection->mSocket.close(ignored);
    } else {
      Read(aConnection);
    }
  }

  boost::asio::io_context& mContext;
  std::vector<std::unique_ptr<tcp::acceptor>> mAcceptors;
  std::deque<engine_response> mResponses;
  std::optional<engine_response> mOther;
  std::size_t mRequests = 0;
};

/// One caller of a gateway, and engines.
struct scripted_engines_fixture
{
  const pool_name mPool{ "engines" };
  boost::asio::io_context mContext{ 1 };
  ref<fleet> mFleet = MakeRef<fleet>(failure_domain_id("here"),
                                     std::chrono::seconds(2),
                                     policy::retry_bounds{ 10, 1000, std::chrono::seconds(10) });
  ref<backend_calls> mCalls = backend_calls::Create(mContext);
  ref<engine_probes> mProbes = MakeRef<engine_probes>(mContext, mFleet, mCalls);
  ref<peer_hints> mHints = MakeRef<peer_hints>(mContext, mFleet, mProbes);
  ref<crash_watch> mCrashes = MakeRef<crash_watch>(mFleet, mProbes, mHints, 0.5);
  stream_list mStreams;
  service_list mServices;
  capacity_queue mQueue{ mStreams };
  request_environment mEnvironment{ mContext, mFleet,    mCalls, mProbes, mCrashes, gateway_metrics::Create(),
                                    mStreams, mServices, mQueue, {},      {} };
  scripted_engines mEngines{ mContext, 5 };
  ref<caller_listener> mListener;
  duration mDeadline = kLimit;
  request_kind mKind = request_kind::Stream;
  unsigned mMaxAttempts = 9;
  std::uint32_t mPriority = 0;   ///< of the next request
  std::function<void()> mOnTick; ///< called every kStreamTick while a request runs
  route mRoute;                  ///< of the last request
  std::string mReceived;         ///< by the caller

  /// Starts a stream for each request.
  class host : public session_host
  {
  public:
    explicit host(scripted_engines_fixture& aFixture)
      : mFixture(aFixture)
    {
    }
    const caller_limits& Limits() const override { return mLimits; }
    bool IsLeaving() const override { return false; }
    void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override
    {
      admitted_request admitted;
      admitted.mMetadata = wire::DecodeMetadata(aRequest.mHeaders);
      admitted.mConfiguration = mFixture.mFleet->Configuration();
      admitted.mRoute = &admitted.mConfiguration->mRoutes.front();
      admitted.mPool = mFixture.mPool;
      admitted.mPriority = mFixture.mPriority;
      admitted.mArrived = Now();
      admitted.mDeadline = admitted.mArrived + mFixture.mDeadline;
      admitted.mSession = aSession;
      admitted.mRequest = std::move(aRequest);
      mFixture.mRoute = *admitted.mRoute;
      mFixture.mRoute.mKind = mFixture.mKind;
      mFixture.mRoute.mMaxAttempts = mFixture.mMaxAttempts;
      admitted.mRoute = &mFixture.mRoute;
      if (mFixture.mKind == request_kind::Stream) {
        MakeRef<stream_request>(mFixture.mEnvironment, std::move(admitted))->Start();
        return;
      }
      MakeRef<service_request>(mFixture.mEnvironment, std::move(admitted))->Start();
    }

  private:
    scripted_engines_fixture& mFixture;
    caller_limits mLimits;
  };

  scripted_engines_fixture()
  {
    auto newConfiguration = MakeRef<configuration>();
    pool pool;
    pool.mName = mPool;
    pool.mEngine = policy::engine_model();
    pool.mEngine->mLayers = 8;
    pool.mEngine->mLayerMb = 1000;
    pool.mEngine->mBytesPerTokenAndLayer = 4000;
    pool.mEngine->mStep = policy::fractional_ms(1);
    pool.mEngine->mPrefillTokensPerSecond = 100'000;
    pool.mEngine->mKinds.push_back({ "card", 16'000, 1, 1 });
    newConfiguration->mPools.push_back(pool);
    route route;
    route.mName = route_name("streams");
    route.mKind = request_kind::Stream;
    route.mObjective = std::chrono::seconds(2);
    route.mIsResumable = true;
    newConfiguration->mRoutes.push_back(route);
    newConfiguration->Index();
    mFleet->SetConfiguration(newConfiguration);
    mFleet->Members().Listed(mEngines.Members(mPool), Now());
    mFleet->MembersChanged(Now());
    mListener = caller_listener::Open(mContext, { "127.0.0.1", 0 }, MakeRef<host>(*this));
    mListener->Accept();
  }

  /// Sends a request for a stream on a new connection and reads until the gateway closes it.
  void Call(const std::string& aHeaders = "", const std::string& aBody = "")
  {
    tcp::socket socket(mContext);
    socket.connect({ boost::asio::ip::address_v4::loopback(), mListener->LocalEndpoint().mPort });
    socket.set_option(tcp::no_delay(true));
    boost::asio::write(socket,
                       boost::asio::buffer("GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Attempt-Id: mine\r\n"
                                           "X-Token-Counts: 10,10\r\n" +
                                           aHeaders + "\r\n"));
    for (const char byte : aBody) {
      mContext.poll();
      boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    }
    bool isDone = false;
    boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(mReceived), [&](const error_code&, std::size_t) { isDone = true; });
    boost::asio::steady_timer tick(mContext);
    std::function<void()> check = [&] {
      tick.expires_after(kStreamTick);
      tick.async_wait([&](const error_code& aError) {
        if (!aError && !mStreams.empty()) {
          mStreams.front().TimePassed(Now());
        }
        if (!aError && mOnTick) {
          mOnTick();
        }
        if (!aError) {
          check();
        }
      });
    };
    check();
    const instant limit = Now() + kLimit;
    while (!isDone && Now() < limit) {
      mContext.run_one_for(std::chrono::milliseconds(50));
    }
    tick.cancel();
    socket.close();
    mContext.poll();
    REQUIRE(isDone);
  }

  /// Sends a request and resets its connection after aSteps steps of the event loop. Returns whether the request had
  /// ended by then.
  bool CallAndReset(unsigned aSteps, const std::string& aHeaders)
  {
    tcp::socket socket(mContext);
    socket.connect({ boost::asio::ip::address_v4::loopback(), mListener->LocalEndpoint().mPort });
    boost::asio::write(
      socket,
      boost::asio::buffer("GET /s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: mine\r\nX-Token-Counts: 10,10\r\n" + aHeaders +
                          "\r\n"));
    const auto hasEnded = [&] { return mEngines.Requests() > 0 && mStreams.empty() && mServices.empty(); };
    for (unsigned step = 0; step < aSteps && !hasEnded(); ++step) {
      mContext.run_one_for(std::chrono::milliseconds(1));
    }
    const bool hadEnded = hasEnded();
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    const instant limit = Now() + kLimit;
    do {
      mContext.run_one_for(std::chrono::milliseconds(2));
    } while (!(mStreams.empty() && mServices.empty()) && Now() < limit);
    REQUIRE(mStreams.empty());
    REQUIRE(mServices.empty());
    mContext.poll();
    return hadEnded;
  }

  /// The body that the caller received, if the response is complete.
  std::optional<std::string> CompleteBody() const
  {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    error_code error;
    const std::size_t size = parser.put(boost::asio::buffer(mReceived), error);
    return !error && parser.is_done() && size == mReceived.size() ? std::optional(parser.get().body()) : std::nullopt;
  }

  /// The body as far as the caller received it. Bytes that are not part of a valid response fail the test.
  std::string BodySoFar() const
  {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    error_code error;
    const std::size_t size = parser.put(boost::asio::buffer(mReceived), error);
    CHECK((!error || error == http::error::need_more));
    CHECK(std::string_view("\r\n").starts_with(mReceived.substr(size)));
    return parser.get().body();
  }

  /// Number of times that the caller received some text.
  std::size_t Count(std::string_view aText) const
  {
    std::size_t count = 0;
    for (std::size_t at = mReceived.find(aText); at != std::string::npos; at = mReceived.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  void CheckHeadOfFirstEngine() const
  {
    CHECK(Count("HTTP/1.1") == 1);
    CHECK(Count("X-Response-Stamp: ") == 1);
    CHECK(Count("X-Response-Stamp: first") == 1);
  }
};

} // namespace chervilpulley::testing
