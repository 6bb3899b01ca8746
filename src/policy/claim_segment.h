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

/// Segments of a partition's journal: encoding, decoding, and lookup of the claims on a key.
namespace chervilpulley::policy {

/// Version of an open segment. A sealed segment is named after the version that it was copied from.
using segment_version = strong_number<struct segment_version_tag>;

/// Entries about one key, from any number of segments.
using claim_entries = std::vector<journal::entry>;

/// Unix time in seconds, rounded up.
std::uint32_t UnixSeconds(calendar_time aTime);
/// Whether an entry with this expiry time may be dropped: it expired more than kClockMargin ago.
bool IsExpired(std::uint32_t aExpiresUnixSeconds, calendar_time aNow);

/// State of one key according to a set of entries.
struct claim_state
{
  const journal::entry* mClaim = nullptr;  ///< the claim that holds the key; null if the key is free
  const journal::entry* mResult = nullptr; ///< result of that claim; null if there is none
};

/// Finds the claim that holds a key, which is neither released nor expired. The pointers refer to aEntries.
claim_state FindClaimState(const claim_entries& aEntries, calendar_time aNow);

/// The open segment of a partition at one version.
class open_segment
{
public:
  /// Reads the body of a newer version and returns the entries that are new in it. Until the segment is sealed, entries
  /// are only appended, so only the bytes after the known ones are decoded. Returns nothing, and changes nothing, if
  /// the bytes are not a valid segment.
  std::optional<std::vector<journal::entry>> Refresh(const std::string& aBody);

  /// Adds entries at the end, as a successful update of the stored object did.
  void Append(const std::vector<journal::entry>& aEntries);
  /// Appends the entries of a key to aOut.
  void Collect(const claim_key& aKey, claim_entries& aOut) const;
  /// The encoded entries, which are the body of a sealed copy of this segment.
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

/// Decodes the entries of a segment; nothing if the bytes are not a valid segment.
std::optional<std::vector<journal::entry>> ParseEntries(const std::string& aBody);
/// Encodes a segment. The concatenated encodings of two segments encode one segment with the contents of both.
std::string EncodeSegment(const std::vector<journal::entry>& aEntries,
                          const std::vector<journal::sealed_segment>& aSealed);
/// Makes a filter over the keys of the entries.
claim_filter MakeFilter(const std::vector<journal::entry>& aEntries);
/// Makes the list item by which an open segment refers to a sealed segment with these entries.
journal::sealed_segment DescribeSealed(segment_version aVersion, const std::vector<journal::entry>& aEntries);
/// Encodes the entries without the expired results; nothing if no result has expired.
std::optional<std::string> DropResults(const std::vector<journal::entry>& aEntries, calendar_time aNow);

} // namespace chervilpulley::policy
