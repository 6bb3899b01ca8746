#include "config/api_key.h"

#include "base/random.h"

namespace chervilpulley::config {

namespace {

constexpr std::size_t kSaltBytes = 16;
constexpr char kNameEnd = '.';
constexpr char kSaltEnd = '$';

} // namespace

std::optional<key_parts> SplitKey(std::string_view aKey)
{
  const auto dot = aKey.find(kNameEnd);
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == aKey.size()) {
    return std::nullopt;
  }
  return key_parts{ aKey.substr(0, dot), aKey.substr(dot + 1) };
}

std::string HashKey(std::string_view aSecret)
{
  return HashKey(aSecret, RandomHex(kSaltBytes));
}

std::string HashKey(std::string_view aSecret, std::string_view aSalt)
{
  std::string salted(aSalt);
  salted.append(aSecret);
  return std::string(aSalt) + kSaltEnd + Sha256Hex(salted);
}

bool VerifyKey(std::string_view aSecret, std::string_view aStoredHash)
{
  const auto end = aStoredHash.find(kSaltEnd);
  if (end == std::string_view::npos) {
    return false;
  }
  return EqualConstantTime(HashKey(aSecret, aStoredHash.substr(0, end)), aStoredHash);
}

} // namespace chervilpulley::config
