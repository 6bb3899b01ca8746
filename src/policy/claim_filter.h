#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/claim_key.h"

namespace chervilpulley::policy {

/// A Bloom filter over the claim keys of one sealed segment: 20 bits a key.
class claim_filter
{
public:
  explicit claim_filter(std::size_t aKeys);
  void Add(const claim_key& aKey);
  /// False only when the key was surely not added.
  bool MayContain(const claim_key& aKey) const;
  std::size_t Bytes() const { return mWords.size() * sizeof(std::uint64_t); }

private:
  std::vector<std::uint64_t> mWords;
};

} // namespace chervilpulley::policy
