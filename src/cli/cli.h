#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cli/flags.h"
#include "generated/settings.pb.h"

/// The command line: `chervilpulley <command> [flags]`.
namespace chervilpulley::cli {

/// Where a command writes.
struct streams
{
  std::ostream& mOut;
  std::ostream& mErr;
};

/// A command of the program.
struct command
{
  std::string_view mName;
  std::string_view mArguments; ///< shown in the usage line after the name
  std::string_view mHelp;      ///< one line
  std::vector<flag> mFlags;
  std::size_t mMinArguments = 0;
  std::size_t mMaxArguments = 0;
  std::function<int(const std::vector<std::string>& aArguments, streams aStreams)> mRun;
};

/// A role that a process can take on; each becomes a command `NAME --settings FILE`.
struct role_command
{
  std::string_view mName;
  std::string_view mHelp;
  int (*mRun)(const settings::settings&);
};

/// All commands: the roles, and those for operators.
std::vector<command> Commands(const std::vector<role_command>& aRoles);

/// Runs the command that the words name.
/// @return the exit status, see exit_code.h.
int RunCommandLine(const std::vector<std::string>& aWords, const std::vector<command>& aCommands, streams aStreams);

/// The program's main(), over the process's own output streams.
int Main(int aCount, char** aWords, const std::vector<role_command>& aRoles);

} // namespace chervilpulley::cli
