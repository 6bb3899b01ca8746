#pragma once

#include "generated/admin.pb.h"
#include "policy/config_rules.h"

namespace chervilpulley::policy {

/// Checks the fields of one object by themselves: names, ranges, hashes.
change_result<void> CheckFields(const admin::object& aObject);
/// Checks an identifier that a caller chose, such as a change id.
change_result<void> CheckChangeId(const std::string& aChangeId);

} // namespace chervilpulley::policy
