#include "cli/flags.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

#include "cli/suggest.h"

namespace chervilpulley::cli {

namespace {

/// A flag as typed on the command line, split at its "=".
struct flag_word
{
  std::string mName;
  std::string mValue;
  bool mHasValue = false;
};

bool IsFlag(const std::string& aWord)
{
  return aWord.size() > 1 && aWord[0] == '-';
}

flag_word Split(const std::string& aWord)
{
  const std::size_t equals = aWord.find('=');
  flag_word word;
  word.mName = aWord.substr(0, equals);
  word.mHasValue = equals != std::string::npos;
  if (word.mHasValue) {
    word.mValue = aWord.substr(equals + 1);
  }
  return word;
}

bool Matches(const flag& aFlag, std::string_view aTyped)
{
  if (aTyped.size() == 2 && aTyped[1] == aFlag.mShort) {
    return true;
  }
  if (!aTyped.starts_with("--")) {
    return false;
  }
  std::string name(aTyped.substr(2));
  std::replace(name.begin(), name.end(), '_', '-');
  return name == aFlag.mName;
}

usage_error UnknownFlag(const std::string& aTyped, const std::vector<flag>& aFlags)
{
  std::vector<std::string> known{ "--help" };
  for (const flag& each : aFlags) {
    known.push_back("--" + std::string(each.mName));
  }
  const std::string suggestion = Suggest(aTyped, known);
  const std::string hint = suggestion.empty() ? "" : fmt::format("; did you mean \"{}\"?", suggestion);
  return { fmt::format("flag \"{}\" does not exist{}", aTyped, hint) };
}

gflags::CommandLineFlagInfo InfoOf(const flag& aFlag)
{
  return gflags::GetCommandLineFlagInfoOrDie(std::string(aFlag.mRegistered).c_str());
}

std::string TypeOf(const gflags::CommandLineFlagInfo& aInfo)
{
  if (aInfo.type == "string") {
    return "text";
  }
  if (aInfo.type == "double") {
    return "a number";
  }
  if (aInfo.type == "bool") {
    return "true or false";
  }
  return "a whole number";
}

} // namespace

result<parsed_command_line, usage_error> ParseFlags(const std::vector<std::string>& aWords,
                                                    const std::vector<flag>& aFlags)
{
  parsed_command_line line;
  for (std::size_t i = 0; i < aWords.size(); ++i) {
    if (!IsFlag(aWords[i])) {
      line.mArguments.push_back(aWords[i]);
      continue;
    }
    if (aWords[i] == "--") {
      line.mArguments.insert(line.mArguments.end(), aWords.begin() + static_cast<std::ptrdiff_t>(i) + 1, aWords.end());
      break;
    }
    flag_word word = Split(aWords[i]);
    if (word.mName == "--help" || word.mName == "-h") {
      line.mHelp = true;
      continue;
    }
    const auto found =
      std::find_if(aFlags.begin(), aFlags.end(), [&](const flag& aFlag) { return Matches(aFlag, word.mName); });
    if (found == aFlags.end()) {
      return UnknownFlag(word.mName, aFlags);
    }
    const gflags::CommandLineFlagInfo info = InfoOf(*found);
    if (!word.mHasValue && info.type == "bool") {
      word.mValue = "true";
    } else if (!word.mHasValue) {
      if (++i == aWords.size()) {
        return usage_error{ fmt::format("flag \"{}\" needs a value", word.mName) };
      }
      word.mValue = aWords[i];
    }
    if (gflags::SetCommandLineOption(info.name.c_str(), word.mValue.c_str()).empty()) {
      return usage_error{ fmt::format(
        "value \"{}\" of flag \"{}\" must be {}", word.mValue, word.mName, TypeOf(info)) };
    }
  }
  return line;
}

std::string DescribeFlags(const std::vector<flag>& aFlags)
{
  std::string text;
  for (const flag& each : aFlags) {
    const gflags::CommandLineFlagInfo info = InfoOf(each);
    std::string name = "--" + std::string(each.mName);
    if (each.mShort != 0) {
      name = fmt::format("-{}, {}", each.mShort, name);
    }
    const bool hidesDefault = info.default_value.empty() || info.type == "bool";
    const std::string defaultText = hidesDefault ? "" : fmt::format(" (default {})", info.default_value);
    text += fmt::format("  {:<20} {}{}\n", name, info.description, defaultText);
  }
  return text;
}

void ResetFlags(const std::vector<flag>& aFlags)
{
  for (const flag& each : aFlags) {
    const gflags::CommandLineFlagInfo info = InfoOf(each);
    gflags::SetCommandLineOption(info.name.c_str(), info.default_value.c_str());
  }
}

} // namespace chervilpulley::cli
