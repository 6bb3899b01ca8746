#include "cli/change_text.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <charconv>
#include <set>

#include "cli/ini_lines.h"
#include "cli/object_kinds.h"
#include "cli/suggest.h"

namespace chervilpulley::cli {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::string_view kChangeSection = "change";
constexpr std::string_view kOpKey = "op";
constexpr std::string_view kVersionKey = "expected_version";

template<class Number>
bool ParseNumber(const std::string& aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

const google::protobuf::EnumValueDescriptor* FindEnumValue(const EnumDescriptor& aEnum, const std::string& aText)
{
  for (int i = 1; i < aEnum.value_count(); ++i) {
    const auto* value = aEnum.value(i);
    if (aText == ShortEnumText(*value) || aText == value->name()) {
      return value;
    }
  }
  return nullptr;
}

std::string EnumTexts(const EnumDescriptor& aEnum)
{
  std::string text = "one of";
  for (int i = 1; i < aEnum.value_count(); ++i) {
    text += fmt::format(" \"{}\"", ShortEnumText(*aEnum.value(i)));
  }
  return text;
}

std::string AllowedValues(const FieldDescriptor& aField)
{
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return "a whole number from 0 to 4294967295";
    case FieldDescriptor::CPPTYPE_BOOL:
      return "true or false";
    case FieldDescriptor::CPPTYPE_ENUM:
      return EnumTexts(*aField.enum_type());
    default:
      return "text";
  }
}

bool SetField(Message& aMessage, const FieldDescriptor& aField, const std::string& aText)
{
  const auto* reflection = aMessage.GetReflection();
  std::uint32_t number = 0;
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      if (!ParseNumber(aText, number)) {
        return false;
      }
      reflection->SetUInt32(&aMessage, &aField, number);
      return true;
    case FieldDescriptor::CPPTYPE_BOOL:
      if (aText != "true" && aText != "false") {
        return false;
      }
      reflection->SetBool(&aMessage, &aField, aText == "true");
      return true;
    case FieldDescriptor::CPPTYPE_ENUM: {
      const auto* value = FindEnumValue(*aField.enum_type(), aText);
      if (value == nullptr) {
        return false;
      }
      reflection->SetEnum(&aMessage, &aField, value);
      return true;
    }
    case FieldDescriptor::CPPTYPE_STRING:
      if (aField.is_repeated()) {
        reflection->AddString(&aMessage, &aField, aText);
      } else {
        reflection->SetString(&aMessage, &aField, aText);
      }
      return true;
    default:
      return false;
  }
}

std::string SuggestionText(const std::string& aTyped, const std::vector<std::string>& aKnown)
{
  const std::string suggestion = Suggest(aTyped, aKnown);
  return suggestion.empty() ? "" : fmt::format("; did you mean \"{}\"?", suggestion);
}

/// Converts the sections of one text into a change.
class ini_reader
{
public:
  explicit ini_reader(std::string aFile)
    : mFile(std::move(aFile))
  {
  }

  void Read(const ini_text& aIni)
  {
    for (int line : aIni.mBadLines) {
      AddFault(line, "this is neither a section nor \"key = value\"");
    }
    for (const ini_section& section : aIni.mSections) {
      ReadSection(section);
    }
    if (mFaults.empty() && mChange.operations().empty()) {
      AddFault(0, "there is no section [KIND NAME]");
    }
  }

  change_result<admin::change> Result() const
  {
    if (!mFaults.empty()) {
      return mFaults;
    }
    return mChange;
  }

private:
  void AddFault(int aLine, const std::string& aText)
  {
    const std::string position = aLine > 0 ? fmt::format(":{}", aLine) : "";
    mFaults.push_back({ fmt::format("{}{}: {}", mFile, position, aText) });
  }

  void ReadSection(const ini_section& aSection)
  {
    if (!mSections.insert(aSection.mName).second) {
      AddFault(aSection.mLine, fmt::format("section [{}] stands twice", aSection.mName));
      return;
    }
    if (aSection.mName.empty()) {
      AddFault(aSection.mLine, "a key stands before the first section");
      return;
    }
    if (aSection.mName == kChangeSection) {
      ReadChangeKeys(aSection);
      return;
    }
    ReadObject(aSection);
  }

  void ReadChangeKeys(const ini_section& aSection)
  {
    for (const ini_entry& entry : aSection.mEntries) {
      if (entry.mKey != "id") {
        AddFault(entry.mLine, fmt::format("key \"{}\" does not exist in section [change]", entry.mKey));
        continue;
      }
      mChange.set_change_id(entry.mValue);
    }
  }

