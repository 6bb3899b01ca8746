#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "generated/admin.pb.h"

/// A change of the configuration as text.
///
/// INI: a section `[KIND NAME]` for each object, with the field names of schema/admin.proto as keys, and besides them
/// `op` (put, create, update, delete; put when absent) and `expected_version`. An optional `[change]` has `id`.
/// JSON: protobuf's JSON form of the message `change`; an operation's `ref` and `op` may be left out as in INI.
namespace chervilpulley::cli {

/// One fault of a text: names file, line where known, section and key.
struct change_fault
{
  std::string mText;
};

template<class T>
using change_result = result<T, std::vector<change_fault>>;

/// Reads a change from text of either form; all faults are found at once.
/// @param aFile name used in faults.
change_result<admin::change> ParseChange(const std::string& aText, const std::string& aFile);
/// The two forms.
change_result<admin::change> ParseChangeIni(const std::string& aText, const std::string& aFile);
change_result<admin::change> ParseChangeJson(const std::string& aText, const std::string& aFile);
/// Reads a file; "-" is standard input.
change_result<admin::change> LoadChange(const std::string& aFile);

} // namespace chervilpulley::cli
