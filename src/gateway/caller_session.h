#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list_hook.hpp>

#include <functional>
#include <string>
#include <string_view>

#include "base/ref_counted.h"
#include "gateway/configuration.h"
#include "net/endpoint.h"
#include "net/http.h"

/// Connections of callers. One thread.
namespace chervilpulley::gateway {

class caller_session;

/// What answers a request; it lives until it has answered or its caller has gone.
class request_handler : public ref_counted
{
public:
  /// The caller has closed its connection: nobody waits for the answer.
  virtual void OnCallerGone() = 0;
  /// All that was written has been taken by the caller's connection.
  virtual void OnWritten() = 0;
};

class caller_session : public ref_counted
{
public:
  /// The work that answers the present request; it is told when the caller goes.
  virtual void SetHandler(ref<request_handler> aWork) = 0;
  /// Sends a whole answer.
  virtual void Respond(net::http_reply aReply) = 0;
  /// Starts an answer whose length is not known, with its first bytes.
  virtual void Begin(const net::http_reply& aHead, std::string_view aBytes) = 0;
  virtual void Write(std::string_view aBytes) = 0;
  /// Ends an answer that was begun.
  virtual void Finish() = 0;
  /// Closes the connection, so that an answer that was begun does not look complete.
  virtual void Cut() = 0;
  /// Bytes written that the connection has not taken yet.
  virtual std::size_t Backlog() const = 0;
};

/// What all sessions of a listener share.
class session_host : public ref_counted
{
public:
  virtual const caller_limits& Limits() const = 0;
  /// Whether connections are closed after the present answer.
  virtual bool IsLeaving() const = 0;
  virtual void Handle(const ref<caller_session>& aSession, net::http_request aRequest) = 0;
};

/// Accepts callers.
class caller_listener : public ref_counted
{
public:
  /// Binds; nothing when the address can't be had. Connections wait until Accept is called.
  static ref<caller_listener> Open(boost::asio::io_context& aContext,
                                   const net::endpoint& aEndpoint,
                                   ref<session_host> aHost);
  /// Takes connections from now on.
  virtual void Accept() = 0;
  virtual net::endpoint LocalEndpoint() const = 0;
  /// Takes no new connections.
  virtual void StopAccepting() = 0;
  /// Closes connections that wait for a request.
  virtual void CloseIdle() = 0;
  /// Connections on which a request is being read or answered.
  virtual std::size_t Busy() const = 0;
  virtual std::size_t Open() const = 0;
};

} // namespace chervilpulley::gateway
