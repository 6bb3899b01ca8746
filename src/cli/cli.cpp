#include "cli/cli.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "cli/commands.h"
#include "cli/exit_code.h"
#include "cli/suggest.h"

namespace chervilpulley::cli {

namespace {

void PrintCommands(const std::vector<command>& aCommands, std::ostream& aOut)
{
  aOut << "Usage: chervilpulley <command> [flags]\n\nCommands:\n";
  for (const command& each : aCommands) {
    aOut << fmt::format("  {:<20} {}\n", each.mName, each.mHelp);
  }
  aOut << fmt::format("  {:<20} {}\n", "help [COMMAND]", "Prints this text, or the help of a command.");
  aOut << "\n`chervilpulley <command> --help` lists the flags of a command.\n"
          "Exit status: 0 done, 1 refused or invalid, 2 wrong command line, 3 unavailable, 4 conflict, 5 unknown "
          "outcome.\n";
}

void PrintHelp(const command& aCommand, std::ostream& aOut)
{
  const std::string_view space = aCommand.mArguments.empty() ? "" : " ";
  const std::string_view flags = aCommand.mFlags.empty() ? "" : " [flags]";
  aOut << fmt::format(
    "Usage: chervilpulley {}{}{}{}\n\n{}\n", aCommand.mName, space, aCommand.mArguments, flags, aCommand.mHelp);
  if (!aCommand.mFlags.empty()) {
    aOut << "\nFlags:\n" << DescribeFlags(aCommand.mFlags);
  }
}

const command* FindCommand(const std::vector<command>& aCommands, std::string_view aName)
{
  const auto found =
    std::find_if(aCommands.begin(), aCommands.end(), [&](const command& aEach) { return aEach.mName == aName; });
  return found == aCommands.end() ? nullptr : &*found;
}

int UnknownCommand(const std::string& aName, const std::vector<command>& aCommands, streams aStreams)
{
  std::vector<std::string> known{ "help" };
  for (const command& each : aCommands) {
    known.emplace_back(each.mName);
  }
  const std::string suggestion = Suggest(aName, known);
  const std::string hint =
    suggestion.empty() ? "`chervilpulley help` lists all" : fmt::format("did you mean \"{}\"?", suggestion);
  aStreams.mErr << fmt::format("chervilpulley: command \"{}\" does not exist; {}\n", aName, hint);
  return ExitUsage;
}

int Help(const std::vector<std::string>& aWords, const std::vector<command>& aCommands, streams aStreams)
{
  if (aWords.size() < 2) {
    PrintCommands(aCommands, aStreams.mOut);
    return ExitOk;
  }
  const command* found = FindCommand(aCommands, aWords[1]);
  if (found == nullptr) {
    return UnknownCommand(aWords[1], aCommands, aStreams);
  }
  PrintHelp(*found, aStreams.mOut);
  return ExitOk;
}

int UsageError(const command& aCommand, const std::string& aText, streams aStreams)
{
  aStreams.mErr << fmt::format(
    "{}: {}\n`chervilpulley {} --help` shows how it is used\n", aCommand.mName, aText, aCommand.mName);
  return ExitUsage;
}

int RunCommand(const command& aCommand, const std::vector<std::string>& aWords, streams aStreams)
{
  ResetFlags(aCommand.mFlags);
  const auto parsed = ParseFlags(aWords, aCommand.mFlags);
  if (!parsed) {
    return UsageError(aCommand, parsed.error().mText, aStreams);
  }
  const parsed_command_line& line = parsed.value();
  if (line.mHelp) {
    PrintHelp(aCommand, aStreams.mOut);
    return ExitOk;
  }
  if (line.mArguments.size() < aCommand.mMinArguments) {
    return UsageError(aCommand, fmt::format("an argument is missing ({})", aCommand.mArguments), aStreams);
  }
  if (line.mArguments.size() > aCommand.mMaxArguments) {
    const std::string& extra = line.mArguments[aCommand.mMaxArguments];
    return UsageError(aCommand, fmt::format("argument \"{}\" is one too many", extra), aStreams);
  }
  return aCommand.mRun(line.mArguments, aStreams);
}

} // namespace

std::vector<command> Commands(const std::vector<role_command>& aRoles)
{
  std::vector<command> all;
  all.reserve(aRoles.size());
  for (const role_command& role : aRoles) {
    all.push_back(RoleCommand(role));
  }
  for (auto group : { ChangeCommands(), OperatorCommands(), LogCommands(), LocalCommands() }) {
    all.insert(all.end(), group.begin(), group.end());
  }
  all.push_back(ExplainRouteCommand());
  all.push_back(LoadCommand());
  return all;
}

int RunCommandLine(const std::vector<std::string>& aWords, const std::vector<command>& aCommands, streams aStreams)
{
  if (aWords.empty()) {
    PrintCommands(aCommands, aStreams.mErr);
    return ExitUsage;
  }
  if (aWords[0] == "help" || aWords[0] == "--help" || aWords[0] == "-h") {
    return Help(aWords, aCommands, aStreams);
  }
  const std::string name = aWords[0] == "--version" ? "version" : aWords[0];
  const command* found = FindCommand(aCommands, name);
  if (found == nullptr) {
    return UnknownCommand(name, aCommands, aStreams);
  }
  return RunCommand(*found, { aWords.begin() + 1, aWords.end() }, aStreams);
}

int Main(int aCount, char** aWords, const std::vector<role_command>& aRoles)
{
  const std::vector<std::string> words(aWords + 1, aWords + aCount);
  return RunCommandLine(words, Commands(aRoles), { std::cout, std::cerr });
}

} // namespace chervilpulley::cli
