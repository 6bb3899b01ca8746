#include "record_log.h"

#include <boost/json/serialize.hpp>

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace chervilpulley::standin {

record_log::record_log(const std::string& aFile)
{
  if (aFile.empty()) {
    return;
  }
  std::ifstream previousRun(aFile);
  for (std::string line; std::getline(previousRun, line);) {
    mLines.push_back(line);
  }
  mDescriptor = open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (mDescriptor < 0) {
    std::perror(("standin: can't open records file " + aFile).c_str());
    std::exit(2);
  }
}

record_log::~record_log()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

void record_log::Append(const boost::json::object& aRecord)
{
  mLines.push_back(boost::json::serialize(aRecord));
  if (mDescriptor < 0) {
    return;
  }
  const std::string line = mLines.back() + "\n";
  if (write(mDescriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    std::perror("standin: can't write a record");
    std::exit(2);
  }
}

std::string record_log::Text() const
{
  std::string text;
  for (const std::string& line : mLines) {
    text += line;
    text += '\n';
  }
  return text;
}

} // namespace chervilpulley::standin
