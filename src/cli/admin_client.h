#pragma once

#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "base/result.h"
#include "chervilpulley/units.h"
#include "generated/admin.pb.h"
#include "net/endpoint.h"

/// Client of the admin API. Separates failures that surely changed nothing from those whose outcome is unknown.
namespace chervilpulley::cli {

/// Why an operator's call failed, as far as the caller can tell.
enum class client_errc
{
  Refused,     ///< invalid, not found, or not allowed
  Conflict,    ///< another change was accepted first
  Unavailable, ///< nothing was changed
  Unknown      ///< a change may or may not have been accepted
};

/// A failed call.
struct client_error
{
  client_errc mCode = client_errc::Unavailable;
  std::string mMessage;
};

/// The response to a call, or why it failed.
template<class T>
using client_result = result<T, client_error>;

/// How to call the admin server of an entry.
struct client_options
{
  net::endpoint mAddress;
  std::string mKey; ///< "name.secret"
  duration mTimeout = std::chrono::seconds(10);
};

/// Calls the admin server of an entry; each call blocks.
class admin_client : public ref_counted
{
public:
  static ref<admin_client> Create(const client_options& aOptions);

  virtual client_result<admin::apply_reply> Apply(const admin::apply_request& aRequest) = 0;
  virtual client_result<admin::get_reply> Get(const admin::get_request& aRequest) = 0;
  virtual client_result<admin::list_reply> List(const admin::list_request& aRequest) = 0;
  virtual client_result<admin::audit_reply> Audit(const admin::audit_request& aRequest) = 0;
  virtual client_result<admin::rollout_reply> GetRollout(const admin::rollout_request& aRequest) = 0;
  virtual client_result<admin::drain_reply> Drain(const admin::drain_request& aRequest) = 0;
  virtual client_result<admin::status_reply> Status() = 0;
  /// Passes entries of the change log to aSink until it returns false or the stream ends.
  virtual client_result<void> Watch(const admin::watch_request& aRequest,
                                    const std::function<bool(const admin::log_entry&)>& aSink) = 0;
};

} // namespace chervilpulley::cli
