#pragma once

#include <boost/json/object.hpp>

#include <optional>

#include "gateway/server_limits.h"

/// Datagrams in which gateways ask for the permits of limited servers and grant them: JSON objects of about 130 bytes,
/// between processes of the same release. A gateway of an earlier release does not answer an ask.
namespace chervilpulley::gateway {

boost::json::object EncodePermitAsk(const permit_ask& aAsk);
/// Returns nothing for an object that is no ask, or malformed.
std::optional<permit_ask> DecodePermitAsk(const boost::json::object& aObject);
boost::json::object EncodePermitGrant(const permit_grant& aGrant);
/// Returns nothing for an object that is no grant, or malformed.
std::optional<permit_grant> DecodePermitGrant(const boost::json::object& aObject);

} // namespace chervilpulley::gateway
