#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "generated/admin.pb.h"

/// Names of object kinds on the command line and in change files: "workspace", "route", "model", "pool", "placement",
/// "operator_key".
namespace chervilpulley::cli {

/// The kind with a name; also accepts plural and upper-case spellings.
std::optional<admin::object_kind> KindOfText(std::string_view aText);
/// The name of a kind.
std::string TextOfKind(admin::object_kind aKind);
/// The names of all kinds.
std::vector<std::string> KindTexts();
/// The message that holds the object's value, for reflection; null when the object has no value.
const google::protobuf::Message* ValueOf(const admin::object& aObject);
/// The mutable value of this kind; created when it is missing.
google::protobuf::Message& MutableValueOf(admin::object& aObject, admin::object_kind aKind);
/// Whether a field is part of an object's name.
bool IsNameField(admin::object_kind aKind, std::string_view aField);
/// Sets the fields that are part of an object's name; false when the name does not fit the kind.
bool SetName(admin::object& aObject, admin::object_kind aKind, const std::string& aName);
/// An enum's value without the enum's prefix, in lower case: "engine" for BACKEND_KIND_ENGINE.
std::string ShortEnumText(const google::protobuf::EnumValueDescriptor& aValue);

} // namespace chervilpulley::cli
