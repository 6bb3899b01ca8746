#include "cli/object_text.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/reflection.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <chrono>
#include <ctime>

#include "cli/object_kinds.h"

namespace chervilpulley::cli {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::string_view kNoValue = "-";
constexpr std::size_t kColumnGap = 2;
constexpr std::int64_t kMsPerSecond = 1000;

/// Fields that hold hashes; the server omits them from objects and sends fingerprints of them in the change log.
bool IsHash(const FieldDescriptor& aField)
{
  return aField.name() == "api_key_hashes" || aField.name() == "key_hash";
}

std::string RepeatedText(const Message& aMessage, const FieldDescriptor& aField)
{
  const auto* reflection = aMessage.GetReflection();
  const auto& texts = reflection->GetRepeatedFieldRef<std::string>(aMessage, &aField);
  return texts.empty() ? std::string(kNoValue) : fmt::format("{}", fmt::join(texts.begin(), texts.end(), ","));
}

std::string FieldText(const Message& aMessage, const FieldDescriptor& aField)
{
  if (aField.is_repeated()) {
    return RepeatedText(aMessage, aField);
  }
  const auto* reflection = aMessage.GetReflection();
  std::string text;
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return std::to_string(reflection->GetUInt32(aMessage, &aField));
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection->GetBool(aMessage, &aField) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_ENUM:
      return ShortEnumText(*reflection->GetEnum(aMessage, &aField));
    case FieldDescriptor::CPPTYPE_STRING:
      text = reflection->GetString(aMessage, &aField);
      return text.empty() ? std::string(kNoValue) : text;
    default:
      return std::string(kNoValue);
  }
}

std::vector<const FieldDescriptor*> FieldsOf(const Message& aMessage, bool aWithHashes)
{
  std::vector<const FieldDescriptor*> fields;
  const auto* descriptor = aMessage.GetDescriptor();
  fields.reserve(static_cast<std::size_t>(descriptor->field_count()));
  for (int i = 0; i < descriptor->field_count(); ++i) {
    if (aWithHashes || !IsHash(*descriptor->field(i))) {
      fields.push_back(descriptor->field(i));
    }
  }
  return fields;
}

std::string Upper(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) { return std::toupper(aChar); });
  return aText;
}

std::string TimeText(std::int64_t aUnixMs)
{
  const std::time_t seconds = aUnixMs / kMsPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[sizeof "2000-01-01T00:00:00Z"];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

std::string OpText(admin::change_op aOp)
{
  return ShortEnumText(*admin::change_op_descriptor()->FindValueByNumber(aOp));
}

/// The fields of an object that changed, with old and new values; all fields when there is no previous object.
std::string Differences(const Message* aBefore, const Message& aAfter, admin::object_kind aKind)
{
  std::string text;
  for (const FieldDescriptor* field : FieldsOf(aAfter, true)) {
    if (IsNameField(aKind, field->name())) {
      continue;
    }
    const std::string after = FieldText(aAfter, *field);
    const std::string before = aBefore == nullptr ? "" : FieldText(*aBefore, *field);
    if (aBefore == nullptr) {
      text += fmt::format(" {}={}", field->name(), after);
    } else if (before != after) {
      text += fmt::format(" {}={}->{}", field->name(), before, after);
    }
  }
  return text;
}

std::string OperationText(const admin::operation& aOperation, const admin::object* aPrevious)
{
  const auto kind = aOperation.ref().kind();
  const std::string head =
    fmt::format("  {} {} \"{}\"", OpText(aOperation.op()), TextOfKind(kind), aOperation.ref().name());
  const Message* before = aPrevious == nullptr ? nullptr : ValueOf(*aPrevious);
  const Message* after = ValueOf(aOperation.object());
  if (after != nullptr) {
    return head + Differences(before, *after, kind) + "\n";
  }
  if (before != nullptr) {
    return head + ", was" + Differences(nullptr, *before, kind) + "\n";
  }
  return head + "\n";
}

} // namespace

std::string JsonOf(const Message& aMessage, bool aIndented)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.add_whitespace = aIndented;
  std::string text;
  if (!google::protobuf::util::MessageToJsonString(aMessage, &text, options).ok()) {
    return "{}\n";
  }
  while (text.ends_with('\n')) {
    text.pop_back();
  }
  return text + "\n";
}

std::string Columns(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      text += fmt::format("{:<{}}", row[i], widths[i] + kColumnGap);
    }
    text += row.empty() ? "\n" : row.back() + "\n";
  }
  return text;
}

std::string ObjectTable(const std::vector<admin::object>& aObjects)
{
  std::vector<std::vector<std::string>> rows;
  for (const admin::object& object : aObjects) {
    const Message* value = ValueOf(object);
    if (value == nullptr) {
      continue;
    }
    std::vector<std::string> head;
    std::vector<std::string> row;
    for (const FieldDescriptor* field : FieldsOf(*value, false)) {
      head.push_back(Upper(field->name()));
      row.push_back(FieldText(*value, *field));
    }
    head.emplace_back("VERSION");
    row.push_back(std::to_string(object.version()));
    if (rows.empty()) {
      rows.push_back(std::move(head));
    }
    rows.push_back(std::move(row));
  }
  return Columns(rows);
}

std::string EntryText(const admin::log_entry& aEntry)
{
  std::string text = fmt::format("revision {} {} by \"{}\", change \"{}\"\n",
                                 aEntry.revision(),
                                 TimeText(aEntry.unix_ms()),
                                 aEntry.actor(),
                                 aEntry.change().change_id());
  for (int i = 0; i < aEntry.change().operations_size(); ++i) {
    const admin::object* previous = i < aEntry.previous_size() ? &aEntry.previous(i) : nullptr;
    text += OperationText(aEntry.change().operations(i), previous);
  }
  return text;
}

std::string StatusText(const admin::status_reply& aStatus)
{
  std::vector<std::vector<std::string>> rows{
    { "INSTANCE", "ROLE", "FAILURE DOMAIN", "POOL", "STATE", "BACKEND", "RUNNING", "QUEUED", "MODEL" }
  };
  for (const auto& each : aStatus.instances()) {
    const std::string model =
      each.model().empty() ? "-" : fmt::format("{} {}..{}", each.model(), each.first_layer(), each.last_layer());
    const bool isEntry = each.role() == "entry";
    rows.push_back({ each.instance(),
                     each.role(),
                     each.failure_domain(),
                     each.pool().empty() ? std::string(kNoValue) : each.pool(),
                     each.leaving() ? "leaving" : "live",
                     isEntry ? std::string(kNoValue) : std::string(each.backend_up() ? "up" : "down"),
                     std::to_string(each.running()),
                     std::to_string(each.queued()),
                     model });
  }
  return fmt::format("revision {}, platform {}\n", aStatus.revision(), aStatus.platform_up() ? "up" : "down") +
         Columns(rows);
}

std::string RolloutText(const admin::rollout_reply& aRollout)
{
  std::vector<std::vector<std::string>> rows{ { "INSTANCE", "FAILURE DOMAIN", "REVISION", "REPORTED" } };
  for (const auto& each : aRollout.instances()) {
    rows.push_back({ each.instance(),
                     each.failure_domain(),
                     std::to_string(each.revision()),
                     fmt::format("{} ms ago", each.age_ms()) });
  }
  return fmt::format("head revision {}, in force at {} of {} live instances\n",
                     aRollout.head_revision(),
                     aRollout.in_force(),
                     aRollout.live()) +
         Columns(rows);
}

} // namespace chervilpulley::cli
