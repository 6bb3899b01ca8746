#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace chervilpulley::standin {

/// What a stand-in has done, as JSON lines. With a file, the lines outlive the process, also when it is killed.
class record_log
{
public:
  /// @param aFile is read first when it exists; empty keeps the lines in memory only.
  explicit record_log(const std::string& aFile);
  record_log(const record_log&) = delete;
  record_log& operator=(const record_log&) = delete;
  ~record_log();

  void Append(const boost::json::object& aRecord);
  /// All records, one a line.
  std::string Text() const;
  const std::vector<std::string>& Lines() const { return mLines; }

private:
  std::vector<std::string> mLines;
  int mDescriptor = -1;
};

} // namespace chervilpulley::standin
