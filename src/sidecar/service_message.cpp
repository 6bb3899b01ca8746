#include "sidecar/service_message.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace chervilpulley::sidecar {

namespace {

constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
constexpr std::array<std::string_view, 10> kConnectionHeaders = {
  "Connection", "Content-Length",    "Host",    "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
  "TE",         "Transfer-Encoding", "Trailer", "Upgrade",
};

bool IsConnectionHeader(std::string_view aName)
{
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), [&](std::string_view aHeader) {
    return boost::algorithm::iequals(aHeader, aName);
  });
}

bool IsForwardedToService(std::string_view aName)
{
  const bool isConsumed =
    boost::algorithm::iequals(aName, "Authorization") || boost::algorithm::iequals(aName, kIdempotencyKey);
  return !isConsumed && !IsConnectionHeader(aName);
}

} // namespace

net::http_request MakeServiceRequest(const link::service_call& aCall, const request_id& aRequest, bool aPassesKey)
{
  net::http_request request;
  request.mMethod = aCall.method();
  request.mTarget = aCall.path();
  request.mBody = aCall.body();
  for (const auto& header : aCall.headers()) {
    if (IsForwardedToService(header.name())) {
      request.mHeaders.Set(header.name(), header.value());
    }
  }
  request.mHeaders.Set("X-Request-Id", aRequest.Str());
  if (aPassesKey && !aCall.idempotency_key().empty()) {
    request.mHeaders.Set(kIdempotencyKey, aCall.idempotency_key());
  }
  return request;
}

link::service_reply MakeServiceReply(const net::http_reply& aReply)
{
  link::service_reply reply;
  reply.set_status(aReply.mStatus);
  reply.set_body(aReply.mBody);
  for (const auto& header : aReply.mHeaders.All()) {
    if (!IsConnectionHeader(header.mName)) {
      auto* copy = reply.add_headers();
      copy->set_name(header.mName);
      copy->set_value(header.mValue);
    }
  }
  return reply;
}

journal::answer MakeStoredResponse(const link::service_reply& aReply)
{
  journal::answer answer;
  answer.set_status(aReply.status());
  answer.set_body(aReply.body());
  for (const auto& header : aReply.headers()) {
    auto* copy = answer.add_headers();
    copy->set_name(header.name());
    copy->set_value(header.value());
  }
  return answer;
}

link::service_reply MakeReplay(const journal::answer& aResponse)
{
  link::service_reply reply;
  reply.set_status(aResponse.status());
  reply.set_body(aResponse.body());
  reply.set_replayed(true);
  for (const auto& header : aResponse.headers()) {
    auto* copy = reply.add_headers();
    copy->set_name(header.name());
    copy->set_value(header.value());
  }
  return reply;
}

link::refusal MakeRefusal(const instance_id& aInstance,
                          link::refusal_reason aReason,
                          link::call_outcome aOutcome,
                          std::string aMessage)
{
  link::refusal refusal;
  refusal.set_reason(aReason);
  refusal.set_outcome(aOutcome);
  refusal.set_message(std::move(aMessage));
  refusal.set_instance(aInstance.Str());
  return refusal;
}

} // namespace chervilpulley::sidecar
