#pragma once

#include <string>

#include "config/config_store.h"
#include "net/http_server.h"
#include "rpc/peer_messages.h"

namespace chervilpulley::config {

/// What a process does with the control calls that are not about the configuration. Called on any thread; must not
/// block.
class control_handler
{
public:
  virtual ~control_handler() = default;
  virtual rpc::drain_reply Drain(const rpc::drain_request& aRequest) = 0;
  virtual rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) = 0;
  /// Serialized admin.instance_status of this process.
  virtual std::string Status() = 0;
};

/// Answers POST /peer of callers that show the cluster key; everything else gets 404, 405 or 401.
/// @param aHandler must outlive the server.
net::http_handler MakePeerHandler(ref<config_store> aStore, control_handler& aHandler, std::string aClusterKey);

} // namespace chervilpulley::config
