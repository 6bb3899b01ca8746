#pragma once

#include <string>

#include "base/result.h"
#include "chervilpulley/ids.h"

namespace chervilpulley::config {

/// What went wrong with a call to the configuration.
enum class config_errc
{
  Invalid,       ///< the change is malformed
  NotFound,      ///< an object that the change names does not exist
  AlreadyExists, ///< an object that the change creates exists
  Referenced,    ///< an object that the change deletes or changes is still referred to
  Conflict,      ///< another change came first
  Unavailable,   ///< the platform can't be reached; the change surely has no effect
  Unknown,       ///< the change may have taken effect; sending it again is safe
  BadData        ///< an object in the platform can't be read
};

struct config_error
{
  config_errc mCode = config_errc::Unavailable;
  std::string mMessage;
  revision_number mRevision; ///< of a conflict: the revision that came first
};

template<class T>
using config_result = result<T, config_error>;

} // namespace chervilpulley::config
