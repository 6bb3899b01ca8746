#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"
#include "net/http.h"

/// HTTP/1.1 server. It limits what callers may send and how long they may stall, and a stop
/// does not reset connections whose requests have arrived.
namespace chervilpulley::net {

/// Limits on what a caller may send, and on how long it may stall.
struct http_limits
{
  std::size_t mMaxBodyBytes = 1U << 20U;
  std::size_t mMaxHeaderBytes = 16U << 10U;
  std::size_t mMaxConnections = 20'000;
  /// For the next request on a connection to arrive completely.
  duration mIdleTimeout = std::chrono::seconds(75);
  duration mWriteTimeout = std::chrono::seconds(30); ///< for a caller that stops reading
};

/// One request and its response. Valid until the handler returns. Output that does not fit the response so far, such as
/// a second head, fails, and the connection is closed when the handler returns.
class http_exchange
{
public:
  virtual ~http_exchange() = default;
  virtual http_request& Request() = 0;
  /// Number of requests that arrived on the connection before this one.
  virtual std::uint64_t EarlierRequests() const = 0;
  /// Strand of the connection, on which the handler runs.
  virtual boost::asio::any_io_executor Executor() = 0;
  /// Sends a complete response.
  virtual boost::asio::awaitable<net_result<void>> Reply(http_reply aReply) = 0;
  /// Starts a response of unknown length: sends the status and the headers, but not aHead's body.
  virtual boost::asio::awaitable<net_result<void>> Begin(http_reply aHead) = 0;
  /// Sends a chunk of the body.
  virtual boost::asio::awaitable<net_result<void>> Write(std::string aChunk) = 0;
  /// Ends a response started by Begin().
  virtual boost::asio::awaitable<net_result<void>> End() = 0;
  /// Sets a callback for a caller that closes the connection before the response is sent. It is called at most once, on
  /// Executor().
  virtual void OnHangUp(std::function<void()> aCallback) = 0;
};

/// Handles one request. If it returns without a response, the connection is closed.
using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// An HTTP/1.1 server with keep-alive.
class http_server : public ref_counted
{
public:
  /// Binds and starts accepting. Port 0 selects a free port.
  static net_result<ref<http_server>> Start(boost::asio::io_context& aContext,
                                            const endpoint& aEndpoint,
                                            http_handler aHandler,
                                            http_limits aLimits);
  virtual endpoint LocalEndpoint() const = 0;
  /// Stops accepting. Responses in progress are completed. A connection is closed after a response that says so, or
  /// once it has been without a request for a second.
  virtual void StopAccepting() = 0;
  /// Number of requests in progress, plus connections whose first request has not arrived yet. Not 0 while a stopping
  /// server has open connections or may still accept some: the end of the process would reset them.
  virtual std::size_t OpenExchanges() const = 0;
};

} // namespace chervilpulley::net
