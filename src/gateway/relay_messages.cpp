#include "gateway/relay_messages.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "gateway/json_read.h"

namespace chervilpulley::gateway {

namespace {

namespace json = boost::json;

constexpr std::string_view kPath = "/relay";
constexpr std::string_view kConfiguration = "configuration";
constexpr std::string_view kVersion = "version"; ///< of the reader's configuration
constexpr std::string_view kMembers = "members";
constexpr std::string_view kEra = "era"; ///< of the store, of the revisions beside it; 0 if missing
constexpr std::string_view kWait = "wait_us";
constexpr std::string_view kWaited = "waited_us";
constexpr std::string_view kConfirmedAge = "confirmed_age_us";
constexpr std::string_view kConfirmation = "confirmation";
constexpr std::string_view kStoreServedFor = "store_served_us";
constexpr std::string_view kListAge = "list_age_us";
constexpr std::string_view kConfigurationVersion = "configuration_version";
constexpr std::string_view kMembersRevision = "members_revision";
constexpr std::string_view kListIsLost = "list_lost";
constexpr std::string_view kIsWhole = "whole";
constexpr std::string_view kIsTooLarge = "too_large";
constexpr std::string_view kChanges = "changes";
constexpr std::string_view kName = "name";
constexpr std::string_view kRevision = "revision";
constexpr std::string_view kSpec = "spec";
constexpr std::string_view kDeleted = "deleted";

/// One day. Longer durations are reduced to it, since a peer may send any number.
constexpr std::uint64_t kMaxMicroseconds = 86'400'000'000;

std::int64_t Microseconds(duration aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
}

duration FromMicroseconds(std::uint64_t aCount)
{
  const auto count = static_cast<std::int64_t>(std::min<std::uint64_t>(aCount, kMaxMicroseconds));
  return std::chrono::duration_cast<duration>(std::chrono::microseconds(count));
}

std::optional<std::uint64_t> NumberIn(const net::http_request& aRequest, std::string_view aName)
{
  const auto text = net::QueryValue(aRequest.mTarget, aName);
  std::uint64_t number = 0;
  if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc()) {
    return std::nullopt;
  }
  return number;
}

policy::store_era EraIn(const json::value& aValue)
{
  return policy::store_era(wire::Count(wire::Field(aValue, kEra)).value_or(0));
}

json::object Encode(const wire::record& aObject)
{
  return { { kName, aObject.mName },
           { kRevision, aObject.mRevision.mNumber },
           { kEra, aObject.mRevision.mEra.Value() },
           { kSpec, aObject.mSpec } };
}

std::optional<wire::record> DecodeObject(const json::value& aValue)
{
  auto name = wire::Text(wire::Field(aValue, kName));
  auto spec = wire::Text(wire::Field(aValue, kSpec));
  const auto revision = wire::Count(wire::Field(aValue, kRevision));
  if (!name || !spec || !revision) {
    return std::nullopt;
  }
  return wire::record{ std::move(*name), { EraIn(aValue), *revision }, std::move(*spec) };
}

bool DecodeChanges(const json::value& aResponse, std::vector<wire::record_change>& aChanges)
{
  const json::array* changes = wire::List(wire::Field(aResponse, kChanges));
  if (changes == nullptr) {
    return false;
  }
  for (const json::value& change : *changes) {
    auto object = DecodeObject(change);
    if (!object) {
      return false;
    }
    aChanges.push_back({ std::move(*object), wire::Flag(wire::Field(change, kDeleted)) });
  }
  return true;
}

} // namespace

net::http_request EncodeRelayRequest(const relay_request& aMessage)
{
  net::http_request request;
  request.mTarget = fmt::format("{}?{}={}&{}={}&{}={}&{}={}&{}={}",
                                kPath,
                                kVersion,
                                aMessage.mPosition.mConfiguration,
                                kMembers,
                                aMessage.mPosition.mMembers.mNumber,
                                kEra,
                                aMessage.mPosition.mMembers.mEra.Value(),
                                kWait,
                                Microseconds(aMessage.mWait),
                                kConfirmation,
                                aMessage.mConfirmation.Value());
  return request;
}

