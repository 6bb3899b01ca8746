#include "base/machine_limits.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace chervilpulley {

namespace {

std::optional<double> ParseLimit(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool isValid = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number) && number >= 0;
  return isValid ? std::optional(number) : std::nullopt;
}

/// The value in force: that of the settings file, or else that of the variable.
double LimitOf(double aInFile, const char* aName, const char* aValue, std::vector<settings_fault>& aFaults)
{
  const std::string_view text = aValue == nullptr ? "" : aValue;
  if (aInFile > 0 || text.empty()) {
    return aInFile;
  }
  const auto number = ParseLimit(text);
  if (!number) {
    aFaults.push_back({ std::string("environment: ") + aName + " is not a number from 0 on" });
  }
  return number.value_or(aInFile);
}

} // namespace

std::vector<settings_fault> SetMachineLimits(settings::settings& aSettings, const machine_limits& aLimits)
{
  std::vector<settings_fault> faults;
  settings::gateway_settings& gateway = *aSettings.mutable_gateway();
  gateway.set_memory_mb(LimitOf(gateway.memory_mb(), kMemoryVariable, aLimits.mMemoryMb, faults));
  gateway.set_max_descriptors(
    LimitOf(gateway.max_descriptors(), kDescriptorsVariable, aLimits.mMaxDescriptors, faults));
  return faults;
}

} // namespace chervilpulley
