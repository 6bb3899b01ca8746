#include "net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <array>
#include <memory>
#include <mutex>
#include <optional>

#include "base/log.h"
#include "net/handshake_filter.h"
#include "net/http_p.h"

namespace chervilpulley::net {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t kFirstReadBytes = 4U << 10U;
constexpr part_log kLog("http");
constexpr std::size_t kLingerChunkBytes = 16U << 10U;
constexpr std::size_t kMaxLingerBytes = 64U << 20U;
/// Time that a connected caller has to send its next request once the server stops.
constexpr duration kNextRequestTimeout = std::chrono::seconds(1);
/// Time for the rest of a request of which a part had arrived by then.
constexpr duration kRestOfRequestTimeout = std::chrono::seconds(5);
constexpr duration kLingerTimeout = std::chrono::seconds(3);

class server_impl;

/// One connection, on its own strand. It handles its requests one after the other.
class server_connection
  : public ref_counted
  , public http_exchange
  , public boost::intrusive::list_base_hook<>
{
public:
  server_connection(ref<server_impl> aServer, tcp::socket aSocket);
  ~server_connection() override;

  asio::awaitable<void> Run();
  void CloseIfIdle();
  void CloseUnlessRequestArrives();
  void CancelReadAfter(duration aTime);
  bool HasUnreadBytes();

  http_request& Request() override { return mRequest; }
  std::uint64_t EarlierRequests() const override { return mExchange - 1; }
  asio::any_io_executor Executor() override { return mStream.get_executor(); }
  asio::awaitable<net_result<void>> Reply(http_reply aReply) override;
  asio::awaitable<net_result<void>> Begin(http_reply aHead) override;
  asio::awaitable<net_result<void>> Write(std::string aChunk) override;
  asio::awaitable<net_result<void>> End() override;
  void OnHangUp(std::function<void()> aCallback) override;

private:
  asio::awaitable<bool> ReadRequest();
  asio::awaitable<void> RefuseRequest(const boost::system::error_code& aError);
  asio::awaitable<void> Linger();
  asio::awaitable<void> HandleRequest();
  void StartAwaitingRequest();
  void StopAwaitingRequest();
  void WatchForHangUp();
  void CheckForHangUp();
  void ReportHangUp();
  bool KeepAlive() const;
  std::optional<net_error> CheckOutput(bool aNeedsBegun);
  template<class Message>
  void SetConnectionHeader(Message& aMessage);

  ref<server_impl> mServer;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxReadAheadBytes };
  http_request mRequest;
  bool mRequestKeepAlive = false;
  bool mIsHead = false;
  bool mAwaitsRequest = true; ///< its first request, or one sent while the server stops, is still to be read
  bool mIsReading = false;    ///< a part of the request has arrived
  bool mIsLingering = false;
  bool mBusy = false;
  bool mHasBegun = false; ///< the head of the response has been passed to the connection
  bool mResponded = false;
  bool mFailed = false;
  bool mHungUp = false;
  std::uint64_t mExchange = 0;
  std::function<void()> mOnHangUp;
};

class server_impl : public http_server
{
public:
  server_impl(asio::io_context& aContext, http_handler aHandler, http_limits aLimits)
    : mContext(aContext)
    , mAcceptor(asio::make_strand(aContext))
    , mHandler(std::move(aHandler))
    , mLimits(aLimits)
  {
  }

  net_result<void> Bind(const endpoint& aEndpoint);
  asio::awaitable<void> AcceptLoop(ref<server_impl> aSelf);

  endpoint LocalEndpoint() const override { return mLocal; }
  void StopAccepting() override;
  std::size_t OpenExchanges() const override;

