#include "cli/object_kinds.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <algorithm>
#include <cctype>

namespace chervilpulley::cli {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::string_view kKindPrefix = "OBJECT_KIND_";
constexpr char kRouteNameSeparator = '/';

std::string Upper(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aChar) { return std::toupper(aChar); });
  return text;
}

std::string Lower(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aChar) { return std::tolower(aChar); });
  return text;
}

const google::protobuf::OneofDescriptor& Values()
{
  return *admin::object::descriptor()->FindOneofByName("value");
}

/// "BACKEND_KIND_" for the enum backend_kind.
std::string PrefixOf(const google::protobuf::EnumDescriptor& aEnum)
{
  return Upper(aEnum.name()) + "_";
}

} // namespace

std::optional<admin::object_kind> KindOfText(std::string_view aText)
{
  std::string name = Lower(aText);
  std::replace(name.begin(), name.end(), '-', '_');
  if (name.ends_with('s')) {
    name.pop_back();
  }
  if (admin::object::descriptor()->FindFieldByName(name) == nullptr) {
    return std::nullopt;
  }
  admin::object_kind kind = admin::OBJECT_KIND_UNSPECIFIED;
  if (!admin::object_kind_Parse(std::string(kKindPrefix) + Upper(name), &kind)) {
    return std::nullopt;
  }
  return kind;
}

std::string TextOfKind(admin::object_kind aKind)
{
  return Lower(admin::object_kind_Name(aKind).substr(kKindPrefix.size()));
}

std::vector<std::string> KindTexts()
{
  std::vector<std::string> texts;
  texts.reserve(static_cast<std::size_t>(Values().field_count()));
  for (int i = 0; i < Values().field_count(); ++i) {
    texts.push_back(Values().field(i)->name());
  }
  return texts;
}

const Message* ValueOf(const admin::object& aObject)
{
  const auto* reflection = admin::object::GetReflection();
  if (!reflection->HasOneof(aObject, &Values())) {
    return nullptr;
  }
  return &reflection->GetMessage(aObject, reflection->GetOneofFieldDescriptor(aObject, &Values()));
}

Message& MutableValueOf(admin::object& aObject, admin::object_kind aKind)
{
  const FieldDescriptor* field = admin::object::descriptor()->FindFieldByName(TextOfKind(aKind));
  return *admin::object::GetReflection()->MutableMessage(&aObject, field);
}

bool IsNameField(admin::object_kind aKind, std::string_view aField)
{
  if (aKind == admin::OBJECT_KIND_PLACEMENT) {
    return aField == "instance";
  }
  return aField == "name" || (aKind == admin::OBJECT_KIND_ROUTE && aField == "workspace");
}

bool SetName(admin::object& aObject, admin::object_kind aKind, const std::string& aName)
{
  if (aName.empty()) {
    return false;
  }
  if (aKind == admin::OBJECT_KIND_ROUTE) {
    const std::size_t end = aName.find(kRouteNameSeparator);
    if (end == std::string::npos || end == 0 || end + 1 == aName.size()) {
      return false;
    }
    aObject.mutable_route()->set_workspace(aName.substr(0, end));
    aObject.mutable_route()->set_name(aName.substr(end + 1));
    return true;
  }
  Message& value = MutableValueOf(aObject, aKind);
  const std::string field = aKind == admin::OBJECT_KIND_PLACEMENT ? "instance" : "name";
  value.GetReflection()->SetString(&value, value.GetDescriptor()->FindFieldByName(field), aName);
  return true;
}

std::string ShortEnumText(const google::protobuf::EnumValueDescriptor& aValue)
{
  return Lower(aValue.name().substr(PrefixOf(*aValue.type()).size()));
}

} // namespace chervilpulley::cli
