#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace chervilpulley::standin {

/// A log of what a stand-in has executed, as JSON lines. With a file, the lines survive the process even if it is
/// killed, so a test can count executions across crashes.
class record_log
{
public:
  /// @param aFile file for the lines, whose existing lines are read first; empty keeps the lines in memory only
  explicit record_log(const std::string& aFile);
  record_log(const record_log&) = delete;
  record_log& operator=(const record_log&) = delete;
  ~record_log();

  void Append(const boost::json::object& aRecord);
  /// All records, one per line.
  std::string Text() const;
  const std::vector<std::string>& Lines() const { return mLines; }

private:
  std::vector<std::string> mLines;
  int mDescriptor = -1;
};

} // namespace chervilpulley::standin