  void Add(server_connection& aConnection);
  void Remove(server_connection& aConnection);
  bool IsStopping() const { return mStopping; }
  const http_handler& Handler() const { return mHandler; }
  const http_limits& Limits() const { return mLimits; }
  std::atomic<std::size_t> mOpenExchanges{ 0 };
  /// Number of connections with mAwaitsRequest.
  std::atomic<std::size_t> mAwaitingRequest{ 0 };
  /// Operations that may still accept connections: AcceptLoop(), and AcceptPending() at the stop. While the server
  /// stops they count as open exchanges, since its owner exits the process once there are none.
  std::atomic<std::size_t> mAccepting{ 1 };
  auto AcceptorExecutor() { return mAcceptor.get_executor(); }

private:
  void Serve(tcp::socket aSocket);
  void AcceptPending();

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  http_handler mHandler;
  http_limits mLimits;
  endpoint mLocal;
  std::atomic<bool> mStopping{ false };
  mutable std::mutex mMutex;
  boost::intrusive::list<server_connection, boost::intrusive::constant_time_size<true>> mConnections;
};

server_connection::server_connection(ref<server_impl> aServer, tcp::socket aSocket)
  : mServer(std::move(aServer))
  , mStream(std::move(aSocket))
{
  mServer->mAwaitingRequest.fetch_add(1);
}

server_connection::~server_connection()
{
  // The connection is still listed if the process exits while it is open.
  StopAwaitingRequest();
  mServer->Remove(*this);
}

asio::awaitable<void> server_connection::Run()
{
  const ref<server_connection> self(this);
  mServer->Add(*this);
  if (mServer->IsStopping()) {
    CloseUnlessRequestArrives();
  }
  // A stopping server reads a request on each connection that is open, or whose last response promised to keep it open.
  while (co_await ReadRequest()) {
    co_await HandleRequest();
    if (!KeepAlive()) {
      break;
    }
    if (mServer->IsStopping()) {
      CloseUnlessRequestArrives();
    }
  }
  StopAwaitingRequest();
  co_await Linger();
  mStream.close();
  mServer->Remove(*this);
}

void server_connection::StartAwaitingRequest()
{
  if (!std::exchange(mAwaitsRequest, true)) {
    mServer->mAwaitingRequest.fetch_add(1);
  }
}

void server_connection::StopAwaitingRequest()
{
  if (std::exchange(mAwaitsRequest, false)) {
    mServer->mAwaitingRequest.fetch_sub(1);
  }
}

bool server_connection::KeepAlive() const
{
  return mRequestKeepAlive && mResponded && !mFailed && !mHungUp;
}

asio::awaitable<bool> server_connection::ReadRequest()
{
  mHasBegun = false;
  mResponded = false;
  request_message_parser parser;
  parser.body_limit(mServer->Limits().mMaxBodyBytes);
  parser.header_limit(static_cast<std::uint32_t>(mServer->Limits().mMaxHeaderBytes));
  mStream.expires_after(mServer->Limits().mIdleTimeout);
  if (mBuffer.size() == 0) {
    const auto buffer = mBuffer.prepare(kFirstReadBytes);
    const auto [firstError, firstSize] = co_await mStream.async_read_some(buffer, kAwait);
    if (firstError) {
      co_return false;
    }
    mBuffer.commit(firstSize);
  }
  mIsReading = true;
  const auto [error, size] = co_await http::async_read(mStream, mBuffer, parser, kAwait);
  mIsReading = false;
  const boost::system::error_code fault =
    !error && HasUnknownLength(parser) ? http::make_error_code(http::error::bad_transfer_encoding) : error;
  if (fault) {
    co_await RefuseRequest(fault);
    co_return false;
  }
  auto message = parser.release();
  mRequestKeepAlive = message.keep_alive();
  mIsHead = message.method() == http::verb::head;
  mRequest.mMethod.assign(message.method_string().data(), message.method_string().size());
  mRequest.mTarget.assign(message.target().data(), message.target().size());
  mRequest.mHeaders = CopyHeaders(message);
  mRequest.mBody = std::move(message.body());
  co_return true;
}

