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

/// HTTP/1.1 client with pooled connections. Its errors tell whether a failed request may have reached the server, which
/// decides whether a caller may retry it.
namespace chervilpulley::net {

/// Receives a chunk of a streamed body; returns false to close the connection early.
using body_sink = std::function<bool(std::string_view)>;

/// An HTTP/1.1 client with a pool of idle connections for each endpoint. Thread-safe.
class http_client : public ref_counted
{
public:
  static ref<http_client> Create(boost::asio::io_context& aContext);

  /// Sends a request at most once and reads the complete response. Idle connections that the server has closed are
  /// discarded before use. If a request fails after some of it was sent, the error has mMaybeSent.
  virtual boost::asio::awaitable<net_result<http_reply>> Fetch(endpoint aEndpoint,
                                                               http_request aRequest,
                                                               duration aTimeout) = 0;

  /// Like Fetch, but on a connection that is used for this request alone, so that no response to an earlier one can be
  /// taken for its own.
  virtual boost::asio::awaitable<net_result<http_reply>> FetchAlone(endpoint aEndpoint,
                                                                    http_request aRequest,
                                                                    duration aTimeout) = 0;

  /// Like Fetch, but passes the body to aSink in chunks; mBody of the response stays empty.
  /// @param aTimeout timeout for the headers, and then for each chunk.
  virtual boost::asio::awaitable<net_result<http_reply>> Stream(endpoint aEndpoint,
                                                                http_request aRequest,
                                                                duration aTimeout,
                                                                body_sink aSink) = 0;
};

/// Fetch for callers without an event loop (tests, command line): runs its own loop until the call completes.
net_result<http_reply> FetchBlocking(const endpoint& aEndpoint, const http_request& aRequest, duration aTimeout);

/// Stream for callers without an event loop.
net_result<http_reply> StreamBlocking(const endpoint& aEndpoint,
                                      const http_request& aRequest,
                                      duration aTimeout,
                                      body_sink aSink);

} // namespace chervilpulley::net
