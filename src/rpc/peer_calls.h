#pragma once

#include <string>

#include "base/result.h"
#include "rpc/peer_error.h"
#include "rpc/peer_messages.h"

/// Turns control calls into JSON-RPC bodies and back. The transport is the caller's.
namespace chervilpulley {
namespace rpc {

template<class T>
using peer_result = result<T, peer_error>;

/// Answers the body of one call; a call that can't be read is answered with a JSON-RPC error.
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
