#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"
#include "net/http.h"

namespace chervilpulley::net {

/// Takes a piece of a streamed body; returns false to close the connection early.
using body_sink = std::function<bool(std::string_view)>;

/// An HTTP/1.1 client with a pool of kept connections for each endpoint. Thread-safe.
class http_client : public ref_counted
{
public:
  static ref<http_client> Create(boost::asio::io_context& aContext);

  /// Sends a request and reads the whole answer. A request on a kept connection that turns out closed is sent again
  /// on a new one only if nothing of it can have been processed; otherwise the error has mMaybeSent.
  virtual boost::asio::awaitable<net_result<http_reply>> Fetch(endpoint aEndpoint,
                                                               http_request aRequest,
                                                               duration aTimeout) = 0;

  /// Like Fetch, but hands the body to aSink piece by piece; the reply's mBody stays empty.
  /// @param aTimeout longest wait for the head, and then for each piece.
  virtual boost::asio::awaitable<net_result<http_reply>> Stream(endpoint aEndpoint,
                                                                http_request aRequest,
                                                                duration aTimeout,
                                                                body_sink aSink) = 0;
};

/// Fetch for callers without an event loop (tests, command line): runs a loop of its own until the answer is there.
net_result<http_reply> FetchBlocking(const endpoint& aEndpoint, const http_request& aRequest, duration aTimeout);

/// Stream for callers without an event loop.
net_result<http_reply> StreamBlocking(const endpoint& aEndpoint,
                                      const http_request& aRequest,
                                      duration aTimeout,
                                      body_sink aSink);

} // namespace chervilpulley::net
