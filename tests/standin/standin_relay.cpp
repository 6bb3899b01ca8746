#include "standin_relay.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

#include "json_body.h"

namespace chervilpulley::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kChunkBytes = 16 << 10;
constexpr duration kBlackHolePoll = std::chrono::seconds(3600);
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

tcp::endpoint ToTcp(const net::endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort };
}

} // namespace

void relay::connection_pair::Close()
{
  boost::system::error_code ignored;
  mClient.close(ignored);
  mTarget.close(ignored);
}

relay::relay(asio::io_context& aContext, const net::endpoint& aListen, const net::endpoint& aTarget)
  : mContext(aContext)
  , mAcceptor(aContext, ToTcp(aListen))
  , mTarget(ToTcp(aTarget))
{
  asio::co_spawn(mContext, Accept(), asio::detached);
}

net::endpoint relay::LocalEndpoint() const
{
  const tcp::endpoint local = mAcceptor.local_endpoint();
  return { local.address().to_string(), local.port() };
}

asio::awaitable<void> relay::Handle(net::http_exchange& aExchange)
{
  const std::string path(net::PathOf(aExchange.Request().mTarget));
  if (path == "/control") {
    co_await aExchange.Reply(Control(aExchange.Request()));
  } else {
    co_await aExchange.Reply(ErrorReply(404, "no such path: " + path));
  }
}

asio::awaitable<void> relay::Accept()
{
  while (mAcceptor.is_open()) {
    auto connection = std::make_shared<connection_pair>(mContext);
    const auto [error] = co_await mAcceptor.async_accept(connection->mClient, kAsTuple);
    if (error) {
      continue;
    }
    if (mIsDisconnected) {
      connection->Close();
      continue;
    }
    mConnections.remove_if([](const std::weak_ptr<connection_pair>& aConnection) { return aConnection.expired(); });
    mConnections.push_back(connection);
    asio::co_spawn(mContext, Serve(connection), asio::detached);
  }
}

asio::awaitable<void> relay::Serve(std::shared_ptr<connection_pair> aConnection)
{
  const auto [error] = co_await aConnection->mTarget.async_connect(mTarget, kAsTuple);
  if (error) {
    aConnection->Close();
    co_return;
  }
  aConnection->mClient.set_option(tcp::no_delay(true));
  aConnection->mTarget.set_option(tcp::no_delay(true));
  asio::co_spawn(mContext, Forward(aConnection, aConnection->mTarget, aConnection->mClient), asio::detached);
  co_await Forward(aConnection, aConnection->mClient, aConnection->mTarget);
}

asio::awaitable<void> relay::Forward(std::shared_ptr<connection_pair> aConnection, socket& aFrom, socket& aTo)
{
  std::array<char, kChunkBytes> chunk{};
  while (true) {
    const auto [readError, size] = co_await aFrom.async_read_some(asio::buffer(chunk), kAsTuple);
    if (readError) {
      break;
    }
    while (mBlackHole && aFrom.is_open()) {
      co_await mChanged.WaitUntil(Now() + kBlackHolePoll);
    }
    co_await SleepFor(mDelay);
    const auto [writeError, written] = co_await asio::async_write(aTo, asio::buffer(chunk.data(), size), kAsTuple);
    if (writeError) {
      break;
    }
  }
  aConnection->Close();
}

net::http_reply relay::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const bool cut = body.Flag("cut", mIsDisconnected);
  const bool blackHole = body.Flag("black_hole", mBlackHole);
  const std::uint64_t delayMs =
    body.Number("slow_ms", std::chrono::duration_cast<std::chrono::milliseconds>(mDelay).count());
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
  }
  mIsDisconnected = cut;
  mBlackHole = blackHole;
  mDelay = std::chrono::milliseconds(delayMs);
  if (mIsDisconnected) {
    for (const std::weak_ptr<connection_pair>& weak : mConnections) {
      if (const std::shared_ptr<connection_pair> open = weak.lock()) {
        open->Close();
      }
    }
  }
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

} // namespace chervilpulley::standin
