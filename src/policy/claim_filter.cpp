#include "policy/claim_filter.h"

#include "base/random.h"

namespace chervilpulley::policy {

namespace {

constexpr std::size_t kBitsPerKey = 20;
constexpr std::size_t kProbes = 10;
constexpr std::size_t kWordBits = 64;

/// Calls aFunction(word, mask) for each bit of a key until it returns false. Returns whether all calls returned true.
template<class Function>
bool ForEachBit(const claim_key& aKey, std::size_t aWords, Function&& aFunction)
{
  const std::uint64_t hash = StableHash(aKey.Str());
  const std::uint64_t step = (hash >> 32U) | 1U;
  std::uint64_t position = hash;
  for (std::size_t i = 0; i < kProbes; ++i) {
    const std::uint64_t bit = position % (aWords * kWordBits);
    if (!aFunction(bit / kWordBits, std::uint64_t{ 1 } << (bit % kWordBits))) {
      return false;
    }
    position += step;
  }
  return true;
}

} // namespace

claim_filter::claim_filter(std::size_t aKeys)
  : mWords(aKeys * kBitsPerKey / kWordBits + 1)
{
}

void claim_filter::Add(const claim_key& aKey)
{
  ForEachBit(aKey, mWords.size(), [&](std::size_t aWord, std::uint64_t aMask) {
    mWords[aWord] |= aMask;
    return true;
  });
}

bool claim_filter::MayContain(const claim_key& aKey) const
{
  return ForEachBit(
    aKey, mWords.size(), [&](std::size_t aWord, std::uint64_t aMask) { return (mWords[aWord] & aMask) != 0; });
}

} // namespace chervilpulley::policy
