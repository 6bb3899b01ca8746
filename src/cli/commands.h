#pragma once

#include <vector>

#include "cli/cli.h"

/// The commands of the program, by group.
namespace chervilpulley::cli {

/// check-settings, settings-reference, make-key, version.
std::vector<command> LocalCommands();
/// apply, delete.
std::vector<command> ChangeCommands();
/// get, watch, audit, status, rollout, drain.
std::vector<command> OperatorCommands();
/// explain, requests, late, events-reference.
std::vector<command> LogCommands();
/// explain-route.
command ExplainRouteCommand();
/// load.
command LoadCommand();
/// The command that runs a process in a role.
command RoleCommand(const role_command& aRole);

} // namespace chervilpulley::cli
