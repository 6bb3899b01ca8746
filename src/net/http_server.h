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

namespace chervilpulley::net {

/// Bounds on what a caller may send. Sizes in bytes.
struct http_limits
{
  std::size_t mMaxBodyBytes = 1U << 20U;
  std::size_t mMaxHeaderBytes = 16U << 10U;
  std::size_t mMaxConnections = 20'000;
  duration mIdleTimeout = std::chrono::seconds(75);
  duration mWriteTimeout = std::chrono::seconds(30); ///< for a caller that stops reading
};

/// One request and the way to answer it. Valid until the handler has returned.
class http_exchange
{
public:
  virtual ~http_exchange() = default;
  virtual http_request& Request() = 0;
  /// Strand of the connection; the handler runs on it.
  virtual boost::asio::any_io_executor Executor() = 0;
  /// Sends a whole answer.
  virtual boost::asio::awaitable<net_result<void>> Reply(http_reply aReply) = 0;
  /// Starts an answer of unknown length; its body is not sent.
  virtual boost::asio::awaitable<net_result<void>> Begin(http_reply aHead) = 0;
  /// Sends a piece of the body.
  virtual boost::asio::awaitable<net_result<void>> Write(std::string aPiece) = 0;
  /// Ends an answer begun by Begin().
  virtual boost::asio::awaitable<net_result<void>> End() = 0;
  /// Sets what is called, at most once and on Executor(), when the caller closes the connection before the answer.
  virtual void OnHangUp(std::function<void()> aCallback) = 0;
};

/// Answers one request. If it returns without an answer, the connection is closed.
using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// An HTTP/1.1 server with keep-alive.
class http_server : public ref_counted
{
public:
  /// Binds and starts to accept. Port 0 takes a free one.
  static net_result<ref<http_server>> Start(boost::asio::io_context& aContext,
                                            const endpoint& aEndpoint,
                                            http_handler aHandler,
                                            http_limits aLimits);
  virtual endpoint LocalEndpoint() const = 0;
  /// Stops accepting and closes idle connections. Answers in progress go on, then their connections close; a caller
  /// that has connected and sent nothing yet has a second for its request.
  virtual void StopAccepting() = 0;
  /// Number of requests that are being answered, and of connections whose first request has not come yet. Not 0 while
  /// a server that stops may still take connections.
  virtual std::size_t OpenExchanges() const = 0;
};

} // namespace chervilpulley::net