asio::awaitable<void> server_connection::RefuseRequest(const boost::system::error_code& aError)
{
  const net_error error = MakeNetError(aError, "request", false);
  http_reply reply;
  if (error.mCode == net_errc::TooLarge) {
    reply = JsonReply(
      aError == http::error::body_limit ? 413 : 431,
      R"({"error":{"message":"the request is larger than this server allows","type":"invalid_request_error","outcome":"not_run"}})");
  } else if (error.mCode == net_errc::Malformed) {
    reply = JsonReply(
      400,
      R"({"error":{"message":"the request is not valid HTTP/1.1","type":"invalid_request_error","outcome":"not_run"}})");
  } else if (aError == asio::error::operation_aborted) {
    reply = JsonReply(
      408,
      R"({"error":{"message":"the request did not arrive in time","type":"invalid_request_error","outcome":"not_run"}})");
  } else {
    co_return;
  }
  mRequestKeepAlive = false;
  co_await Reply(std::move(reply));
}

/// Closes the sending side of the connection and waits for the caller to close its own. Closing both sides while bytes
/// of the caller are unread, or arrive later, resets the connection, and the caller loses what it has not read yet.
asio::awaitable<void> server_connection::Linger()
{
  mIsLingering = true;
  boost::system::error_code shutdownError;
  mStream.socket().shutdown(tcp::socket::shutdown_send, shutdownError);
  if (shutdownError) {
    co_return;
  }
  std::array<char, kLingerChunkBytes> chunk{};
  std::size_t total = 0;
  mStream.expires_after(kLingerTimeout);
  while (total < kMaxLingerBytes) {
    const auto [error, size] = co_await mStream.async_read_some(asio::buffer(chunk), kAwait);
    if (error) {
      break;
    }
    total += size;
  }
}

asio::awaitable<void> server_connection::HandleRequest()
{
  mBusy = true;
  ++mExchange;
  mServer->mOpenExchanges.fetch_add(1);
  StopAwaitingRequest();
  WatchForHangUp();
  co_await mServer->Handler()(*this);
  mOnHangUp = nullptr;
  mServer->mOpenExchanges.fetch_sub(1);
  mBusy = false;
  boost::system::error_code ignored;
  mStream.socket().cancel(ignored);
}

void server_connection::WatchForHangUp()
{
  const std::uint64_t exchange = mExchange;
  mStream.socket().async_wait(tcp::socket::wait_read,
                              [self = ref<server_connection>(this), exchange](const boost::system::error_code& aError) {
                                if (!aError && exchange == self->mExchange && self->mBusy && !self->mResponded) {
                                  self->CheckForHangUp();
                                }
                              });
}

void server_connection::CheckForHangUp()
{
  boost::system::error_code error;
  char byte = 0;
  mStream.socket().non_blocking(true, error);
  const std::size_t size = mStream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    // The wait also completes for bytes that another thread has read meanwhile.
    WatchForHangUp();
  } else if (size == 0) {
    ReportHangUp();
  }
}

void server_connection::ReportHangUp()
{
  mHungUp = true;
  if (auto callback = std::exchange(mOnHangUp, nullptr)) {
    callback();
  }
}

void server_connection::OnHangUp(std::function<void()> aCallback)
{
  if (mHungUp) {
    asio::post(mStream.get_executor(), std::move(aCallback));
    return;
  }
  mOnHangUp = std::move(aCallback);
}

template<class Message>
void server_connection::SetConnectionHeader(Message& aMessage)
{
  if (mServer->IsStopping()) {
    mRequestKeepAlive = false;
  }
  aMessage.keep_alive(mRequestKeepAlive);
}

/// Returns an error for output that does not fit the response so far, such as a second head. It is not sent, and the
/// connection is closed when the handler returns: the caller would find the output in the middle of another response.
std::optional<net_error> server_connection::CheckOutput(bool aNeedsBegun)
{
  if (mHasBegun == aNeedsBegun && !mResponded) {
    return std::nullopt;
  }
  mFailed = true;
  kLog.Error("A handler wrote output that does not fit its response. The connection is closed.");
  return net_error{ net_errc::Malformed, "output does not fit the response", true };
}

