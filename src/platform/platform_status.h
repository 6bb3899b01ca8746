#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "platform/object_store.h"

/// Maps errors of the network layer and the platform's HTTP status codes to platform_error. Reads and writes map
/// differently: a write that failed may still have taken effect.
namespace chervilpulley::platform {

/// Error of a call without side effects; nullopt when it succeeded.
/// @param aWhat subject of the call, for the message.
std::optional<platform_error> ReadError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat);
/// Error of a call with side effects; nullopt when it succeeded.
std::optional<platform_error> WriteError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat);
/// Error for a malformed response.
platform_error BadReply(std::string aMessage);

} // namespace chervilpulley::platform
