#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace chervilpulley::cli {

/// A key and what the configuration keeps of it.
struct new_key
{
  std::string mKey;  ///< "name.secret"
  std::string mHash; ///< "salt$sha256hex(salt + secret)"
};

/// A name that can't be the name of a key.
struct key_error
{
  std::string mText;
};

/// Draws a secret and a salt for a name.
result<new_key, key_error> MakeKey(std::string_view aName);

} // namespace chervilpulley::cli
