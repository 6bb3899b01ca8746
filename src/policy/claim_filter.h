#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/claim_key.h"

namespace chervilpulley::policy {

/// A Bloom filter over the claim keys of one sealed segment, with 20 bits per key. It saves the read of a sealed
/// segment for keys that the segment does not contain.
class claim_filter
{
public:
  /// @param aKeys number of keys that will be added.
  explicit claim_filter(std::size_t aKeys);
  void Add(const claim_key& aKey);
  /// False only if the key was certainly not added.
  bool MayContain(const claim_key& aKey) const;
  /// Memory of the bit array.
  std::size_t Bytes() const { return mWords.size() * sizeof(std::uint64_t); }

private:
  std::vector<std::uint64_t> mWords;
};

} // namespace chervilpulley::policy
