#include "cli/commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>

#include "base/machine_limits.h"
#include "base/settings.h"
#include "cli/exit_code.h"
#include "cli/key.h"
#include "cli/version.h"

DEFINE_string(role_settings, "", "Settings file of this process.");

namespace chervilpulley::cli {

namespace {

void PrintFaults(const std::vector<settings_fault>& aFaults, std::ostream& aErr)
{
  for (const settings_fault& fault : aFaults) {
    aErr << fault.mText << "\n";
  }
}

/// The file named by the flag, or else by the environment.
std::string SettingsFile()
{
  const char* fromEnvironment = std::getenv("CHERVILPULLEY_SETTINGS");
  return FLAGS_role_settings.empty() && fromEnvironment != nullptr ? fromEnvironment : FLAGS_role_settings;
}

int RunRole(const role_command& aRole, streams aStreams)
{
  const std::string file = SettingsFile();
  if (file.empty()) {
    aStreams.mErr << fmt::format("{}: flag \"--settings\" is needed\n", aRole.mName);
    return ExitUsage;
  }
  auto loaded = LoadSettings(file);
  if (!loaded) {
    PrintFaults(loaded.error(), aStreams.mErr);
    return ExitRefused;
  }
  const auto faults =
    SetMachineLimits(loaded.value(), { std::getenv(kMemoryVariable), std::getenv(kDescriptorsVariable) });
  if (!faults.empty()) {
    PrintFaults(faults, aStreams.mErr);
    return ExitRefused;
  }
  return aRole.mRun(loaded.value());
}

int CheckSettings(const std::vector<std::string>& aArguments, streams aStreams)
{
  const auto loaded = LoadSettings(aArguments[0]);
  if (!loaded) {
    PrintFaults(loaded.error(), aStreams.mErr);
    return ExitRefused;
  }
  aStreams.mOut << aArguments[0] << ": no faults\n";
  return ExitOk;
}

int PrintSettingsReference(const std::vector<std::string>&, streams aStreams)
{
  aStreams.mOut << SettingsReference();
  return ExitOk;
}

int PrintNewKey(const std::vector<std::string>& aArguments, streams aStreams)
{
  const auto made = MakeKey(aArguments[0]);
  if (!made) {
    aStreams.mErr << "make-key: " << made.error().mText << "\n";
    return ExitRefused;
  }
  aStreams.mOut << "key  " << made.value().mKey << "\nhash " << made.value().mHash << "\n";
  return ExitOk;
}

int PrintVersion(const std::vector<std::string>&, streams aStreams)
{
  aStreams.mOut << "chervilpulley " << kVersion << "\n";
  return ExitOk;
}

} // namespace

command RoleCommand(const role_command& aRole)
{
  return { aRole.mName,
           "--settings FILE",
           aRole.mHelp,
           { { "settings", "role_settings" } },
           0,
           0,
           [aRole](const std::vector<std::string>&, streams aStreams) { return RunRole(aRole, aStreams); } };
}

std::vector<command> LocalCommands()
{
  return {
    { "check-settings", "FILE", "Prints all faults of a settings file.", {}, 1, 1, CheckSettings },
    { "settings-reference", "", "Prints the reference page of all settings.", {}, 0, 0, PrintSettingsReference },
    { "make-key", "NAME", "Makes a key; prints it and the salted hash to put into a change.", {}, 1, 1, PrintNewKey },
    { "version", "", "Prints the version.", {}, 0, 0, PrintVersion },
  };
}

} // namespace chervilpulley::cli
