#include "net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <optional>
#include <unordered_map>

#include "base/sharded_map.h"
#include "net/http_p.h"

namespace chervilpulley::net {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxIdlePerEndpoint = 256;
constexpr std::size_t kMaxReplyBytes = 64U << 20U;

/// A connection; all its work runs on the strand of its stream.
class client_connection : public ref_counted
{
public:
  explicit client_connection(asio::io_context& aContext)
    : mStream(asio::make_strand(aContext))
  {
  }

  /// Whether the server has closed the connection or sent unexpected data.
  bool IsStale()
  {
    boost::system::error_code error;
    char byte = 0;
    mStream.socket().non_blocking(true, error);
    mStream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxReadAheadBytes };
  bool mReused = false;
  bool mIsPooled = true; ///< used for further requests when its request has ended
};

class client_impl : public http_client
{
public:
  explicit client_impl(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  asio::awaitable<net_result<http_reply>> Fetch(endpoint aEndpoint, http_request aRequest, duration aTimeout) override
  {
    return Exchange(std::move(aEndpoint), std::move(aRequest), aTimeout, nullptr, true);
  }

  asio::awaitable<net_result<http_reply>> FetchAlone(endpoint aEndpoint,
                                                     http_request aRequest,
                                                     duration aTimeout) override
  {
    return Exchange(std::move(aEndpoint), std::move(aRequest), aTimeout, nullptr, false);
  }

  asio::awaitable<net_result<http_reply>> Stream(endpoint aEndpoint,
                                                 http_request aRequest,
                                                 duration aTimeout,
                                                 body_sink aSink) override
  {
    return Exchange(std::move(aEndpoint), std::move(aRequest), aTimeout, std::move(aSink), true);
  }

private:
  asio::awaitable<net_result<http_reply>> Exchange(endpoint aEndpoint,
                                                   http_request aRequest,
                                                   duration aTimeout,
                                                   body_sink aSink,
                                                   bool aUsesPool)
  {
    const ref<client_impl> self(this);
    ref<client_connection> connection = aUsesPool ? AcquireIdle(aEndpoint) : nullptr;
    if (!connection) {
      connection = MakeRef<client_connection>(mContext);
      connection->mIsPooled = aUsesPool;
    }
    const auto strand = connection->mStream.get_executor();
    std::optional<net_result<http_reply>> returned;
    co_await asio::co_spawn(
      strand,
      StoreResult(returned,
                  ExchangeOn(connection, std::move(aEndpoint), std::move(aRequest), aTimeout, std::move(aSink))),
      asio::use_awaitable);
    co_return std::move(*returned);
  }

  /// Stores the result in the caller's frame: co_spawn requires a default-constructible result, which net_result is
  /// not.
  static asio::awaitable<void> StoreResult(std::optional<net_result<http_reply>>& aResult,
                                           asio::awaitable<net_result<http_reply>> aCall)
  {
    aResult.emplace(co_await std::move(aCall));
  }

  asio::awaitable<net_result<http_reply>> ExchangeOn(ref<client_connection> aConnection,
                                                     endpoint aEndpoint,
                                                     http_request aRequest,
                                                     duration aTimeout,
                                                     body_sink aSink)
  {
    if (!aConnection->mReused) {
      BOOST_OUTCOME_CO_TRY(co_await Connect(*aConnection, aEndpoint, aTimeout));
    }
    BOOST_OUTCOME_CO_TRY(co_await SendRequest(*aConnection, aEndpoint, std::move(aRequest), aTimeout));
    bool keepAlive = false;
    // GCC 12 frees the result twice if co_await is part of a conditional expression.
    std::optional<net_result<http_reply>> reply;
    if (aSink) {
      reply.emplace(co_await ReadStreamed(*aConnection, aTimeout, aSink, keepAlive));
    } else {
      reply.emplace(co_await ReadComplete(*aConnection, aTimeout, keepAlive));
    }
    // Bytes after the response belong to no request, but would be read as the next response.
    if (reply->has_value() && keepAlive && aConnection->mIsPooled && aConnection->mBuffer.size() == 0) {
      ReleaseIdle(aEndpoint, aConnection);
    }
    co_return std::move(*reply);
  }

  asio::awaitable<net_result<void>> Connect(client_connection& aConnection,
                                            const endpoint& aEndpoint,
                                            duration aTimeout)
  {
    aConnection.mStream.expires_after(aTimeout);
    const auto [error] = co_await aConnection.mStream.async_connect(ToTcp(aEndpoint.mAddress, aEndpoint.mPort), kAwait);
    if (error) {
      co_return net_error{ net_errc::Refused, "can't connect to " + aEndpoint.Str() + ": " + error.message() };
    }
    boost::system::error_code ignored;
    aConnection.mStream.socket().set_option(tcp::no_delay(true), ignored);
    co_return outcome::success();
  }

  asio::awaitable<net_result<void>> SendRequest(client_connection& aConnection,
                                                const endpoint& aEndpoint,
                                                http_request aRequest,
                                                duration aTimeout)
  {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(aRequest.mMethod);
    message.target(aRequest.mTarget);
    SetHeaders(aRequest.mHeaders, message);
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, aEndpoint.Str());
    }
    message.body() = std::move(aRequest.mBody);
    message.prepare_payload();
    aConnection.mStream.expires_after(aTimeout);
    const auto [error, size] = co_await http::async_write(aConnection.mStream, message, kAwait);
    if (error) {
      co_return MakeNetError(error, "request to " + aEndpoint.Str(), size > 0);
    }
    co_return outcome::success();
  }

