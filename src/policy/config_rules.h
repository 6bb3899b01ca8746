#pragma once

#include <string>

#include "base/result.h"
#include "generated/admin.pb.h"
#include "policy/config_objects.h"

/// What a change of the configuration must satisfy.
namespace chervilpulley::policy {

/// Why a change is refused.
enum class change_errc
{
  Invalid,       ///< a field is missing, malformed or out of its range
  NotFound,      ///< the object, or one that it refers to, does not exist
  AlreadyExists, ///< the object to be created exists
  Referenced,    ///< another object still refers to the one to be deleted or changed
  Conflict       ///< an expected version does not hold
};

struct change_error
{
  change_errc mCode = change_errc::Invalid;
  std::string mMessage; ///< names the object and the field
};

template<class T>
using change_result = result<T, change_error>;

/// An object as messages name it: `workspace "x"`, or `route "x" in workspace "y"`.
std::string Describe(const admin::object_ref& aRef);

/// Checks a change against the objects that it is to change, and applies it to a copy of them.
/// @param aVersion version that the changed objects get.
/// @return the objects after the change.
change_result<config_objects> ApplyChecked(const config_objects& aObjects,
                                           const admin::change& aChange,
                                           std::uint64_t aVersion);

/// Applies a change that was accepted before, without checks.
void ApplyAccepted(config_objects& aObjects, const admin::change& aChange, std::uint64_t aVersion);

} // namespace chervilpulley::policy
