#include "rpc/peer_error.h"

namespace chervilpulley {
namespace rpc {

const char* PeerErrorText(peer_errc aCode)
{
  switch (aCode) {
    case peer_errc::Unreachable:
      return "peer did not answer";
    case peer_errc::Unauthorized:
      return "peer refused the cluster key";
    case peer_errc::Malformed:
      return "message is not a control call";
    case peer_errc::Failed:
      return "peer answered with an error";
  }
  return "unknown error";
}

} // namespace rpc
} // namespace chervilpulley
