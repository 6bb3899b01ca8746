#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

/// Parses the structured log of instances, for commands that analyse it.
namespace chervilpulley::cli {

/// A parsed log line.
struct log_record
{
  std::chrono::system_clock::time_point mTime;
  std::string mTimeText; ///< as written
  std::string mInstance;
  std::string mEvent;          ///< as text, because another release may have other events
  boost::json::object mFields; ///< all fields, in the order of the line

  /// The value of a text field; empty when it is missing or not a text.
  std::string Text(std::string_view aName) const;
  /// The value of a numeric field; 0 when it is missing or not a number.
  double Number(std::string_view aName) const;
};

/// The parsed lines of a set of files.
struct parsed_log
{
  std::vector<log_record> mLines; ///< ordered by time; lines with equal times stay in the order of their file
  std::size_t mSkipped = 0;       ///< number of lines that are not from the structured log
};

/// Parses and adds the lines of one file. Text before a line's first brace is skipped, because log collectors may add a
/// prefix. Lines of several processes are ordered by the clocks of those processes.
void ReadLines(std::istream& aIn, parsed_log& aLog);
/// Sorts the lines by time; to be called once after the last file.
void SortLines(parsed_log& aLog);

} // namespace chervilpulley::cli
