#pragma once

#include <boost/asio/io_context.hpp>

#include <string>
#include <string_view>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"
#include "net/http.h"

/// Requests to backend servers over kept connections, with answers handed on as they arrive. One thread.
namespace chervilpulley::gateway {

/// How a call has ended.
enum class call_end
{
  Complete, ///< the answer is complete
  Unsent,   ///< no connection was made: the request did not reach the server
  Cut       ///< the connection ended, or what came was no answer: the request may have run
};

/// Is told what comes of a call. No calls come after OnEnd() or Cancel().
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
  std::string mRequestId; ///< an answer that names another request is passed over
  duration mConnectTimeout{ 0 };
  bool mNewConnection = false; ///< a kept connection might be reset, and then nobody knows whether the request ran
};

class backend_call : public ref_counted
{
public:
  /// Ends the call and its connection, which tells the server to stop.
  virtual void Cancel() = 0;
  /// Stops or goes on reading, for a caller that reads slowly.
  virtual void SetPaused(bool aIsPaused) = 0;
};

class backend_calls : public ref_counted
{
public:
  static ref<backend_calls> Create(boost::asio::io_context& aContext);
  /// Sends a request. The owner is not called before this returns.
  virtual ref<backend_call> Start(const call_options& aOptions, net::http_request aRequest, call_handler& aOwner) = 0;
  /// Connections opened so far.
  virtual std::uint64_t ConnectionsOpened() const = 0;
};

} // namespace chervilpulley::gateway
