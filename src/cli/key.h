#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

/// Generates keys for callers and operators; the configuration stores only a salted hash.
namespace chervilpulley::cli {

/// A key and the hash that the configuration stores.
struct new_key
{
  std::string mKey;  ///< "name.secret"
  std::string mHash; ///< "salt$sha256hex(salt + secret)"
};

/// Why a name can't be the name of a key.
struct key_error
{
  std::string mText;
};

/// Generates a key with a random secret and salt for a name.
result<new_key, key_error> MakeKey(std::string_view aName);

} // namespace chervilpulley::cli
