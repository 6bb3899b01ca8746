#pragma once

#include "cli/admin_client.h"
#include "cli/cli.h"
#include "cli/exit_code.h"

namespace chervilpulley::cli {

/// Flags that every operator's command takes: --address, --key-file, --timeout-ms.
std::vector<flag> ClientFlags();

/// Connects as those flags and the environment say; prints what is wrong with them.
/// @return null when they can't be used.
ref<admin_client> Connect(std::string_view aCommand, streams aStreams);

/// The exit status that stands for an error.
int ExitOf(const client_error& aError);

/// Prints an error and gives its exit status.
int Fail(std::string_view aCommand, const client_error& aError, streams aStreams);

} // namespace chervilpulley::cli
