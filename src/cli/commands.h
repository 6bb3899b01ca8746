#pragma once

#include <vector>

#include "cli/cli.h"

namespace chervilpulley::cli {

/// check-settings, settings-reference, make-key, version.
std::vector<command> LocalCommands();
/// A process in a role.
command RoleCommand(const role_command& aRole);

} // namespace chervilpulley::cli
