#include "gateway/permit_messages.h"

#include <algorithm>

#include "gateway/json_read.h"

namespace chervilpulley::gateway {

namespace {

constexpr std::string_view kAskField = "permits_wanted";
constexpr std::string_view kGrantField = "permits";
constexpr std::string_view kServerField = "server";
constexpr std::string_view kStartedAtField = "started_at";
constexpr std::string_view kGatewayField = "gateway";
constexpr std::string_view kDemandField = "per_second";
constexpr std::string_view kExpiredField = "expired"; ///< permits that were not used; missing for none
constexpr std::string_view kLimitField = "limit";     ///< missing when the server names none
constexpr std::string_view kAgeField = "ms_ago";
/// Largest number of permits that is read, and largest age: what is known of a server is dropped earlier.
constexpr std::uint64_t kMaxPermits = 100'000;
constexpr std::uint64_t kMaxAgeMs = 3'600'000;

/// What asks and grants have in common.
struct limit_fields
{
  policy::server_start mServer;
  std::optional<double> mLimit;
  duration mAge{ 0 };
};

void Encode(const limit_fields& aFields, boost::json::object& aObject)
{
  aObject[kServerField] = aFields.mServer.mId.Str();
  aObject[kStartedAtField] = aFields.mServer.mStartedAt;
  if (aFields.mLimit) {
    aObject[kLimitField] = *aFields.mLimit;
  }
  aObject[kAgeField] = std::max<std::int64_t>(0, std::chrono::floor<std::chrono::milliseconds>(aFields.mAge).count());
}

std::optional<limit_fields> Decode(const boost::json::object& aObject)
{
  const auto* server = aObject.if_contains(kServerField);
  const auto* limit = aObject.if_contains(kLimitField);
  const auto startedAt = wire::Count(aObject.if_contains(kStartedAtField));
  const auto age = wire::Count(aObject.if_contains(kAgeField));
  const auto rate = wire::Number(limit);
  const bool isLimitValid = limit == nullptr || (rate && *rate >= 0);
  if (server == nullptr || !server->is_string() || server->as_string().empty() || !startedAt || !age || !isLimitValid) {
    return std::nullopt;
  }
  return limit_fields{ { backend_id(std::string(server->as_string())), *startedAt },
                       rate,
                       std::chrono::milliseconds(std::min(*age, kMaxAgeMs)) };
}

std::uint32_t ToPermits(std::uint64_t aCount)
{
  return static_cast<std::uint32_t>(std::min(aCount, kMaxPermits));
}

} // namespace

boost::json::object EncodePermitAsk(const permit_ask& aAsk)
{
  boost::json::object object{ { kAskField, aAsk.mDemand.mWanted },
                              { kDemandField, aAsk.mDemand.mPerSecond },
                              { kExpiredField, aAsk.mDemand.mExpired },
                              { kGatewayField, aAsk.mGateway.Str() } };
  Encode({ aAsk.mServer, aAsk.mLimit, aAsk.mKnownFor }, object);
  return object;
}

std::optional<permit_ask> DecodePermitAsk(const boost::json::object& aObject)
{
  const auto wanted = wire::Count(aObject.if_contains(kAskField));
  const auto demand = wire::Number(aObject.if_contains(kDemandField));
  const auto expired = wire::Count(aObject.if_contains(kExpiredField));
  const auto* gateway = aObject.if_contains(kGatewayField);
  auto fields = Decode(aObject);
  if (!wanted || !demand || *demand < 0 || gateway == nullptr || !gateway->is_string() || !fields) {
    return std::nullopt;
  }
  return permit_ask{ std::move(fields->mServer),
                     instance_id(std::string(gateway->as_string())),
                     { *demand, ToPermits(*wanted), ToPermits(expired.value_or(0)) },
                     fields->mLimit,
                     fields->mAge };
}

boost::json::object EncodePermitGrant(const permit_grant& aGrant)
{
  boost::json::object object{ { kGrantField, aGrant.mPermits } };
  Encode({ aGrant.mServer, aGrant.mLimit, aGrant.mKnownFor }, object);
  return object;
}

std::optional<permit_grant> DecodePermitGrant(const boost::json::object& aObject)
{
  const auto permits = wire::Count(aObject.if_contains(kGrantField));
  auto fields = Decode(aObject);
  if (!permits || !fields) {
    return std::nullopt;
  }
  return permit_grant{ std::move(fields->mServer), ToPermits(*permits), fields->mLimit, fields->mAge };
}

} // namespace chervilpulley::gateway
