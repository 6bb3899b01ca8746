#pragma once

#include <random>
#include <string>
#include <vector>

namespace chervilpulley::fuzz {

/// Makes inputs from seeds; the same seed number gives the same inputs on every machine.
class mutator
{
public:
  mutator(std::vector<std::string> aSeeds, std::uint64_t aSeedNumber);
  /// The seeds first, then changed ones.
  std::string Next();

private:
  /// A number below aEnd; 0 when aEnd is 0.
  std::size_t RandomBelow(std::size_t aEnd);
  const std::string& RandomSeedInput() { return mSeeds[RandomBelow(mSeeds.size())]; }
  void Mutate(std::string& aInput);
  void Overwrite(std::string& aInput);
  void Insert(std::string& aInput);
  void Erase(std::string& aInput);
  void Repeat(std::string& aInput);
  void Splice(std::string& aInput);

  std::vector<std::string> mSeeds;
  std::size_t mNextSeed = 0;
  std::mt19937_64 mRandom;
};

} // namespace chervilpulley::fuzz
