#include "policy/claim_key.h"

#include <algorithm>

#include "base/random.h"

namespace chervilpulley::policy {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr std::size_t kUuidTimeDigits = 12;
constexpr std::size_t kKeyDigestBytes = 16;

int HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return -1;
}

bool IsDashIndex(std::size_t aIndex)
{
  return aIndex == 8 || aIndex == 13 || aIndex == 18 || aIndex == 23;
}

bool IsUuid(std::string_view aKey)
{
  if (aKey.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < aKey.size(); ++i) {
    const bool fits = IsDashIndex(i) ? aKey[i] == '-' : HexDigit(aKey[i]) >= 0;
    if (!fits) {
      return false;
    }
  }
  return true;
}

/// Joins three strings, with the lengths of the first two in front, so that no two lists give the same text.
std::string Join(std::string_view aFirst, std::string_view aSecond, std::string_view aThird)
{
  std::string text = std::to_string(aFirst.size()) + ":" + std::to_string(aSecond.size()) + ":";
  text += aFirst;
  text += aSecond;
  text += aThird;
  return text;
}

std::string Digest(std::string_view aText, std::size_t aBytes)
{
  const std::string hex = Sha256Hex(aText);
  std::string bytes;
  for (std::size_t i = 0; i < aBytes; ++i) {
    bytes.push_back(static_cast<char>(HexDigit(hex[2 * i]) * 16 + HexDigit(hex[2 * i + 1])));
  }
  return bytes;
}

} // namespace

claim_key MakeClaimKey(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey)
{
  return claim_key(Digest(Join(aWorkspace.Str(), aRoute.Str(), aKey), kKeyDigestBytes));
}

body_digest MakeBodyDigest(std::string_view aMethod, std::string_view aPath, std::string_view aBody)
{
  std::uint64_t number = 0;
  for (char byte : Digest(Join(aMethod, aPath, aBody), sizeof number)) {
    number = (number << 8U) | static_cast<unsigned char>(byte);
  }
  return body_digest(number);
}

std::string ClaimPartitionPrefix(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey)
{
  const std::string name = aWorkspace.Str() + "/" + aRoute.Str() + "/";
  const std::uint64_t partition = StableHash(name + std::string(aKey)) % kClaimPartitions;
  return "bookings/" + name + std::to_string(partition) + "/";
}

std::optional<calendar_time> TimeOfKey(std::string_view aKey)
{
  if (!IsUuid(aKey) || aKey[kUuidVersionIndex] != '7') {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  std::size_t digits = 0;
  for (std::size_t i = 0; digits < kUuidTimeDigits; ++i) {
    if (IsDashIndex(i)) {
      continue;
    }
    milliseconds = milliseconds * 16 + HexDigit(aKey[i]);
    ++digits;
  }
  return calendar_time(std::chrono::milliseconds(milliseconds));
}

bool MayDispatch(const claim_lifetime& aLifetime, calendar_time aNow)
{
  return aNow <= aLifetime.mExpires;
}

std::optional<claim_lifetime> LifetimeOfKey(std::string_view aKey,
                                            calendar_time aNow,
                                            std::chrono::milliseconds aRetention)
{
  const auto retention = std::clamp(aRetention, std::chrono::milliseconds::zero(), kMaxRetention);
  const auto keyTime = TimeOfKey(aKey);
  if (!keyTime) {
    return claim_lifetime{ aNow + retention, std::nullopt };
  }
  if (*keyTime > aNow + kClockMargin) {
    return std::nullopt;
  }
  return claim_lifetime{ std::max(aNow, *keyTime) + retention, *keyTime + retention };
}

} // namespace chervilpulley::policy
