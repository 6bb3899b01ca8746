#pragma once

#include <string>

#include "chervilpulley/ids.h"
#include "generated/journal.pb.h"
#include "generated/link.pb.h"
#include "net/http.h"

/// Messages of a service call, turned from one form into another.
namespace chervilpulley::sidecar {

/// The request for the service: without the caller's Authorization and what concerns the caller's connection only.
/// @param aPassesKey whether the service takes an Idempotency-Key.
net::http_request MakeServiceRequest(const link::service_call& aCall, const request_id& aRequest, bool aPassesKey);
link::service_reply MakeServiceReply(const net::http_reply& aReply);
journal::answer MakeStoredResponse(const link::service_reply& aReply);
/// The first answer, given again.
link::service_reply MakeReplay(const journal::answer& aResponse);

/// A refusal of a service call.
link::refusal MakeRefusal(const instance_id& aInstance,
                          link::refusal_reason aReason,
                          link::call_outcome aOutcome,
                          std::string aMessage);

} // namespace chervilpulley::sidecar
