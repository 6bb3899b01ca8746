#pragma once

#include <string>

#include "base/result.h"
#include "rpc/peer_error.h"
#include "rpc/peer_messages.h"

/// Encodes and decodes control calls between processes as JSON-RPC bodies. The caller provides the transport.
/// Malformed bodies yield errors and never throw.
namespace chervilpulley {
namespace rpc {

template<class T>
using peer_result = result<T, peer_error>;

/// Handles the body of one call and returns the response body, a JSON-RPC error if the call is malformed.
std::string HandlePeerCall(peer_handler& aHandler, const std::string& aBody);

std::string MakePullConfigCall(const pull_config_request& aRequest);
std::string MakeDrainCall(const drain_request& aRequest);
std::string MakeReportSuspectCall(const report_suspect_request& aRequest);
std::string MakeGetStatusCall();

peer_result<pull_config_reply> ParsePullConfigReply(const std::string& aBody);
peer_result<drain_reply> ParseDrainReply(const std::string& aBody);
peer_result<report_suspect_reply> ParseReportSuspectReply(const std::string& aBody);
peer_result<get_status_reply> ParseGetStatusReply(const std::string& aBody);

} // namespace rpc
} // namespace chervilpulley
