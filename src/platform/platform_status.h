#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/http_client.h"
#include "platform/object_store.h"

/// Turns what the network layer and the platform's status codes say into errors of the platform layer.
namespace chervilpulley::platform {

/// The error of a call that changes nothing; nothing when it was answered with success.
/// @param aWhat names what was read, for the message.
std::optional<platform_error> ReadError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat);
/// The error of a call that may change something.
std::optional<platform_error> WriteError(const net::net_result<net::http_reply>& aReply, std::string_view aWhat);
/// The error of an answer that can't be read.
platform_error BadReply(std::string aMessage);

} // namespace chervilpulley::platform
