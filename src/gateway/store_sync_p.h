#pragma once

#include "gateway/store_sync.h"

/// Times that the parts of store_sync share.
namespace chervilpulley::gateway {

/// Minimum interval between two queries of a relay, or two watches, that respond at once.
inline constexpr duration kMinQueryInterval = std::chrono::milliseconds(20);
/// Pause after a failed call, and before sources are looked for again.
inline constexpr duration kShortPause = std::chrono::milliseconds(100);
/// Time by which the response of a relay may be late.
inline constexpr duration kRelaySlack = std::chrono::milliseconds(150);

} // namespace chervilpulley::gateway
