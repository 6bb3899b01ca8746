#include "cli/key.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/random.h"
#include "config/api_key.h"

namespace chervilpulley::cli {

namespace {

constexpr std::size_t kSecretBytes = 24;
constexpr std::size_t kMaxNameChars = 63;

bool IsNameChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') || (aChar >= '0' && aChar <= '9') ||
         aChar == '-' || aChar == '_';
}

} // namespace

result<new_key, key_error> MakeKey(std::string_view aName)
{
  const bool hasValidLength = !aName.empty() && aName.size() <= kMaxNameChars;
  if (!hasValidLength || !std::all_of(aName.begin(), aName.end(), IsNameChar)) {
    return key_error{ fmt::format(
      "name \"{}\" must be 1 to {} letters, digits, \"-\" or \"_\"", aName, kMaxNameChars) };
  }
  const std::string secret = RandomHex(kSecretBytes);
  return new_key{ std::string(aName) + "." + secret, config::HashKey(secret) };
}

} // namespace chervilpulley::cli
