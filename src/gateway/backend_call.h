#pragma once

#include <boost/asio/io_context.hpp>

#include <string>
#include <string_view>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"
#include "net/http.h"

/// HTTP requests to backend servers over pooled connections, with responses forwarded as they arrive. Responses without
/// end, or to other requests, are bounded, so that a faulty server can't exhaust the gateway. Single-threaded.
namespace chervilpulley::gateway {

/// How a call ended.
enum class call_end
{
  Complete, ///< the response is complete
  Unsent,   ///< no connection was made, so the request did not reach the server
  Abort     ///< the connection broke or the bytes were no valid response; the request may have run
};

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

struct call_options
{
  net::endpoint mServer;
  std::string mRequestId; ///< a response that names another request is skipped
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
};

/// Starts calls to backend servers and reuses their connections.
class backend_calls : public ref_counted
{
public:
  static ref<backend_calls> Create(boost::asio::io_context& aContext);
  /// Starts a call. The handler is not called before this returns; it must live until OnEnd() or Cancel().
  virtual ref<backend_call> Start(const call_options& aOptions, net::http_request aRequest, call_handler& aHandler) = 0;
  /// Number of connections opened so far.
  virtual std::uint64_t ConnectionsOpened() const = 0;
};

} // namespace chervilpulley::gateway
