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
constexpr duration kHolePoll = std::chrono::seconds(3600);
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

tcp::endpoint ToTcp(const net::endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mAddress), aEndpoint.mPort };
}

} // namespace

void relay::pair::Close()
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
    auto connection = std::make_shared<pair>(mContext);
    const auto [error] = co_await mAcceptor.async_accept(connection->mClient, kAsTuple);
    if (error) {
      continue;
    }
    if (mCut) {
      connection->Close();
      continue;
    }
    mPairs.remove_if([](const std::weak_ptr<pair>& aPair) { return aPair.expired(); });
    mPairs.push_back(connection);
    asio::co_spawn(mContext, Serve(connection), asio::detached);
  }
}

asio::awaitable<void> relay::Serve(std::shared_ptr<pair> aPair)
{
  const auto [error] = co_await aPair->mTarget.async_connect(mTarget, kAsTuple);
  if (error) {
    aPair->Close();
    co_return;
  }
  aPair->mClient.set_option(tcp::no_delay(true));
  aPair->mTarget.set_option(tcp::no_delay(true));
  asio::co_spawn(mContext, Copy(aPair, aPair->mTarget, aPair->mClient), asio::detached);
  co_await Copy(aPair, aPair->mClient, aPair->mTarget);
}

asio::awaitable<void> relay::Copy(std::shared_ptr<pair> aPair, socket& aFrom, socket& aTo)
{
  std::array<char, kChunkBytes> chunk{};
  while (true) {
    const auto [readError, size] = co_await aFrom.async_read_some(asio::buffer(chunk), kAsTuple);
    if (readError) {
      break;
    }
    while (mBlackHole && aFrom.is_open()) {
      co_await mChanged.WaitUntil(Now() + kHolePoll);
    }
    co_await SleepFor(mSlow);
    const auto [writeError, written] = co_await asio::async_write(aTo, asio::buffer(chunk.data(), size), kAsTuple);
    if (writeError) {
      break;
    }
  }
  aPair->Close();
}

net::http_reply relay::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const bool cut = body.Flag("cut", mCut);
  const bool blackHole = body.Flag("black_hole", mBlackHole);
  const std::uint64_t slowMs =
    body.Number("slow_ms", std::chrono::duration_cast<std::chrono::milliseconds>(mSlow).count());
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  mCut = cut;
  mBlackHole = blackHole;
  mSlow = std::chrono::milliseconds(slowMs);
  if (mCut) {
    for (const std::weak_ptr<pair>& weak : mPairs) {
      if (const std::shared_ptr<pair> open = weak.lock()) {
        open->Close();
      }
    }
  }
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

} // namespace chervilpulley::standin
