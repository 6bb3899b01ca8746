#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway/store_cache.h"
#include "net/http.h"

/// Messages between a relay and its readers, which are gateways of the same failure domain. A reader requests what is
/// newer than its own state, and the relay delays the response until it has updates (long polling). HTTP with JSON
/// bodies, between processes of the same release.
namespace chervilpulley::gateway {

/// A reader's request for everything newer than its position.
struct relay_request
{
  cache_position mPosition;
  duration mWait{ 0 };              ///< maximum wait for updates
  relay_confirmation mConfirmation; ///< of the last response; another one is an update
};

/// The relay's response.
struct relay_response
{
  cache_updates mUpdates;
  duration mWaited{ 0 }; ///< from the arrival of the request until the updates were composed
};

net::http_request EncodeRelayRequest(const relay_request& aMessage);
/// Returns nothing for a malformed request.
std::optional<relay_request> DecodeRelayRequest(const net::http_request& aRequest);
std::string EncodeRelayResponse(const relay_response& aResponse);
/// Returns nothing and sets aFault to the reason for a malformed body.
std::optional<relay_response> DecodeRelayResponse(std::string_view aBody, std::string& aFault);

} // namespace chervilpulley::gateway
