#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "generated/settings.pb.h"

/// Settings of a process, read from an INI file and checked against schema/settings.proto. A faulty file is reported
/// with all its faults, so that an operator can correct them in one pass.
namespace chervilpulley {

/// One fault of a settings file. The text names the file, the line where known, section, key and the allowed values.
struct settings_fault
{
  std::string mText;
};

/// Reads a file. Reports all faults at once: unknown section or key, bad type, value out of range, missing key. Keys
/// that are not in the file get their default.
result<settings::settings, std::vector<settings_fault>> LoadSettings(const std::string& aFile);

/// Same as LoadSettings(), from text; aFile is the file name that faults mention.
result<settings::settings, std::vector<settings_fault>> ParseSettings(const std::string& aText,
                                                                      const std::string& aFile);

/// Returns the reference page of all keys, in Markdown, generated from the schema.
std::string SettingsReference();

} // namespace chervilpulley
