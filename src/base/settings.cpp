#include "base/settings.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace chervilpulley {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// Longest line that the INI library does not truncate.
constexpr std::size_t kMaxLineBytes = INI_MAX_LINE - 2;

/// What ParseSettings() has read so far.
struct parse_state
{
  settings::settings mSettings;
  std::vector<settings_fault> mFaults;
  std::set<std::string> mSeen; ///< "section.key" of each known key in the file
  std::string mFile;
};

const settings::key_options& OptionsOf(const FieldDescriptor& aField)
{
  return aField.options().GetExtension(settings::key);
}

/// Describes the values that a key may have.
std::string Allowed(const FieldDescriptor& aField)
{
  const auto& options = OptionsOf(aField);
  if (options.one_of_size() > 0) {
    std::string text = "one of";
    for (const auto& choice : options.one_of()) {
      text += " \"" + choice + "\"";
    }
    return text;
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    std::ostringstream text;
    text << "a whole number from " << static_cast<std::uint64_t>(options.min()) << " to "
         << static_cast<std::uint64_t>(options.max());
    if (!options.unit().empty()) {
      text << " (" << options.unit() << ")";
    }
    return text.str();
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    std::ostringstream text;
    text << "a number from " << options.min() << " to " << options.max();
    if (!options.unit().empty()) {
      text << " (" << options.unit() << ")";
    }
    return text.str();
  }
  return options.required() ? "text that is not empty" : "text";
}

bool SetNumber(Message& aSection, const FieldDescriptor& aField, const std::string& aValue)
{
  std::uint32_t number = 0;
  const char* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, number);
  const auto& options = OptionsOf(aField);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < options.min() || number > options.max()) {
    return false;
  }
  aSection.GetReflection()->SetUInt32(&aSection, &aField, number);
  return true;
}

bool SetFraction(Message& aSection, const FieldDescriptor& aField, const std::string& aValue)
{
  double number = 0;
  const char* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, number);
  const auto& options = OptionsOf(aField);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(number >= options.min() && number <= options.max())) {
    return false;
  }
  aSection.GetReflection()->SetDouble(&aSection, &aField, number);
  return true;
}

bool SetText(Message& aSection, const FieldDescriptor& aField, const std::string& aValue)
{
  const auto& choices = OptionsOf(aField).one_of();
  if (aValue.empty() && OptionsOf(aField).required()) {
    return false;
  }
  if (!choices.empty() && std::find(choices.begin(), choices.end(), aValue) == choices.end()) {
    return false;
  }
  aSection.GetReflection()->SetString(&aSection, &aField, aValue);
  return true;
}

bool SetValue(Message& aSection, const FieldDescriptor& aField, const std::string& aValue)
{
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    return SetNumber(aSection, aField, aValue);
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    return SetFraction(aSection, aField, aValue);
  }
  return SetText(aSection, aField, aValue);
}

void AddFault(parse_state& aState, const std::string& aText)
{
  aState.mFaults.push_back({ aState.mFile + ": " + aText });
}

void HandleKey(parse_state& aState, const std::string& aSection, const std::string& aKey, const std::string& aValue)
{
  const auto* sectionField = aState.mSettings.GetDescriptor()->FindFieldByName(aSection);
  if (sectionField == nullptr) {
    AddFault(aState, "section [" + aSection + "] does not exist (key \"" + aKey + "\")");
    return;
  }
  const auto* field = sectionField->message_type()->FindFieldByName(aKey);
  if (field == nullptr) {
    AddFault(aState, "key \"" + aKey + "\" does not exist in section [" + aSection + "]");
    return;
  }
  if (!aState.mSeen.insert(aSection + "." + aKey).second) {
    AddFault(aState, "key \"" + aKey + "\" stands twice in section [" + aSection + "]");
    return;
  }
  Message* section = aState.mSettings.GetReflection()->MutableMessage(&aState.mSettings, sectionField);
  if (!SetValue(*section, *field, aValue)) {
    AddFault(aState,
             "value \"" + aValue + "\" of key \"" + aKey + "\" in section [" + aSection + "] must be " +
               Allowed(*field));
  }
}

/// Finds input that the INI library would misread: it stops at a zero byte, and parses the rest of a long line as the
/// next line.
void CheckLines(parse_state& aState, const std::string& aText)
{
  if (aText.find('\0') != std::string::npos) {
    AddFault(aState, "holds a zero byte");
  }
  std::istringstream lines(aText);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.size() > kMaxLineBytes) {
      AddFault(aState,
               "line " + std::to_string(number) + " is longer than " + std::to_string(kMaxLineBytes) + " bytes");
    }
  }
}

int HandleIniLine(void* aUser, const char* aSection, const char* aKey, const char* aValue)
{
  HandleKey(*static_cast<parse_state*>(aUser), aSection, aKey, aValue);
  return 1;
}

template<class Function>
void ForEachKey(Function&& aFunction)
{
  const Descriptor* all = settings::settings::descriptor();
  for (int s = 0; s < all->field_count(); ++s) {
    const FieldDescriptor* section = all->field(s);
    for (int k = 0; k < section->message_type()->field_count(); ++k) {
      aFunction(*section, *section->message_type()->field(k));
    }
  }
}

/// Sets keys that are not in the file to their defaults; a missing required key is a fault.
void ApplyDefaults(parse_state& aState)
{
  ForEachKey([&](const FieldDescriptor& aSection, const FieldDescriptor& aKey) {
    if (aState.mSeen.contains(aSection.name() + "." + aKey.name())) {
      return;
    }
    const auto& options = OptionsOf(aKey);
    if (options.required()) {
      AddFault(aState, "key \"" + aKey.name() + "\" is missing in section [" + aSection.name() + "]");
    } else if (!options.default_value().empty()) {
      Message* section = aState.mSettings.GetReflection()->MutableMessage(&aState.mSettings, &aSection);
      SetValue(*section, aKey, options.default_value());
    }
  });
}

} // namespace

result<settings::settings, std::vector<settings_fault>> ParseSettings(const std::string& aText,
                                                                      const std::string& aFile)
{
  parse_state state;
  state.mFile = aFile;
  CheckLines(state, aText);
  if (!state.mFaults.empty()) {
    return state.mFaults;
  }
  const int badLine = ini_parse_string(aText.c_str(), HandleIniLine, &state);
  if (badLine > 0) {
    AddFault(state, "line " + std::to_string(badLine) + " is neither a section nor \"key = value\"");
  }
  ApplyDefaults(state);
  if (!state.mFaults.empty()) {
    return state.mFaults;
  }
  return state.mSettings;
}

result<settings::settings, std::vector<settings_fault>> LoadSettings(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return std::vector<settings_fault>{ { aFile + ": can't be read" } };
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), aFile);
}

std::string SettingsReference()
{
  std::ostringstream page;
  page << "# Settings\n\nMade from `schema/settings.proto` by `chervilpulley settings-reference`.\n";
  std::string section;
  ForEachKey([&](const FieldDescriptor& aSection, const FieldDescriptor& aKey) {
    if (section != aSection.name()) {
      section = aSection.name();
      page << "\n## [" << section << "]\n\n| key | default | allowed | what it does |\n| --- | --- | --- | --- |\n";
    }
    const auto& options = OptionsOf(aKey);
    const std::string defaultText = options.required() ? "(required)" : options.default_value();
    page << "| `" << aKey.name() << "` | " << defaultText << " | " << Allowed(aKey) << " | " << options.help()
         << " |\n";
  });
  return page.str();
}

} // namespace chervilpulley