  void ReadObject(const ini_section& aSection)
  {
    const std::size_t space = aSection.mName.find(' ');
    const std::string kindText = aSection.mName.substr(0, space);
    const std::string name = space == std::string::npos ? "" : aSection.mName.substr(space + 1);
    const auto kind = KindOfText(kindText);
    if (!kind) {
      const std::string hint = SuggestionText(kindText, KindTexts());
      AddFault(aSection.mLine,
               fmt::format("kind \"{}\" of section [{}] does not exist{}", kindText, aSection.mName, hint));
      return;
    }
    admin::operation operation;
    operation.set_op(admin::CHANGE_OP_PUT);
    operation.mutable_ref()->set_kind(*kind);
    operation.mutable_ref()->set_name(name);
    if (!SetName(*operation.mutable_object(), *kind, name)) {
      const std::string_view form = *kind == admin::OBJECT_KIND_ROUTE ? "WORKSPACE/NAME" : "NAME";
      AddFault(aSection.mLine, fmt::format("section [{}] must be [{} {}]", aSection.mName, TextOfKind(*kind), form));
      return;
    }
    ReadEntries(aSection, *kind, operation);
    if (operation.op() == admin::CHANGE_OP_DELETE) {
      operation.clear_object();
    }
    *mChange.add_operations() = std::move(operation);
  }

  void ReadEntries(const ini_section& aSection, admin::object_kind aKind, admin::operation& aOperation)
  {
    Message& value = MutableValueOf(*aOperation.mutable_object(), aKind);
    std::set<std::string> seen;
    bool hasContent = false;
    for (const ini_entry& entry : aSection.mEntries) {
      const FieldDescriptor* field = value.GetDescriptor()->FindFieldByName(entry.mKey);
      const bool mayRepeat = field != nullptr && field->is_repeated();
      if (!seen.insert(entry.mKey).second && !mayRepeat) {
        AddFault(entry.mLine, fmt::format("key \"{}\" stands twice in section [{}]", entry.mKey, aSection.mName));
        continue;
      }
      if (ReadOperationKey(aSection, entry, aOperation)) {
        continue;
      }
      hasContent = true;
      ReadField(aSection, entry, aKind, field, value);
    }
    if (hasContent && aOperation.op() == admin::CHANGE_OP_DELETE) {
      AddFault(
        aSection.mLine,
        fmt::format("section [{}] deletes, so it has no keys but \"op\" and \"expected_version\"", aSection.mName));
    }
  }

  /// Reads a key that is not a field of the object; returns whether this was one.
  bool ReadOperationKey(const ini_section& aSection, const ini_entry& aEntry, admin::operation& aOperation)
  {
    if (aEntry.mKey == kOpKey) {
      const auto* value = FindEnumValue(*admin::change_op_descriptor(), aEntry.mValue);
      if (value == nullptr) {
        AddValueFault(aSection, aEntry, EnumTexts(*admin::change_op_descriptor()));
      } else {
        aOperation.set_op(static_cast<admin::change_op>(value->number()));
      }
      return true;
    }
    if (aEntry.mKey == kVersionKey) {
      std::uint64_t version = 0;
      if (!ParseNumber(aEntry.mValue, version)) {
        AddValueFault(aSection, aEntry, "a whole number");
      }
      aOperation.set_expected_version(version);
      return true;
    }
    return false;
  }

  void ReadField(const ini_section& aSection,
                 const ini_entry& aEntry,
                 admin::object_kind aKind,
                 const FieldDescriptor* aField,
                 Message& aValue)
  {
    if (aField == nullptr) {
      const std::string hint = SuggestionText(aEntry.mKey, FieldNames(*aValue.GetDescriptor(), aKind));
      AddFault(aEntry.mLine,
               fmt::format("key \"{}\" does not exist in section [{}]{}", aEntry.mKey, aSection.mName, hint));
      return;
    }
    if (IsNameField(aKind, aEntry.mKey)) {
      AddFault(aEntry.mLine,
               fmt::format("key \"{}\" is given by the name of section [{}]", aEntry.mKey, aSection.mName));
      return;
    }
    if (!SetField(aValue, *aField, aEntry.mValue)) {
      AddValueFault(aSection, aEntry, AllowedValues(*aField));
    }
  }

  static std::vector<std::string> FieldNames(const Descriptor& aMessage, admin::object_kind aKind)
  {
    std::vector<std::string> names{ std::string(kOpKey), std::string(kVersionKey) };
    for (int i = 0; i < aMessage.field_count(); ++i) {
      if (!IsNameField(aKind, aMessage.field(i)->name())) {
        names.push_back(aMessage.field(i)->name());
      }
    }
    return names;
  }

  void AddValueFault(const ini_section& aSection, const ini_entry& aEntry, const std::string& aAllowed)
  {
    AddFault(
      aEntry.mLine,
      fmt::format(
        "value \"{}\" of key \"{}\" in section [{}] must be {}", aEntry.mValue, aEntry.mKey, aSection.mName, aAllowed));
  }

  const std::string mFile;
  admin::change mChange;
  std::vector<change_fault> mFaults;
  std::set<std::string> mSections;
};

} // namespace

change_result<admin::change> ParseChangeIni(const std::string& aText, const std::string& aFile)
{
  ini_reader reader(aFile);
  reader.Read(SplitIni(aText));
  return reader.Result();
}

} // namespace chervilpulley::cli
