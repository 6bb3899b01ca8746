#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

/// Flags of commands. gflags holds their types, defaults and help texts; because its registry is global, each flag is
/// registered as "<group>_<name>", and a command lists the flags that it accepts and the names they are typed with.
namespace chervilpulley::cli {

/// A flag that a command accepts.
struct flag
{
  std::string_view mName;       ///< as typed, with dashes: "key-file"
  std::string_view mRegistered; ///< name in the registry of gflags: "client_key_file"
  char mShort = 0;              ///< one-letter form, or 0
};

/// Why a command line is invalid.
struct usage_error
{
  std::string mText;
};

/// The words of a command line after the command's name.
struct parsed_command_line
{
  std::vector<std::string> mArguments; ///< words that are not flags, in order
  bool mHelp = false;                  ///< --help or -h was given
};

/// Sets the flags of a command from its words; rejects unknown flags, with a suggestion.
result<parsed_command_line, usage_error> ParseFlags(const std::vector<std::string>& aWords,
                                                    const std::vector<flag>& aFlags);

/// One line of help for each flag.
std::string DescribeFlags(const std::vector<flag>& aFlags);

/// Resets flags to their defaults, for a process that parses several command lines.
void ResetFlags(const std::vector<flag>& aFlags);

} // namespace chervilpulley::cli
