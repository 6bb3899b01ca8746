#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "generated/admin.pb.h"

/// Kinds of objects as they are typed: "workspace", "route", "model", "pool", "placement", "operator_key".
namespace chervilpulley::cli {

/// The kind of a name; a plural and an upper-case spelling are taken too.
std::optional<admin::object_kind> KindOfText(std::string_view aText);
/// The name of a kind.
std::string TextOfKind(admin::object_kind aKind);
/// All names.
std::vector<std::string> KindTexts();
/// The message of an object's kind, for reflection; null when the object has no value.
const google::protobuf::Message* ValueOf(const admin::object& aObject);
/// The same to write to; makes the value of this kind when it is not there.
google::protobuf::Message& MutableValueOf(admin::object& aObject, admin::object_kind aKind);
/// Tells whether a field is part of an object's name.
bool IsNameField(admin::object_kind aKind, std::string_view aField);
/// Sets the fields that are part of an object's name; false when the name does not fit the kind.
bool SetName(admin::object& aObject, admin::object_kind aKind, const std::string& aName);
/// An enum's value without the enum's prefix, in lower case: "engine" for BACKEND_KIND_ENGINE.
std::string ShortEnumText(const google::protobuf::EnumValueDescriptor& aValue);

} // namespace chervilpulley::cli
