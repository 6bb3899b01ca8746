#pragma once

#include <string>

#include "chervilpulley/ids.h"
#include "generated/journal.pb.h"
#include "generated/link.pb.h"
#include "net/http.h"

/// Converts the messages of a service call between link, HTTP and journal. Headers of one connection and credentials of
/// the caller do not cross it.
namespace chervilpulley::sidecar {

/// Builds the request for the service, without the caller's Authorization and the headers of the caller's connection.
/// @param aPassesKey whether the service accepts an Idempotency-Key header.
net::http_request MakeServiceRequest(const link::service_call& aCall, const request_id& aRequest, bool aPassesKey);
/// Builds the link message from the service's response, without the headers of the service's connection.
link::service_reply MakeServiceReply(const net::http_reply& aReply);
/// Builds the form of the response that the journal keeps.
journal::answer MakeStoredResponse(const link::service_reply& aReply);
/// Builds the response to a retry from the stored first one; it is marked as replayed.
link::service_reply MakeReplay(const journal::answer& aResponse);

/// Builds a refusal of a service call.
link::refusal MakeRefusal(const instance_id& aInstance,
                          link::refusal_reason aReason,
                          link::call_outcome aOutcome,
                          std::string aMessage);

} // namespace chervilpulley::sidecar
