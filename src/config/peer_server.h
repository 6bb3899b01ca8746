#pragma once

#include <string>

#include "config/config_store.h"
#include "net/http_server.h"
#include "rpc/peer_messages.h"

/// Server side of the control calls between processes.
namespace chervilpulley::config {

/// Handles the control calls that do not concern the configuration. Called on any thread; must not block.
class control_handler
{
public:
  virtual ~control_handler() = default;
  virtual rpc::drain_reply Drain(const rpc::drain_request& aRequest) = 0;
  virtual rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) = 0;
  /// Serialized admin.instance_status of this process.
  virtual std::string Status() = 0;
};

/// Makes the handler of POST /peer for callers with the cluster key. Other requests get 404, 405 or 401.
/// @param aHandler must outlive the server.
net::http_handler MakePeerHandler(ref<config_store> aStore, control_handler& aHandler, std::string aClusterKey);

} // namespace chervilpulley::config