std::optional<relay_request> DecodeRelayRequest(const net::http_request& aRequest)
{
  const auto configuration = NumberIn(aRequest, kVersion);
  const auto members = NumberIn(aRequest, kMembers);
  const auto wait = NumberIn(aRequest, kWait);
  if (net::PathOf(aRequest.mTarget) != kPath || !configuration || !members || !wait) {
    return std::nullopt;
  }
  const policy::store_era era(NumberIn(aRequest, kEra).value_or(0));
  const relay_confirmation confirmation(NumberIn(aRequest, kConfirmation).value_or(0));
  return relay_request{ { *configuration, { era, *members } }, FromMicroseconds(*wait), confirmation };
}

std::string EncodeRelayResponse(const relay_response& aResponse)
{
  json::object response{ { kWaited, Microseconds(aResponse.mWaited) },
                         { kConfirmation, aResponse.mUpdates.mConfirmation.Value() },
                         { kConfigurationVersion, aResponse.mUpdates.mConfigurationVersion },
                         { kMembersRevision, aResponse.mUpdates.mMembersRevision.mNumber },
                         { kEra, aResponse.mUpdates.mMembersRevision.mEra.Value() },
                         { kListIsLost, aResponse.mUpdates.mListIsLost },
                         { kIsWhole, aResponse.mUpdates.mIsWhole },
                         { kIsTooLarge, aResponse.mUpdates.mIsTooLarge } };
  if (aResponse.mUpdates.mConfirmedAge) {
    response[kConfirmedAge] = Microseconds(*aResponse.mUpdates.mConfirmedAge);
  }
  if (aResponse.mUpdates.mStoreServedFor) {
    response[kStoreServedFor] = Microseconds(*aResponse.mUpdates.mStoreServedFor);
  }
  if (aResponse.mUpdates.mListAge) {
    response[kListAge] = Microseconds(*aResponse.mUpdates.mListAge);
  }
  if (aResponse.mUpdates.mConfiguration) {
    response[kConfiguration] = Encode(*aResponse.mUpdates.mConfiguration);
  }
  json::array changes;
  for (const wire::record_change& change : aResponse.mUpdates.mChanges) {
    json::object object = Encode(change.mObject);
    if (change.mIsDeleted) {
      object[kDeleted] = true;
    }
    changes.push_back(std::move(object));
  }
  response[kChanges] = std::move(changes);
  return json::serialize(response);
}

std::optional<relay_response> DecodeRelayResponse(std::string_view aBody, std::string& aFault)
{
  const auto value = wire::Parse(aBody, aFault);
  if (!value) {
    return std::nullopt;
  }
  const auto waited = wire::Count(wire::Field(*value, kWaited));
  const auto configuration = wire::Count(wire::Field(*value, kConfigurationVersion));
  const auto members = wire::Count(wire::Field(*value, kMembersRevision));
  if (!waited || !configuration || !members) {
    aFault = "not a response of a relay";
    return std::nullopt;
  }
  relay_response response;
  response.mWaited = FromMicroseconds(*waited);
  response.mUpdates.mConfigurationVersion = *configuration;
  response.mUpdates.mMembersRevision = { EraIn(*value), *members };
  response.mUpdates.mConfirmation = relay_confirmation(wire::Count(wire::Field(*value, kConfirmation)).value_or(0));
  response.mUpdates.mListIsLost = wire::Flag(wire::Field(*value, kListIsLost));
  response.mUpdates.mIsWhole = wire::Flag(wire::Field(*value, kIsWhole));
  response.mUpdates.mIsTooLarge = wire::Flag(wire::Field(*value, kIsTooLarge));
  if (const auto age = wire::Count(wire::Field(*value, kConfirmedAge))) {
    response.mUpdates.mConfirmedAge = FromMicroseconds(*age);
  }
  if (const auto time = wire::Count(wire::Field(*value, kStoreServedFor))) {
    response.mUpdates.mStoreServedFor = FromMicroseconds(*time);
  }
  if (const auto age = wire::Count(wire::Field(*value, kListAge))) {
    response.mUpdates.mListAge = FromMicroseconds(*age);
  }
  if (const json::value* record = wire::Field(*value, kConfiguration)) {
    response.mUpdates.mConfiguration = DecodeObject(*record);
    if (!response.mUpdates.mConfiguration) {
      aFault = "malformed configuration";
      return std::nullopt;
    }
  }
  if (!DecodeChanges(*value, response.mUpdates.mChanges)) {
    aFault = "malformed changes";
    return std::nullopt;
  }
  return response;
}

} // namespace chervilpulley::gateway
