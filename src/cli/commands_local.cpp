#include "cli/commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <ostream>
#include <string_view>

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

/// Sets a limit of the machine from the environment, unless the settings file has one.
/// @return false if the variable is neither empty nor a number from 0 on.
bool SetFromEnvironment(const char* aVariable, double aInFile, const std::function<void(double)>& aSet)
{
  const char* text = std::getenv(aVariable);
  if (aInFile > 0 || text == nullptr || *text == '\0') {
    return true;
  }
  const std::string_view value = text;
  double number = 0;
  const auto [end, error] = std::from_chars(value.begin(), value.end(), number);
  if (error != std::errc() || end != value.end() || !std::isfinite(number) || number < 0) {
    return false;
  }
  aSet(number);
  return true;
}

/// The limits of the machine are the same for all settings files of a deployment, so the platform may give them apart.
bool SetMachineLimits(settings::settings& aSettings, std::ostream& aErr)
{
  settings::gateway_settings& gateway = *aSettings.mutable_gateway();
  const auto set = [&](const char* aVariable, double aInFile, const std::function<void(double)>& aSet) {
    const bool isValid = SetFromEnvironment(aVariable, aInFile, aSet);
    if (!isValid) {
      aErr << "environment: " << aVariable << " is not a number from 0 on\n";
    }
    return isValid;
  };
  const bool hasMemory =
    set("CHERVILPULLEY_MEMORY_MB", gateway.memory_mb(), [&](double aMb) { gateway.set_memory_mb(aMb); });
  const bool hasDescriptors = set("CHERVILPULLEY_MAX_DESCRIPTORS", gateway.max_descriptors(), [&](double aCount) {
    gateway.set_max_descriptors(aCount);
  });
  return hasMemory && hasDescriptors;
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
  if (!SetMachineLimits(loaded.value(), aStreams.mErr)) {
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
