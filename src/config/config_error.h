#pragma once

#include <string>

#include "base/result.h"
#include "chervilpulley/ids.h"

/// Errors of the configuration store. They tell a caller whether a failed change may have taken effect.
namespace chervilpulley::config {

/// Why a call to the configuration store failed.
enum class config_errc
{
  Invalid,       ///< the change is malformed
  NotFound,      ///< an object that the change refers to does not exist
  AlreadyExists, ///< an object that the change creates already exists
  Referenced,    ///< another object refers to one that the change deletes or modifies
  Conflict,      ///< another change was accepted first
  Unavailable,   ///< the platform can't be reached; the change certainly has no effect
  Unknown,       ///< the change may have taken effect; a retry is safe
  BadData        ///< an object in the platform can't be read
};

/// A failed call.
struct config_error
{
  config_errc mCode = config_errc::Unavailable;
  std::string mMessage;
  revision_number mRevision; ///< in a conflict, the revision that was accepted first
};

template<class T>
using config_result = result<T, config_error>;

} // namespace chervilpulley::config
