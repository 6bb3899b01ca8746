#pragma once

#include "chervilpulley/units.h"

/// Closes a listening socket to new callers without resetting those whose connection is being established.
namespace chervilpulley::net {

/// Time within which handshakes that have begun end, so that their connections can be accepted.
constexpr duration kHandshakeTime = std::chrono::milliseconds(200);

/// Makes a listening socket ignore new handshakes, but not those that have begun. The caller of an ignored one tries
/// again after a second, and is refused if the socket has been closed by then. Returns false where the system can't.
bool IgnoreNewHandshakes(int aListener);

} // namespace chervilpulley::net
