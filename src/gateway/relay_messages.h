#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway/store_cache.h"
#include "net/http.h"

/// What gateways of a failure domain say to each other about the store: a reader asks for what is newer than it has,
/// and the answer waits until there is something. HTTP with JSON bodies, between processes of one release.
namespace chervilpulley::gateway {

struct relay_request
{
  cache_position mPosition;
  duration mWait{ 0 }; ///< longest wait for news
};

struct relay_response
{
  cache_updates mUpdates;
  duration mWaited{ 0 }; ///< from the question's arrival until the news was composed
};

net::http_request EncodeRelayRequest(const relay_request& aQuestion);
/// Nothing for what is no such question.
std::optional<relay_request> DecodeRelayRequest(const net::http_request& aRequest);
std::string EncodeRelayResponse(const relay_response& aAnswer);
/// Nothing, and the reason, for what can't be read.
std::optional<relay_response> DecodeRelayResponse(std::string_view aBody, std::string& aFault);

} // namespace chervilpulley::gateway
