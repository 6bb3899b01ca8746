#pragma once

#include <vector>

#include "base/settings.h"

/// Limits of the machine that the platform gives in the environment, as they differ between machines with the same
/// settings template.
namespace chervilpulley {

/// Environment variables: memory in MB, and the number of descriptors that the process may have open.
inline constexpr const char* kMemoryVariable = "CHERVILPULLEY_MEMORY_MB";
inline constexpr const char* kDescriptorsVariable = "CHERVILPULLEY_MAX_DESCRIPTORS";

/// Values of these variables; nullptr where one is not set.
struct machine_limits
{
  const char* mMemoryMb = nullptr;
  const char* mMaxDescriptors = nullptr;
};

/// Takes over limits that the settings file does not give. An unset or empty variable counts as not given.
/// @return a fault for each variable that is not a number from 0 on.
std::vector<settings_fault> SetMachineLimits(settings::settings& aSettings, const machine_limits& aLimits);

} // namespace chervilpulley
