#pragma once

#include <string>

#include "admin/admin_backend.h"
#include "net/endpoint.h"

namespace chervilpulley::admin {

/// Options of the operators' server.
struct admin_options
{
  net::endpoint mEndpoint;
  std::string mBootstrapKey; ///< see Authenticate(); may be empty
};

/// The gRPC server for operators, see schema/admin.proto. Runs on a bounded number of its own threads, so that
/// operators' calls can't block requests of callers.
class admin_server : public ref_counted
{
public:
  /// Binds the address and starts to serve. Port 0 selects a free port.
  /// @param aBackend must outlive the server.
  static admin_result<ref<admin_server>> Start(const admin_options& aOptions, admin_backend& aBackend);
  /// The address that the server listens on.
  virtual net::endpoint LocalEndpoint() const = 0;
  /// Ends watches, gives other calls a short time to finish, and closes the listener. Blocks; may be called twice.
  virtual void Stop() = 0;
};

} // namespace chervilpulley::admin
