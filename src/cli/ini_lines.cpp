#include "cli/ini_lines.h"

#include <boost/algorithm/string/trim.hpp>

#include <sstream>

namespace chervilpulley::cli {

namespace {

using boost::algorithm::trim_copy;

bool IsComment(const std::string& aLine)
{
  return aLine.empty() || aLine[0] == ';' || aLine[0] == '#';
}

/// Parses a line; returns false when it is neither a section nor "key = value".
bool ParseLine(ini_text& aIni, const std::string& aLine, int aNumber)
{
  if (aLine.front() == '[') {
    if (aLine.back() != ']') {
      return false;
    }
    aIni.mSections.push_back({ trim_copy(aLine.substr(1, aLine.size() - 2)), aNumber, {} });
    return true;
  }
  const std::size_t equals = aLine.find('=');
  if (equals == std::string::npos || equals == 0) {
    return false;
  }
  if (aIni.mSections.empty()) {
    aIni.mSections.push_back({ "", aNumber, {} });
  }
  const std::string key = trim_copy(aLine.substr(0, equals));
  aIni.mSections.back().mEntries.push_back({ key, trim_copy(aLine.substr(equals + 1)), aNumber });
  return true;
}

} // namespace

ini_text SplitIni(const std::string& aText)
{
  ini_text ini;
  std::istringstream lines(aText);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    const std::string trimmed = trim_copy(line);
    if (!IsComment(trimmed) && !ParseLine(ini, trimmed, number)) {
      ini.mBadLines.push_back(number);
    }
  }
  return ini;
}

} // namespace chervilpulley::cli
