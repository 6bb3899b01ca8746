#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "generated/admin.pb.h"

/// Parses a change of the configuration from an INI or JSON file.
///
/// INI: a section `[KIND NAME]` for each object, with the field names of schema/admin.proto as keys, and also
/// `op` (put, create, update, delete; put when absent) and `expected_version`. An optional `[change]` has `id`.
/// JSON: the protobuf JSON mapping of the message `change`; an operation's `ref` and `op` may be omitted as in INI.
namespace chervilpulley::cli {

/// An error in a text: names the file, the line where known, the section and the key.
struct change_fault
{
  std::string mText;
};

/// A parsed change, or all faults of its text.
template<class T>
using change_result = result<T, std::vector<change_fault>>;

/// Parses a change in either format; reports all faults at once.
/// @param aFile file name for the faults.
change_result<admin::change> ParseChange(const std::string& aText, const std::string& aFile);
/// Parses a change in INI or in JSON format.
change_result<admin::change> ParseChangeIni(const std::string& aText, const std::string& aFile);
change_result<admin::change> ParseChangeJson(const std::string& aText, const std::string& aFile);
/// Reads and parses a file; "-" is standard input.
change_result<admin::change> LoadChange(const std::string& aFile);

} // namespace chervilpulley::cli
