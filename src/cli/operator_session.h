#pragma once

#include <optional>

#include "cli/admin_client.h"
#include "cli/cli.h"
#include "cli/exit_code.h"

/// Flags, connection and error output shared by all operators' commands.
namespace chervilpulley::cli {

/// The flag --output, table or json.
inline constexpr flag kOutput{ "output", "operator_output", 'o' };

/// Adds the flags that all operators' commands accept: --address, --key-file, --timeout-ms.
std::vector<flag> WithClientFlags(std::vector<flag> aFlags);

/// Whether --output selects JSON.
bool IsJson();

/// Whether --output has a valid value; prints an error when not.
bool CheckOutput(std::string_view aCommand, streams aStreams);

/// The object kind that a word names; prints an error when there is none.
std::optional<admin::object_kind> ReadKind(std::string_view aCommand, const std::string& aWord, streams aStreams);

/// Creates a client from these flags and the environment; prints an error when they are invalid.
/// @return null when they are invalid.
ref<admin_client> Connect(std::string_view aCommand, streams aStreams);

/// The exit status for an error.
int ExitOf(const client_error& aError);

/// Prints an error and returns its exit status.
int Fail(std::string_view aCommand, const client_error& aError, streams aStreams);

} // namespace chervilpulley::cli
