#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "policy/member_table.h"

/// HTTP requests to backend servers over pooled connections, with responses forwarded as they arrive. Responses without
/// end, or to other requests, are bounded, so that a faulty server can't exhaust the gateway. Single-threaded.
namespace chervilpulley::gateway {

namespace wire {
struct response_metadata;
}

/// How a call ended.
enum class call_end
{
  Complete, ///< the response is complete by its length or its last chunk
  Closed,   ///< the response has neither and ended with its connection, as it also does when the server terminates
  Unsent,   ///< no connection was made, so the request did not reach the server
  Abort     ///< the connection broke or the bytes were no valid response; the request may have run
};

/// Whether the response is whole, so that it may be passed on or believed. What has arrived of another one may be the
/// beginning of anything.
inline bool IsWhole(call_end aEnd)
{
  return aEnd == call_end::Complete || aEnd == call_end::Closed;
}

/// Receives the response of a call in pieces. No function is called after OnEnd() or Cancel().
class call_handler
{
public:
  virtual void OnHead(unsigned aStatus, net::http_headers aHeaders) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnEnd(call_end aEnd, const std::string& aReason) = 0;

protected:
  ~call_handler() = default;
};

/// A backend server as a call's destination.
struct backend_address
{
  policy::server_start mServer;
  net::endpoint mEndpoint;
};

struct call_options
{
  backend_address mTo;
  std::string mRequestId; ///< a response that names another request is skipped; empty if the request has no ID
  duration mConnectTimeout{ 0 };
  /// Whether to avoid pooled connections: one might be reset, which leaves it unknown whether the request ran.
  bool mNeedsNewConnection = false;
};

/// A request to a backend server in progress.
class backend_call : public ref_counted
{
public:
  /// Ends the call and closes its connection, at which the server stops running the request.
  virtual void Cancel() = 0;
  /// Pauses or resumes reading the response, for a caller that reads slowly.
  virtual void SetPaused(bool aIsPaused) = 0;
  /// Whether the response whose head was passed on certainly belongs to this request: it names the request, or it is
  /// the first on its connection. On a reused connection, a response without an ID may be an earlier one sent again.
  virtual bool IsResponseCertain() const = 0;
};

/// Gets the head of a response, with the server that the call was meant for and when its request was sent;
/// the epoch of the clock when the response may belong to an earlier request.
using head_observer = std::function<void(const policy::server_start&, const wire::response_metadata&, instant)>;

/// Starts calls to backend servers and reuses their connections.
class backend_calls : public ref_counted
{
public:
  static ref<backend_calls> Create(boost::asio::io_context& aContext);
  /// Sets the callback for the head of every final response, whatever the call is for and also when the response
  /// belongs to another request. It is called before the handler of the call.
  virtual void OnEachHead(head_observer aObserver) = 0;
  /// Starts a call. The handler is not called before this returns; it must live until OnEnd() or Cancel().
  virtual ref<backend_call> Start(const call_options& aOptions, net::http_request aRequest, call_handler& aHandler) = 0;
  /// Number of connections opened so far.
  virtual std::uint64_t ConnectionsOpened() const = 0;
  /// Limits the number of idle connections to all servers, which are kept for further requests.
  virtual void LimitIdle(std::size_t aConnections) = 0;
};

} // namespace chervilpulley::gateway
