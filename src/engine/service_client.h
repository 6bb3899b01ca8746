#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

#include "base/ref_counted.h"
#include "base/result.h"
#include "chervilpulley/units.h"
#include "net/http_client.h"

/// Client of a plain service. Its errors tell whether a failed call may have run, which decides whether it may be
/// retried.
namespace chervilpulley::engine {

/// Whether a call that got no response may have run.
enum class service_errc
{
  NotSent, ///< nothing was sent: it did not run
  MaybeRun ///< something was sent: it may have run
};

struct service_error
{
  service_errc mCode = service_errc::MaybeRun;
  std::string mMessage;
};

using service_result = result<net::http_reply, service_error>;

/// A plain service at one address. Thread-safe.
class service_client : public ref_counted
{
public:
  static ref<service_client> Create(ref<net::http_client> aHttp, net::endpoint aEndpoint);
  /// Sends a request once, without retries, and reads the complete response. An error status is a response, not an
  /// error.
  virtual boost::asio::awaitable<service_result> Call(net::http_request aRequest, duration aTimeout) = 0;
};

} // namespace chervilpulley::engine
