#pragma once

#include <string>
#include <vector>

/// Splits INI text into sections, in order. The library that parses settings truncates long lines and drops sections
/// without keys; either could lose a part of a change, so changes are parsed here.
namespace chervilpulley::cli {

/// A line "key = value".
struct ini_entry
{
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

/// A section with its entries.
struct ini_section
{
  std::string mName; ///< empty for entries before the first section
  int mLine = 0;
  std::vector<ini_entry> mEntries;
};

/// A parsed text.
struct ini_text
{
  std::vector<ini_section> mSections;
  std::vector<int> mBadLines; ///< numbers of lines that are neither a section, nor "key = value", nor a comment
};

/// Splits text into sections; a line that starts with ";" or "#" is a comment.
ini_text SplitIni(const std::string& aText);

} // namespace chervilpulley::cli
