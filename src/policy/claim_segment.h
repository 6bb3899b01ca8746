#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "generated/journal.pb.h"
#include "policy/claim_filter.h"
#include "policy/claim_key.h"

/// Segments of a partition's journal: reading them and looking up what they say of a key.
namespace chervilpulley::policy {

/// Version of an open segment; a sealed segment is named after the one that it copies.
using segment_version = strong_number<struct segment_version_tag>;

/// Entries about one key, from any number of segments.
using claim_entries = std::vector<journal::entry>;

std::uint32_t UnixSeconds(calendar_time aTime);
/// Tells whether an entry that expires then may be dropped.
bool IsExpired(std::uint32_t aExpiresUnixSeconds, calendar_time aNow);

/// What a set of entries about one key says.
struct claim_state
{
  const journal::entry* mClaim = nullptr;  ///< the claim that holds the key; null when it is free
  const journal::entry* mResult = nullptr; ///< the claim's result; null while there is none
};

/// The claim that holds a key: neither released nor expired. The result points into aEntries.
claim_state FindClaimState(const claim_entries& aEntries, calendar_time aNow);

/// The open segment of a partition at one version.
class open_segment
{
public:
  /// Takes a newer version's body and returns the entries that are new in it. Entries are only ever added until the
  /// segment is sealed, so just the rest is read. Nothing, and no change, when the bytes are no segment.
  std::optional<std::vector<journal::entry>> Refresh(const std::string& aBody);

  void Append(const std::vector<journal::entry>& aEntries);
  /// Adds the entries of a key to aOut.
  void Collect(const claim_key& aKey, claim_entries& aOut) const;
  /// The entries, encoded: what a sealed copy of this segment holds.
  const std::string& EncodedEntries() const { return mBytes; }
  const std::vector<journal::entry>& Entries() const { return mEntries; }
  const std::vector<journal::sealed_segment>& Sealed() const { return mSealed; }
  std::vector<journal::sealed_segment>& Sealed() { return mSealed; }

private:
  std::vector<journal::entry> mEntries;
  std::unordered_multimap<std::string, std::size_t> mIndex; ///< key to position in mEntries
  std::string mBytes;                                       ///< the entries, encoded
  std::vector<journal::sealed_segment> mSealed;
};

/// The entries of an encoded segment; nothing when the bytes are no segment.
std::optional<std::vector<journal::entry>> ParseEntries(const std::string& aBody);
/// Encodes a segment. The encodings of two segments, joined, encode the segment with the contents of both.
std::string EncodeSegment(const std::vector<journal::entry>& aEntries,
                          const std::vector<journal::sealed_segment>& aSealed);
/// Filter over the keys of some entries.
claim_filter MakeFilter(const std::vector<journal::entry>& aEntries);
/// How an open segment lists the sealed segment with these entries.
journal::sealed_segment DescribeSealed(segment_version aVersion, const std::vector<journal::entry>& aEntries);
/// The entries without results that may be dropped; nothing when none may be.
std::optional<std::string> DropResults(const std::vector<journal::entry>& aEntries, calendar_time aNow);

} // namespace chervilpulley::policy
