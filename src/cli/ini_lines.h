#pragma once

#include <string>
#include <vector>

/// INI text as sections in order. The library that reads settings cuts long lines and drops sections without keys,
/// either of which could lose a part of a change; so changes are split here.
namespace chervilpulley::cli {

struct ini_entry
{
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

struct ini_section
{
  std::string mName; ///< empty for what stands before the first section
  int mLine = 0;
  std::vector<ini_entry> mEntries;
};

struct ini_text
{
  std::vector<ini_section> mSections;
  std::vector<int> mBadLines; ///< neither a section, nor "key = value", nor a comment
};

/// Splits text into sections; a line that starts with ";" or "#" is a comment.
ini_text SplitIni(const std::string& aText);

} // namespace chervilpulley::cli
