#pragma once

#include <string>

namespace chervilpulley {
namespace rpc {

/// Reason why a control call between two processes failed.
enum class peer_errc
{
  Unreachable,  ///< the peer did not respond
  Unauthorized, ///< the peer rejected the cluster key
  Malformed,    ///< the body is not a valid JSON-RPC message of this API
  Failed        ///< the peer returned an error
};

struct peer_error
{
  peer_errc mCode = peer_errc::Unreachable;
  std::string mMessage;
};

/// Short description of a code, for error messages.
const char* PeerErrorText(peer_errc aCode);

} // namespace rpc
} // namespace chervilpulley
