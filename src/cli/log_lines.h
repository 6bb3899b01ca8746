#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

/// Lines of the structured log, read back.
namespace chervilpulley::cli {

/// One line that could be read.
struct log_record
{
  std::chrono::system_clock::time_point mTime;
  std::string mTimeText; ///< as written
  std::string mInstance;
  std::string mEvent;          ///< kept as text: another release may have others
  boost::json::object mFields; ///< all, in the order of the line

  std::string Text(std::string_view aName) const;
  /// 0 when there is none, or it is no number.
  double Number(std::string_view aName) const;
};

/// What a set of files held.
struct parsed_log
{
  std::vector<log_record> mLines; ///< by time; lines of one time stay in the order of their file
  std::size_t mSkipped = 0;       ///< lines that are none of ours
};

/// Adds the lines of one file. What stands before a line's first brace is passed over, so that collectors may put
/// something there. Files of several processes are ordered by their own clocks.
void ReadLines(std::istream& aIn, parsed_log& aLog);
/// To be called once after the last file.
void SortLines(parsed_log& aLog);

} // namespace chervilpulley::cli
