#include "fuzz/mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace chervilpulley::fuzz {

namespace {

constexpr std::size_t kMaxInputBytes = 4096;
constexpr std::size_t kMaxMutations = 6;
constexpr std::size_t kMaxRepeats = 64;

/// Texts at which decoders branch: delimiters, escapes, literals and numbers at a limit.
constexpr std::array<std::string_view, 24> kDictionary = {
  "{",    "}",  "[", "]",    "\"", "\\",      ":",          ",",   "=",  "~", "%", "\n",
  "null", "-1", "0", "true", "[[", "\\u0000", "4294967296", "1e9", "\r", ";", "/", "\xf0\x9f\x98\x80"
};

} // namespace

mutator::mutator(std::vector<std::string> aSeeds, std::uint64_t aSeedNumber)
  : mSeeds(std::move(aSeeds))
  , mRandom(aSeedNumber)
{
  mSeeds.emplace_back();
}

std::size_t mutator::RandomBelow(std::size_t aEnd)
{
  return aEnd == 0 ? 0 : static_cast<std::size_t>(mRandom() % aEnd);
}

std::string mutator::Next()
{
  if (mNextSeed < mSeeds.size()) {
    return mSeeds[mNextSeed++];
  }
  std::string input = RandomSeedInput();
  for (std::size_t changes = 1 + RandomBelow(kMaxMutations); changes > 0; --changes) {
    Mutate(input);
  }
  input.resize(std::min(input.size(), kMaxInputBytes));
  return input;
}

void mutator::Mutate(std::string& aInput)
{
  switch (RandomBelow(5)) {
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
    char& byte = aInput[RandomBelow(aInput.size())];
    const auto changed = static_cast<unsigned char>(byte) ^ (1U << RandomBelow(8));
    byte = static_cast<char>(RandomBelow(2) == 0 ? changed : RandomBelow(256));
  }
}

void mutator::Insert(std::string& aInput)
{
  aInput.insert(RandomBelow(aInput.size() + 1), kDictionary[RandomBelow(kDictionary.size())]);
}

void mutator::Erase(std::string& aInput)
{
  const std::size_t at = RandomBelow(aInput.size());
  aInput.erase(at, 1 + RandomBelow(aInput.size() - at));
}

void mutator::Repeat(std::string& aInput)
{
  const std::size_t at = RandomBelow(aInput.size());
  const std::string repeated = aInput.substr(at, 1 + RandomBelow(8));
  for (std::size_t repeats = RandomBelow(kMaxRepeats); repeats > 0; --repeats) {
    aInput.insert(at, repeated);
  }
}

void mutator::Splice(std::string& aInput)
{
  const std::string& other = RandomSeedInput();
  aInput = aInput.substr(0, RandomBelow(aInput.size() + 1)) + other.substr(RandomBelow(other.size() + 1));
}

} // namespace chervilpulley::fuzz
