#include "fuzz/mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chervilpulley::fuzz {

namespace {

constexpr std::size_t kMostBytes = 4096;
constexpr std::size_t kMostChanges = 6;
constexpr std::size_t kMostRepeats = 64;

/// Pieces at which decoders change their course.
constexpr std::array<std::string_view, 24> kPieces = { "{",          "}",   "[",  "]",    "\"", "\\",
                                                       ":",          ",",   "=",  "~",    "%",  "\n",
                                                       "null",       "-1",  "0",  "true", "[[", "\\u0000",
                                                       "4294967296", "1e9", "\r", ";",    "/",  "\xf0\x9f\x98\x80" };

} // namespace

mutator::mutator(std::vector<std::string> aSeeds, std::uint64_t aSeedNumber)
  : mSeeds(std::move(aSeeds))
  , mRandom(aSeedNumber)
{
  mSeeds.emplace_back();
}

std::size_t mutator::Below(std::size_t aEnd)
{
  return aEnd == 0 ? 0 : static_cast<std::size_t>(mRandom() % aEnd);
}

std::string mutator::Next()
{
  if (mUsed < mSeeds.size()) {
    return mSeeds[mUsed++];
  }
  std::string input = AnySeed();
  for (std::size_t changes = 1 + Below(kMostChanges); changes > 0; --changes) {
    Change(input);
  }
  input.resize(std::min(input.size(), kMostBytes));
  return input;
}

void mutator::Change(std::string& aInput)
{
  switch (Below(5)) {
    case 0:
      return Overwrite(aInput);
    case 1:
      return Insert(aInput);
    case 2:
      return Erase(aInput);
    case 3:
      return Repeat(aInput);
    default:
      return Splice(aInput);
  }
}

void mutator::Overwrite(std::string& aInput)
{
  if (!aInput.empty()) {
    char& byte = aInput[Below(aInput.size())];
    const auto changed = static_cast<unsigned char>(byte) ^ (1U << Below(8));
    byte = static_cast<char>(Below(2) == 0 ? changed : Below(256));
  }
}

void mutator::Insert(std::string& aInput)
{
  aInput.insert(Below(aInput.size() + 1), kPieces[Below(kPieces.size())]);
}

void mutator::Erase(std::string& aInput)
{
  const std::size_t at = Below(aInput.size());
  aInput.erase(at, 1 + Below(aInput.size() - at));
}

void mutator::Repeat(std::string& aInput)
{
  const std::size_t at = Below(aInput.size());
  const std::string piece = aInput.substr(at, 1 + Below(8));
  for (std::size_t repeats = Below(kMostRepeats); repeats > 0; --repeats) {
    aInput.insert(at, piece);
  }
}

void mutator::Splice(std::string& aInput)
{
  const std::string& other = AnySeed();
  aInput = aInput.substr(0, Below(aInput.size() + 1)) + other.substr(Below(other.size() + 1));
}

} // namespace chervilpulley::fuzz
