#pragma once

#include <string>
#include <vector>

#include "generated/admin.pb.h"

/// Formats objects, changes and states as text for a terminal or a script.
namespace chervilpulley::cli {

/// The protobuf JSON mapping of a message, with the schema's field names, on one line or indented.
std::string JsonOf(const google::protobuf::Message& aMessage, bool aIndented);
/// Formats rows as aligned columns; the first row is the header.
std::string Columns(const std::vector<std::vector<std::string>>& aRows);
/// A table of objects of one kind, with a row for each object and a column for each field.
std::string ObjectTable(const std::vector<admin::object>& aObjects);
/// An entry of the change log: who, when, and each operation with the fields that it changed.
std::string EntryText(const admin::log_entry& aEntry);
/// The table that the command "status" prints.
std::string StatusText(const admin::status_reply& aStatus);
/// The table that the command "rollout" prints.
std::string RolloutText(const admin::rollout_reply& aRollout);

} // namespace chervilpulley::cli