  asio::awaitable<net_result<http_reply>> ReadComplete(client_connection& aConnection,
                                                       duration aTimeout,
                                                       bool& aKeepAlive)
  {
    response_message_parser parser;
    parser.body_limit(kMaxReplyBytes);
    aConnection.mStream.expires_after(aTimeout);
    const auto [error, size] = co_await http::async_read(aConnection.mStream, aConnection.mBuffer, parser, kAwait);
    if (error) {
      co_return MakeNetError(error, "answer", true);
    }
    aKeepAlive = parser.get().keep_alive();
    http_reply reply;
    reply.mStatus = parser.get().result_int();
    reply.mHeaders = CopyHeaders(parser.get());
    reply.mBody = std::move(parser.get().body());
    co_return reply;
  }

  asio::awaitable<net_result<http_reply>> ReadStreamed(client_connection& aConnection,
                                                       duration aTimeout,
                                                       const body_sink& aSink,
                                                       bool& aKeepAlive)
  {
    response_message_parser parser;
    parser.body_limit(boost::none);
    aConnection.mStream.expires_after(aTimeout);
    const auto [headError, headSize] =
      co_await http::async_read_header(aConnection.mStream, aConnection.mBuffer, parser, kAwait);
    if (headError) {
      co_return MakeNetError(headError, "answer", true);
    }
    http_reply reply;
    reply.mStatus = parser.get().result_int();
    reply.mHeaders = CopyHeaders(parser.get());
    while (true) {
      std::string& body = parser.get().body();
      if (!body.empty() && !aSink(body)) {
        aConnection.mStream.close();
        co_return reply;
      }
      body.clear();
      if (parser.is_done()) {
        break;
      }
      aConnection.mStream.expires_after(aTimeout);
      const auto [error, size] =
        co_await http::async_read_some(aConnection.mStream, aConnection.mBuffer, parser, kAwait);
      if (error) {
        co_return MakeNetError(error, "answer", true);
      }
    }
    aKeepAlive = parser.get().keep_alive();
    co_return reply;
  }

  ref<client_connection> AcquireIdle(const endpoint& aEndpoint)
  {
    return mIdle.WithShard(aEndpoint, [&](auto& aPools) -> ref<client_connection> {
      auto found = aPools.find(aEndpoint);
      while (found != aPools.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (!connection->IsStale()) {
          connection->mReused = true;
          return connection;
        }
      }
      return nullptr;
    });
  }

  void ReleaseIdle(const endpoint& aEndpoint, const ref<client_connection>& aConnection)
  {
    mIdle.WithShard(aEndpoint, [&](auto& aPools) {
      auto& pool = aPools[aEndpoint];
      if (pool.size() < kMaxIdlePerEndpoint) {
        pool.push_back(aConnection);
      }
    });
  }

  asio::io_context& mContext;
  sharded_map<endpoint, std::vector<ref<client_connection>>> mIdle;
};

template<class Call>
net_result<http_reply> RunBlocking(Call&& aCall)
{
  asio::io_context context(1);
  auto client = http_client::Create(context);
  std::optional<net_result<http_reply>> returned;
  asio::co_spawn(
    context, [&]() -> asio::awaitable<void> { returned.emplace(co_await aCall(*client)); }, asio::detached);
  context.run();
  return *returned;
}

} // namespace

ref<http_client> http_client::Create(asio::io_context& aContext)
{
  return MakeRef<client_impl>(aContext);
}

net_result<http_reply> FetchBlocking(const endpoint& aEndpoint, const http_request& aRequest, duration aTimeout)
{
  return RunBlocking([&](http_client& aClient) { return aClient.Fetch(aEndpoint, aRequest, aTimeout); });
}

net_result<http_reply> StreamBlocking(const endpoint& aEndpoint,
                                      const http_request& aRequest,
                                      duration aTimeout,
                                      body_sink aSink)
{
  return RunBlocking([&](http_client& aClient) { return aClient.Stream(aEndpoint, aRequest, aTimeout, aSink); });
}

} // namespace chervilpulley::net