asio::awaitable<net_result<void>> server_connection::Reply(http_reply aReply)
{
  if (auto error = CheckOutput(false)) {
    co_return std::move(*error);
  }
  mHasBegun = true;
  http::response<http::string_body> message(http::int_to_status(aReply.mStatus), 11);
  message.result(aReply.mStatus);
  SetHeaders(aReply.mHeaders, message);
  message.body() = std::move(aReply.mBody);
  SetConnectionHeader(message);
  message.prepare_payload();
  if (mIsHead) {
    message.body().clear();
  }
  mResponded = true;
  mStream.expires_after(mServer->Limits().mWriteTimeout);
  const auto [error, size] = co_await http::async_write(mStream, message, kAwait);
  if (error) {
    mFailed = true;
    co_return MakeNetError(error, "reply", true);
  }
  co_return outcome::success();
}

asio::awaitable<net_result<void>> server_connection::Begin(http_reply aHead)
{
  if (auto error = CheckOutput(false)) {
    co_return std::move(*error);
  }
  mHasBegun = true;
  http::response<http::empty_body> message(http::int_to_status(aHead.mStatus), 11);
  SetHeaders(aHead.mHeaders, message);
  SetConnectionHeader(message);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  mStream.expires_after(mServer->Limits().mWriteTimeout);
  const auto [error, size] = co_await http::async_write_header(mStream, serializer, kAwait);
  if (error) {
    mFailed = true;
    co_return MakeNetError(error, "reply", true);
  }
  co_return outcome::success();
}

asio::awaitable<net_result<void>> server_connection::Write(std::string aChunk)
{
  if (auto error = CheckOutput(true)) {
    co_return std::move(*error);
  }
  if (mIsHead || aChunk.empty()) {
    co_return outcome::success();
  }
  mStream.expires_after(mServer->Limits().mWriteTimeout);
  const auto [error, size] = co_await asio::async_write(mStream, http::make_chunk(asio::buffer(aChunk)), kAwait);
  if (error) {
    mFailed = true;
    co_return MakeNetError(error, "reply", true);
  }
  co_return outcome::success();
}

asio::awaitable<net_result<void>> server_connection::End()
{
  if (auto error = CheckOutput(true)) {
    co_return std::move(*error);
  }
  mResponded = true;
  if (mIsHead) {
    co_return outcome::success();
  }
  mStream.expires_after(mServer->Limits().mWriteTimeout);
  const auto [error, size] = co_await asio::async_write(mStream, http::make_chunk_last(), kAwait);
  if (error) {
    mFailed = true;
    co_return MakeNetError(error, "reply", true);
  }
  co_return outcome::success();
}

void server_connection::CloseIfIdle()
{
  asio::post(mStream.get_executor(), [self = ref<server_connection>(this)] {
    if (!self->mBusy && !self->mIsLingering) {
      self->CloseUnlessRequestArrives();
    }
  });
}

void server_connection::CloseUnlessRequestArrives()
{
  StartAwaitingRequest();
  CancelReadAfter(kNextRequestTimeout);
}

void server_connection::CancelReadAfter(duration aTime)
{
  auto timer = std::make_shared<asio::steady_timer>(mStream.get_executor(), aTime);
  timer->async_wait([self = ref<server_connection>(this), timer, aTime](const boost::system::error_code&) {
    if (!self->mAwaitsRequest) {
      return;
    }
    const bool hasBegun = self->mIsReading || self->HasUnreadBytes();
    if (hasBegun && aTime < kRestOfRequestTimeout) {
      self->CancelReadAfter(kRestOfRequestTimeout);
    } else {
      self->mStream.cancel();
    }
  });
}

