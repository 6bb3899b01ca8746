#pragma once

#include <random>
#include <string>
#include <vector>

namespace chervilpulley::fuzz {

/// Generates fuzz inputs by mutating seed inputs. The same seed number gives the same inputs on every machine, so that
/// a failure can be reproduced.
class mutator
{
public:
  mutator(std::vector<std::string> aSeeds, std::uint64_t aSeedNumber);
  /// Returns each seed input once, then mutated ones.
  std::string Next();

private:
  /// Returns a random number below aEnd; 0 if aEnd is 0.
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
