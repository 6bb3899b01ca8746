#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "admin/admin_backend.h"
#include "admin/principal.h"

namespace chervilpulley::admin {

/// The operators' calls, independent of the transport: each authenticates the caller, checks the role and the request,
/// and calls the backend. Thread-safe. Each call takes the value of the metadata "authorization".
class admin_calls
{
public:
  /// @param aBootstrapKey see Authenticate(); may be empty.
  admin_calls(admin_backend& aBackend, std::string aBootstrapKey);

  admin_result<apply_reply> Apply(std::string_view aAuthorization, const apply_request& aRequest);
  admin_result<get_reply> Get(std::string_view aAuthorization, const get_request& aRequest);
  admin_result<list_reply> List(std::string_view aAuthorization, const list_request& aRequest);
  admin_result<audit_reply> Audit(std::string_view aAuthorization, const audit_request& aRequest);
  admin_result<rollout_reply> GetRollout(std::string_view aAuthorization, const rollout_request& aRequest);
  admin_result<drain_reply> Drain(std::string_view aAuthorization, const drain_request& aRequest);
  admin_result<status_reply> Status(std::string_view aAuthorization, const status_request& aRequest);

  /// Receives one entry of the log; returns false to end the watch.
  using entry_sink = std::function<bool(const log_entry&)>;
  /// Passes the entries after a revision to the sink as they are accepted, until the sink returns false or aIsOver()
  /// returns true.
  admin_result<void> Watch(std::string_view aAuthorization,
                           const watch_request& aRequest,
                           const entry_sink& aSink,
                           const std::function<bool()>& aIsOver);

private:
  admin_result<principal> Caller(std::string_view aAuthorization);
  /// Applies a change with the key hashes in force filled in; retries when the configuration has changed meanwhile.
  admin_result<applied_change> ApplyKeepingHashes(const change& aChange, const std::string& aActor);
  admin_result<applied_change> Validate(const change& aChange);

  admin_backend& mBackend;
  const std::string mBootstrapKey;
};

} // namespace chervilpulley::admin
