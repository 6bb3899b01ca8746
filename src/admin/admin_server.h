#pragma once

#include <string>

#include "admin/admin_backend.h"
#include "net/endpoint.h"

namespace chervilpulley::admin {

/// How the operators' server listens.
struct admin_options
{
  net::endpoint mEndpoint;
  std::string mBootstrapKey; ///< see Authenticate(); may be empty
};

/// The gRPC server for operators, see schema/admin.proto. Has a bounded number of threads of its own.
class admin_server : public ref_counted
{
public:
  /// Binds and starts to serve. Port 0 takes a free one.
  /// @param aBackend must outlive the server.
  static admin_result<ref<admin_server>> Start(const admin_options& aOptions, admin_backend& aBackend);
  virtual net::endpoint LocalEndpoint() const = 0;
  /// Ends watches, lets other calls finish for a moment, and closes the listener. Blocks; may be called twice.
  virtual void Stop() = 0;
};

} // namespace chervilpulley::admin
