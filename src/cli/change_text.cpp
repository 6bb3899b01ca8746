#include "cli/change_text.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace chervilpulley::cli {

namespace {

/// Maximum size of a change file, in bytes; the size limit of the platform's values bounds what can be accepted.
constexpr std::size_t kMaxChangeBytes = 1'000'000;

bool LooksLikeJson(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r\n");
  return first != std::string::npos && aText[first] == '{';
}

std::string ReadAll(std::istream& aIn)
{
  std::ostringstream text;
  text << aIn.rdbuf();
  return text.str();
}

} // namespace

change_result<admin::change> ParseChange(const std::string& aText, const std::string& aFile)
{
  if (aText.size() > kMaxChangeBytes) {
    return std::vector<change_fault>{ { aFile + ": is larger than " + std::to_string(kMaxChangeBytes) + " bytes" } };
  }
  return LooksLikeJson(aText) ? ParseChangeJson(aText, aFile) : ParseChangeIni(aText, aFile);
}

change_result<admin::change> LoadChange(const std::string& aFile)
{
  if (aFile == "-") {
    return ParseChange(ReadAll(std::cin), "standard input");
  }
  std::ifstream in(aFile);
  if (!in) {
    return std::vector<change_fault>{ { aFile + ": can't be read" } };
  }
  return ParseChange(ReadAll(in), aFile);
}

} // namespace chervilpulley::cli
