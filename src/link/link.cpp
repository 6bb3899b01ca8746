#include "link/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/websocket.hpp>

#include <deque>
#include <mutex>
#include <optional>

#include "base/random.h"
#include "chervilpulley/config.h"
#include "net/http_p.h"

namespace chervilpulley::link {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace websocket = boost::beast::websocket;
using tcp = asio::ip::tcp;
using net::kAwait;

/// Header that carries the cluster key.
constexpr char kKeyHeader[] = "X-Cluster-Key";
constexpr char kTarget[] = "/link";

/// The monotonic clock as a plain number, which fits an atomic.
std::int64_t NowTicks()
{
  return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// One end of a link; its reads and writes run on one strand.
class connection_impl : public connection
{
public:
  explicit connection_impl(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mLastReceive(NowTicks())
  {
  }

  asio::awaitable<net::net_result<void>> Accept(const link_options& aOptions);
  asio::awaitable<net::net_result<void>> Handshake(const net::endpoint& aEndpoint, const link_options& aOptions);
  void Start(events aEvents);
  asio::any_io_executor Executor() { return mSocket.get_executor(); }

  bool Send(std::string aMessage) override;
  void Finish() override;
  void Close() override;
  bool IsOpen() const override { return mOpen; }
  duration TimeSinceLastReceive() const override { return duration(NowTicks() - mLastReceive); }

private:
  void Configure(const link_options& aOptions, bool aIsServer);
  asio::awaitable<void> ReadLoop();
  void WriteNext();
  void OnWritten(const boost::system::error_code& aError);
  void CloseSocket();

  websocket::stream<beast::tcp_stream> mSocket;
  beast::flat_buffer mBuffer;
  events mEvents;
  std::atomic<bool> mOpen{ false };
  std::atomic<std::int64_t> mLastReceive;
  std::mutex mMutex;
  std::deque<std::string> mQueue; ///< messages not yet passed to mSocket
  std::size_t mQueuedBytes = 0;
  bool mIsWriting = false;
  bool mIsFinishing = false;
  std::string mWriting; ///< message that mSocket is writing
};

void connection_impl::Configure(const link_options& aOptions, bool aIsServer)
{
  boost::system::error_code ignored;
  beast::get_lowest_layer(mSocket).socket().set_option(tcp::no_delay(true), ignored);
  beast::get_lowest_layer(mSocket).expires_never();
  auto timeout =
    websocket::stream_base::timeout::suggested(aIsServer ? beast::role_type::server : beast::role_type::client);
  timeout.handshake_timeout = aOptions.mConnectTimeout;
  timeout.idle_timeout = aOptions.mIdleTimeout;
  timeout.keep_alive_pings = true;
  mSocket.set_option(timeout);
  mSocket.binary(true);
  mSocket.auto_fragment(false);
  mSocket.read_message_max(kMaxFrameBytes);
  mSocket.control_callback([this](websocket::frame_type, beast::string_view) { mLastReceive = NowTicks(); });
}

asio::awaitable<net::net_result<void>> connection_impl::Accept(const link_options& aOptions)
{
  auto& stream = beast::get_lowest_layer(mSocket);
  net::http::request<net::http::string_body> upgrade;
  stream.expires_after(aOptions.mConnectTimeout);
  const auto [readError, readSize] = co_await net::http::async_read(stream, mBuffer, upgrade, kAwait);
  if (readError) {
    co_return net::MakeNetError(readError, "link upgrade", false);
  }
  const auto key = upgrade[kKeyHeader];
  const bool isAllowed = EqualConstantTime(std::string_view(key.data(), key.size()), aOptions.mClusterKey);
  if (!isAllowed || !websocket::is_upgrade(upgrade)) {
    net::http::response<net::http::string_body> refusal(
      isAllowed ? net::http::status::bad_request : net::http::status::unauthorized, 11);
    refusal.body() = isAllowed ? "this address takes links only" : "the cluster key is missing or wrong";
    refusal.prepare_payload();
    co_await net::http::async_write(stream, refusal, kAwait);
    co_return net::net_error{ net::net_errc::Unauthorized, "link refused: " + refusal.body() };
  }
  Configure(aOptions, true);
  const auto [error] = co_await mSocket.async_accept(upgrade, kAwait);
  if (error) {
    co_return net::MakeNetError(error, "link accept", false);
  }
  co_return outcome::success();
}

asio::awaitable<net::net_result<void>> connection_impl::Handshake(const net::endpoint& aEndpoint,
                                                                  const link_options& aOptions)
{
  auto& stream = beast::get_lowest_layer(mSocket);
  stream.expires_after(aOptions.mConnectTimeout);
  const auto [connectError] = co_await stream.async_connect(net::ToTcp(aEndpoint.mAddress, aEndpoint.mPort), kAwait);
  if (connectError) {
    co_return net::net_error{ net::net_errc::Refused,
                              "can't connect to " + aEndpoint.Str() + ": " + connectError.message() };
  }
  Configure(aOptions, false);
  mSocket.set_option(websocket::stream_base::decorator(
    [key = aOptions.mClusterKey](websocket::request_type& aRequest) { aRequest.set(kKeyHeader, key); }));
  websocket::response_type reply;
  const auto [error] = co_await mSocket.async_handshake(reply, aEndpoint.Str(), kTarget, kAwait);
  if (error) {
    net::net_error handshakeError = net::MakeNetError(error, "link to " + aEndpoint.Str(), false);
    if (reply.result() == net::http::status::unauthorized) {
      handshakeError = { net::net_errc::Unauthorized, aEndpoint.Str() + " refused the cluster key" };
    }
    co_return handshakeError;
  }
  co_return outcome::success();
}

void connection_impl::Start(events aEvents)
{
  mEvents = std::move(aEvents);
  mOpen = true;
  asio::co_spawn(
    mSocket.get_executor(),
    [self = ref<connection_impl>(this)]() -> asio::awaitable<void> { co_await self->ReadLoop(); },
    asio::detached);
}

asio::awaitable<void> connection_impl::ReadLoop()
{
  const ref<connection_impl> self(this);
  while (mOpen) {
    mBuffer.consume(mBuffer.size());
    const auto [error, size] = co_await mSocket.async_read(mBuffer, kAwait);
    if (error) {
      break;
    }
    mLastReceive = NowTicks();
    mEvents.mOnMessage(*this, std::string(static_cast<const char*>(mBuffer.data().data()), mBuffer.size()));
  }
  CloseSocket();
  auto closed = std::move(mEvents);
  mEvents = {};
  closed.mOnClosed(*this);
}

bool connection_impl::Send(std::string aMessage)
{
  bool isOverLimit = false;
  {
    std::lock_guard lock(mMutex);
    if (!mOpen || mIsFinishing) {
      return false;
    }
    mQueuedBytes += aMessage.size();
    isOverLimit = mQueuedBytes > kMaxLinkBacklogBytes;
    mQueue.push_back(std::move(aMessage));
    if (mIsWriting && !isOverLimit) {
      return true;
    }
    mIsWriting = true;
  }
  if (isOverLimit) {
    Close();
    return false;
  }
  asio::post(mSocket.get_executor(), [self = ref<connection_impl>(this)] { self->WriteNext(); });
  return true;
}

void connection_impl::WriteNext()
{
  {
    std::lock_guard lock(mMutex);
    if (!mOpen || mQueue.empty()) {
      mIsWriting = false;
      if (mOpen && mIsFinishing) {
        boost::system::error_code ignored;
        beast::get_lowest_layer(mSocket).socket().shutdown(tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    mWriting = std::move(mQueue.front());
    mQueue.pop_front();
    mQueuedBytes -= mWriting.size();
  }
  mSocket.async_write(asio::buffer(mWriting),
                      [self = ref<connection_impl>(this)](const boost::system::error_code& aError, std::size_t) {
                        self->OnWritten(aError);
                      });
}

void connection_impl::OnWritten(const boost::system::error_code& aError)
{
  if (aError) {
    CloseSocket();
    return;
  }
  WriteNext();
}

void connection_impl::Finish()
{
  {
    std::lock_guard lock(mMutex);
    mIsFinishing = true;
    if (std::exchange(mIsWriting, true)) {
      return;
    }
  }
  asio::post(mSocket.get_executor(), [self = ref<connection_impl>(this)] { self->WriteNext(); });
}

void connection_impl::Close()
{
  mOpen = false;
  asio::post(mSocket.get_executor(), [self = ref<connection_impl>(this)] { self->CloseSocket(); });
}

void connection_impl::CloseSocket()
{
  {
    std::lock_guard lock(mMutex);
    mOpen = false;
  }
  beast::get_lowest_layer(mSocket).close();
}

class server_impl : public server
{
public:
  server_impl(asio::io_context& aContext, link_options aOptions, accept_handler aOnAccept)
    : mContext(aContext)
    , mAcceptor(asio::make_strand(aContext))
    , mOptions(std::move(aOptions))
    , mOnAccept(std::move(aOnAccept))
  {
  }

  net::net_result<void> Bind(const net::endpoint& aEndpoint)
  {
    boost::system::error_code error;
    const auto local = net::ToTcp(aEndpoint.mAddress, aEndpoint.mPort);
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
      return net::net_error{ net::net_errc::BadAddress, "can't listen on " + aEndpoint.Str() + ": " + error.message() };
    }
    mLocal = { aEndpoint.mAddress, mAcceptor.local_endpoint().port() };
    return outcome::success();
  }

  asio::awaitable<void> AcceptLoop(ref<server_impl> aSelf)
  {
    while (true) {
      auto [error, socket] = co_await mAcceptor.async_accept(asio::make_strand(mContext), kAwait);
      if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {
        continue;
      }
      const auto strand = socket.get_executor();
      auto accepted = MakeRef<connection_impl>(std::move(socket));
      asio::co_spawn(strand, AcceptLink(aSelf, accepted), asio::detached);
    }
  }

  net::endpoint LocalEndpoint() const override { return mLocal; }

  void StopAccepting() override
  {
    asio::post(mAcceptor.get_executor(), [self = ref<server_impl>(this)] {
      boost::system::error_code ignored;
      self->mAcceptor.close(ignored);
    });
  }

  auto AcceptorExecutor() { return mAcceptor.get_executor(); }

private:
  static asio::awaitable<void> AcceptLink(ref<server_impl> aSelf, ref<connection_impl> aConnection)
  {
    const auto accepted = co_await aConnection->Accept(aSelf->mOptions);
    if (accepted.has_value()) {
      aConnection->Start(aSelf->mOnAccept(aConnection));
    }
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  link_options mOptions;
  accept_handler mOnAccept;
  net::endpoint mLocal;
};

} // namespace

net::net_result<ref<server>> server::Start(asio::io_context& aContext,
                                           const net::endpoint& aEndpoint,
                                           link_options aOptions,
                                           accept_handler aOnAccept)
{
  auto started = MakeRef<server_impl>(aContext, std::move(aOptions), std::move(aOnAccept));
  BOOST_OUTCOME_TRY(started->Bind(aEndpoint));
  asio::co_spawn(started->AcceptorExecutor(), started->AcceptLoop(started), asio::detached);
  return ref<server>(started);
}

asio::awaitable<net::net_result<ref<connection>>> Connect(asio::io_context& aContext,
                                                          net::endpoint aEndpoint,
                                                          link_options aOptions,
                                                          events aEvents)
{
  auto connection = MakeRef<connection_impl>(tcp::socket(asio::make_strand(aContext)));
  std::optional<net::net_result<void>> handshake;
  co_await asio::co_spawn(
    connection->Executor(),
    [&]() -> asio::awaitable<void> { handshake.emplace(co_await connection->Handshake(aEndpoint, aOptions)); },
    asio::use_awaitable);
  if (handshake->has_error()) {
    co_return std::move(*handshake).error();
  }
  connection->Start(std::move(aEvents));
  co_return net::net_result<ref<link::connection>>(connection);
}

} // namespace chervilpulley::link
