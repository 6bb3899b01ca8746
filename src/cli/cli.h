#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "cli/flags.h"
#include "generated/settings.pb.h"

/// The command line `chervilpulley <command> [flags]`: finds the command, parses its flags and runs it.
namespace chervilpulley::cli {

/// Output streams of a command.
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

/// A role in which a process can run; each becomes a command `NAME --settings FILE`.
struct role_command
{
  std::string_view mName;
  std::string_view mHelp;
  int (*mRun)(const settings::settings&);
};

/// All commands: one for each role, and those for operators.
std::vector<command> Commands(const std::vector<role_command>& aRoles);

/// Runs the command that the first word names.
/// @return the exit status, see exit_code.h.
int RunCommandLine(const std::vector<std::string>& aWords, const std::vector<command>& aCommands, streams aStreams);

/// Implements main(), with the standard output streams.
int Main(int aCount, char** aWords, const std::vector<role_command>& aRoles);

} // namespace chervilpulley::cli