bool server_connection::HasUnreadBytes()
{
  boost::system::error_code error;
  return mStream.socket().available(error) > 0;
}

net_result<void> server_impl::Bind(const endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto local = ToTcp(aEndpoint.mAddress, aEndpoint.mPort);
  mAcceptor.open(local.protocol(), error);
  if (!error) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(local, error);
  }
  if (!error) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return net_error{ net_errc::BadAddress, "can't listen on " + aEndpoint.Str() + ": " + error.message() };
  }
  mLocal = { aEndpoint.mAddress, mAcceptor.local_endpoint().port() };
  return outcome::success();
}

asio::awaitable<void> server_impl::AcceptLoop(ref<server_impl> aSelf)
{
  while (true) {
    auto [error, socket] = co_await mAcceptor.async_accept(asio::make_strand(mContext), kAwait);
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      break;
    }
    if (!error) {
      Serve(std::move(socket));
    }
  }
  mAccepting.fetch_sub(1);
}

void server_impl::Serve(tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  {
    std::lock_guard lock(mMutex);
    if (mConnections.size() >= mLimits.mMaxConnections) {
      return;
    }
  }
  const auto strand = aSocket.get_executor();
  auto connection = MakeRef<server_connection>(ref<server_impl>(this), std::move(aSocket));
  asio::co_spawn(
    strand, [connection]() -> asio::awaitable<void> { co_await connection->Run(); }, asio::detached);
}

/// Accepts the connections that the kernel has established already. Their callers may have sent requests, and closing
/// the acceptor would reset them.
void server_impl::AcceptPending()
{
  boost::system::error_code error;
  mAcceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(mContext));
    mAcceptor.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
}

void server_impl::StopAccepting()
{
  mAccepting.fetch_add(1);
  mStopping = true;
  asio::post(mAcceptor.get_executor(), [self = ref<server_impl>(this)] {
    // The kernel would reset connections that it establishes between the last accept and the close.
    IgnoreNewHandshakes(self->mAcceptor.native_handle());
    auto timer = std::make_shared<asio::steady_timer>(self->mAcceptor.get_executor(), kHandshakeTime);
    timer->async_wait([self, timer](const boost::system::error_code&) {
      self->AcceptPending();
      boost::system::error_code ignored;
      self->mAcceptor.close(ignored);
      self->mAccepting.fetch_sub(1);
    });
  });
  std::lock_guard lock(mMutex);
  for (server_connection& connection : mConnections) {
    connection.CloseIfIdle();
  }
}

std::size_t server_impl::OpenExchanges() const
{
  // Read in the order in which a connection moves through these counters, so that one that moves meanwhile is not
  // missed.
  const std::size_t accepting = mStopping ? mAccepting.load() : 0;
  const std::size_t awaiting = mAwaitingRequest.load();
  if (!mStopping) {
    return awaiting + mOpenExchanges.load();
  }
  std::lock_guard lock(mMutex);
  return accepting + awaiting + mConnections.size();
}

void server_impl::Add(server_connection& aConnection)
{
  std::lock_guard lock(mMutex);
  mConnections.push_back(aConnection);
}

void server_impl::Remove(server_connection& aConnection)
{
  std::lock_guard lock(mMutex);
  if (aConnection.is_linked()) {
    mConnections.erase(mConnections.iterator_to(aConnection));
  }
}

} // namespace

net_result<ref<http_server>> http_server::Start(asio::io_context& aContext,
                                                const endpoint& aEndpoint,
                                                http_handler aHandler,
                                                http_limits aLimits)
{
  auto server = MakeRef<server_impl>(aContext, std::move(aHandler), aLimits);
  BOOST_OUTCOME_TRY(server->Bind(aEndpoint));
  asio::co_spawn(server->AcceptorExecutor(), server->AcceptLoop(server), asio::detached);
  return ref<http_server>(server);
}

} // namespace chervilpulley::net
