#pragma once

#include <optional>
#include <string>
#include <string_view>

/// API keys of callers and operators. A key is "name.secret". Only a salted hash of the secret is stored, so that the
/// stored configuration does not reveal it.
namespace chervilpulley::config {

/// The two parts of a key. Both are views of the text that was split.
struct key_parts
{
  std::string_view mName;
  std::string_view mSecret;
};

/// Splits a key at its first dot. Returns nothing if there is no dot or a part is empty.
std::optional<key_parts> SplitKey(std::string_view aKey);
/// Hashes a secret with a new random salt. Returns "salt$hash", both in hex.
std::string HashKey(std::string_view aSecret);
/// Hashes a secret with the given salt. Returns "salt$hash".
std::string HashKey(std::string_view aSecret, std::string_view aSalt);
/// Whether a stored "salt$hash" was made from the secret. Compares in constant time.
bool VerifyKey(std::string_view aSecret, std::string_view aStoredHash);

} // namespace chervilpulley::config
