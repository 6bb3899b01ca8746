#pragma once

#include <optional>

#include "cli/admin_client.h"
#include "cli/cli.h"
#include "cli/exit_code.h"

namespace chervilpulley::cli {

/// The flag --output, table or json.
inline constexpr flag kOutput{ "output", "operator_output", 'o' };

/// These flags, and those that every operator's command takes: --address, --key-file, --timeout-ms.
std::vector<flag> WithClientFlags(std::vector<flag> aFlags);

/// Tells whether the output is to be JSON.
bool IsJson();

/// Tells whether --output has one of its values; prints a fault when not.
bool CheckOutput(std::string_view aCommand, streams aStreams);

/// The kind that a word names; prints a fault when there is none.
std::optional<admin::object_kind> ReadKind(std::string_view aCommand, const std::string& aWord, streams aStreams);

/// Connects as those flags and the environment say; prints what is wrong with them.
/// @return null when they can't be used.
ref<admin_client> Connect(std::string_view aCommand, streams aStreams);

/// The exit status that stands for an error.
int ExitOf(const client_error& aError);

/// Prints an error and gives its exit status.
int Fail(std::string_view aCommand, const client_error& aError, streams aStreams);

} // namespace chervilpulley::cli
