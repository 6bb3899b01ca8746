#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "generated/settings.pb.h"

/// Settings of a process, read from INI and checked against schema/settings.proto.
namespace chervilpulley {

/// One fault of a settings file: names file, line where known, section, key, and what is allowed.
struct settings_fault
{
  std::string mText;
};

/// Reads a file. All faults are found at once: unknown section or key, bad type, value out of range, missing key.
/// Keys that are not in the file get their default.
result<settings::settings, std::vector<settings_fault>> LoadSettings(const std::string& aFile);

/// The same from text; aFile is the name used in faults.
result<settings::settings, std::vector<settings_fault>> ParseSettings(const std::string& aText,
                                                                      const std::string& aFile);

/// Reference page of all keys, in Markdown, from the schema.
std::string SettingsReference();

} // namespace chervilpulley
