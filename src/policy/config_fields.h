#pragma once

#include "generated/admin.pb.h"
#include "policy/config_rules.h"

/// Checks of single fields of the configuration, which refuse a malformed change before it is compared with the other
/// objects.
namespace chervilpulley::policy {

/// Checks the fields of one object without regard to other objects: names, ranges, hashes.
change_result<void> CheckFields(const admin::object& aObject);
/// Checks a change id, which the caller chooses.
change_result<void> CheckChangeId(const std::string& aChangeId);

} // namespace chervilpulley::policy
