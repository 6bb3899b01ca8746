#pragma once

#include <string>

#include "base/result.h"
#include "generated/admin.pb.h"
#include "policy/config_objects.h"

/// Validation of configuration changes, so that every accepted revision is consistent: references resolve, fields are
/// in range, and expected versions match.
namespace chervilpulley::policy {

/// Why a change is refused.
enum class change_errc
{
  Invalid,       ///< a field is missing, malformed or out of its range
  NotFound,      ///< the object, or an object that it refers to, does not exist
  AlreadyExists, ///< the object to be created already exists
  Referenced,    ///< another object refers to the one to be deleted or changed
  Conflict       ///< an expected version does not match
};

/// A refused change.
struct change_error
{
  change_errc mCode = change_errc::Invalid;
  std::string mMessage; ///< names the object and the field
};

template<class T>
using change_result = result<T, change_error>;

/// Describes an object for messages: `workspace "x"`, or `route "x" in workspace "y"`.
std::string Describe(const admin::object_ref& aRef);

/// Validates a change against the current objects and applies it to a copy of them.
/// @param aVersion new version of the changed objects.
/// @return the objects after the change.
change_result<config_objects> ApplyChecked(const config_objects& aObjects,
                                           const admin::change& aChange,
                                           std::uint64_t aVersion);

/// Applies a change that was already accepted, without validation.
void ApplyAccepted(config_objects& aObjects, const admin::change& aChange, std::uint64_t aVersion);

} // namespace chervilpulley::policy
