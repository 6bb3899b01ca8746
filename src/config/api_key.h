#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Keys of callers and operators. A key is "name.secret"; only a salted hash of the secret is stored.
namespace chervilpulley::config {

/// A key in its two parts; both refer to the text that was split.
struct key_parts
{
  std::string_view mName;
  std::string_view mSecret;
};

/// Splits at the first dot; nothing when a part is empty or there is no dot.
std::optional<key_parts> SplitKey(std::string_view aKey);
/// "salt$hash" of a secret under a salt drawn now, both in hex.
std::string HashKey(std::string_view aSecret);
/// "salt$hash" of a secret under this salt.
std::string HashKey(std::string_view aSecret, std::string_view aSalt);
/// Tells whether a stored "salt$hash" belongs to the secret; compares in constant time.
bool VerifyKey(std::string_view aSecret, std::string_view aStoredHash);

} // namespace chervilpulley::config
