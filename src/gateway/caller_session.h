#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list_hook.hpp>

#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "base/ref_counted.h"
#include "gateway/configuration.h"
#include "net/endpoint.h"
#include "net/http.h"

/// Accepts callers' connections and serves HTTP requests on them, with limits on time and size so that slow or faulty
/// callers can't exhaust the gateway. Single-threaded.
namespace chervilpulley::gateway {

class caller_session;
class request_memory;

/// Produces the response to a request. The session keeps it alive until the response is complete or the caller has
/// disconnected. Both functions are called from the event loop and never from within a call of the session, so a
/// handler may end its request in them.
class request_handler : public ref_counted
{
public:
  /// The caller has closed its connection, so the response is no longer needed.
  virtual void OnCallerGone() = 0;
  /// Output that had to wait has all been passed to the caller's connection.
  virtual void OnWritten() = 0;
};

/// A caller's connection, as seen by the handler of its current request. Output that does not fit the response so far,
/// such as a second head, is not sent and closes the connection. Output after the end of the response is ignored.
class caller_session : public ref_counted
{
public:
  /// Sets the handler of the current request, which is notified when the caller disconnects.
  virtual void SetHandler(ref<request_handler> aHandler) = 0;
  /// Sends a complete response.
  virtual void Respond(net::http_reply aReply) = 0;
  /// Begins a response of unknown length with its head and first bytes.
  virtual void Begin(const net::http_reply& aHead, std::string_view aBytes) = 0;
  /// Appends bytes to a response that was begun.
  virtual void Write(std::string_view aBytes) = 0;
  /// Completes a response that was begun.
  virtual void Finish() = 0;
  /// Closes the connection, so that a response that was begun does not look complete.
  virtual void Abort() = 0;
  /// Bytes written that have not been passed to the connection yet.
  virtual std::size_t Backlog() const = 0;
};

/// Settings and request handling shared by all sessions of a listener.
class session_host : public ref_counted
{
public:
  virtual const caller_limits& Limits() const = 0;
  /// Whether the instance is leaving, so that connections are closed after the current response.
  virtual bool IsLeaving() const = 0;
  /// Counts what the connections hold; null if that is not limited.
  virtual request_memory* Memory() { return nullptr; }
  /// Maximum number of open connections.
  virtual std::size_t MaxConnections() const { return std::numeric_limits<std::size_t>::max(); }
  /// Handles a request that was read completely, and responds through aSession.
  virtual void Handle(const ref<caller_session>& aSession, net::http_request aRequest) = 0;
};

/// Listens for callers and keeps track of their sessions.
class caller_listener : public ref_counted
{
public:
  /// Binds to an address and returns a listener, or null if binding fails. Connections wait until Accept() is called.
  static ref<caller_listener> Open(boost::asio::io_context& aContext,
                                   const net::endpoint& aEndpoint,
                                   ref<session_host> aHost);
  /// Starts accepting connections.
  virtual void Accept() = 0;
  virtual net::endpoint LocalEndpoint() const = 0;
  /// Stops accepting new connections.
  virtual void StopAccepting() = 0;
  /// Closes connections without a request in progress. New ones get aFirstRequestTime for their first request.
  virtual void CloseIdle(duration aFirstRequestTime) = 0;
  /// Logs the connections that the end of the process cuts off.
  virtual void LogOpen(instant aNow) const = 0;
  /// Number of open connections.
  virtual std::size_t Open() const = 0;
  /// Number of connections closed since the start because there were too many.
  virtual std::uint64_t ClosedForRoom() const = 0;
};

} // namespace chervilpulley::gateway
