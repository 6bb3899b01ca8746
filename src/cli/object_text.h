#pragma once

#include <string>
#include <vector>

#include "generated/admin.pb.h"

/// Objects, changes and states as text for a terminal or a script.
namespace chervilpulley::cli {

/// Protobuf's JSON form of a message, with the schema's field names, on one line or indented.
std::string JsonOf(const google::protobuf::Message& aMessage, bool aIndented);
/// Rows in columns; the first one is the head.
std::string Columns(const std::vector<std::vector<std::string>>& aRows);
/// Objects of one kind, one a line, a column for each field.
std::string ObjectTable(const std::vector<admin::object>& aObjects);
/// An entry of the log: who, when, and each operation with the fields that it changed.
std::string EntryText(const admin::log_entry& aEntry);
std::string StatusText(const admin::status_reply& aStatus);
std::string RolloutText(const admin::rollout_reply& aRollout);

} // namespace chervilpulley::cli
