#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

/// Flags of commands. gflags keeps their types, defaults and help; since its registry is global, each flag is
/// registered as "<group>_<name>", and a command says which of them it takes and under which name.
namespace chervilpulley::cli {

/// A flag that a command takes.
struct flag
{
  std::string_view mName;       ///< as typed, with dashes: "key-file"
  std::string_view mRegistered; ///< name in the registry of gflags: "client_key_file"
  char mShort = 0;              ///< one-letter form, or 0
};

/// A command line that can't be understood.
struct usage_error
{
  std::string mText;
};

/// What was on a command line after the command's name.
struct parsed_command_line
{
  std::vector<std::string> mArguments; ///< what is not a flag, in order
  bool mHelp = false;                  ///< --help or -h was there
};

/// Sets the flags that a command takes from its words; all others are refused, with a suggestion.
result<parsed_command_line, usage_error> ParseFlags(const std::vector<std::string>& aWords,
                                                    const std::vector<flag>& aFlags);

/// One line of help for each flag.
std::string DescribeFlags(const std::vector<flag>& aFlags);

/// Sets flags back to their defaults, for a process that parses several command lines.
void ResetFlags(const std::vector<flag>& aFlags);

} // namespace chervilpulley::cli
