#pragma once

#include <string>

namespace chervilpulley {
namespace rpc {

/// What went wrong with a control call between two processes.
enum class peer_errc
{
  Unreachable,  ///< the peer did not answer
  Unauthorized, ///< the cluster key was refused
  Malformed,    ///< the body is not a JSON-RPC message of ours
  Failed        ///< the peer answered with an error
};

struct peer_error
{
  peer_errc mCode = peer_errc::Unreachable;
  std::string mMessage;
};

/// Short English text of a code, for messages.
const char* PeerErrorText(peer_errc aCode);

} // namespace rpc
} // namespace chervilpulley
