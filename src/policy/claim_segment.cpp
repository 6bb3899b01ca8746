#include "policy/claim_segment.h"

#include <algorithm>
#include <set>

namespace chervilpulley::policy {

namespace {

std::set<std::uint64_t> ReleasedClaims(const claim_entries& aEntries)
{
  std::set<std::uint64_t> released;
  for (const auto& entry : aEntries) {
    if (entry.kind() == journal::ENTRY_RELEASE) {
      released.insert(entry.claim_id());
    }
  }
  return released;
}

bool HoldsKey(const journal::entry& aEntry, const std::set<std::uint64_t>& aReleased, calendar_time aNow)
{
  return aEntry.kind() == journal::ENTRY_CLAIM && !aReleased.contains(aEntry.claim_id()) &&
         !IsExpired(aEntry.expires_unix_s(), aNow);
}

} // namespace

std::uint32_t UnixSeconds(calendar_time aTime)
{
  return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::seconds>(aTime.time_since_epoch()).count());
}

bool IsExpired(std::uint32_t aExpiresUnixSeconds, calendar_time aNow)
{
  const calendar_time expires(std::chrono::seconds{ aExpiresUnixSeconds });
  return expires + kClockMargin < aNow;
}

claim_state FindClaimState(const claim_entries& aEntries, calendar_time aNow)
{
  claim_state state;
  const auto released = ReleasedClaims(aEntries);
  for (const auto& entry : aEntries) {
    if (HoldsKey(entry, released, aNow)) {
      state.mClaim = &entry;
    }
  }
  if (state.mClaim == nullptr) {
    return state;
  }
  for (const auto& entry : aEntries) {
    if (entry.kind() == journal::ENTRY_RESULT && entry.claim_id() == state.mClaim->claim_id()) {
      state.mResult = &entry;
    }
  }
  return state;
}

std::optional<std::vector<journal::entry>> open_segment::Refresh(const std::string& aBody)
{
  const bool extends = aBody.starts_with(mBytes);
  const std::size_t known = extends ? mBytes.size() : 0;
  journal::segment rest;
  if (!rest.ParseFromArray(aBody.data() + known, static_cast<int>(aBody.size() - known))) {
    return std::nullopt;
  }
  if (!extends) {
    *this = open_segment();
  }
  std::vector<journal::entry> added(rest.entries().begin(), rest.entries().end());
  Append(added);
  mSealed.assign(rest.sealed().begin(), rest.sealed().end());
  return added;
}

void open_segment::Append(const std::vector<journal::entry>& aEntries)
{
  mBytes += EncodeSegment(aEntries, {});
  for (const auto& entry : aEntries) {
    mIndex.emplace(entry.key(), mEntries.size());
    mEntries.push_back(entry);
  }
}

void open_segment::Collect(const claim_key& aKey, claim_entries& aOut) const
{
  const auto range = mIndex.equal_range(aKey.Str());
  for (auto found = range.first; found != range.second; ++found) {
    aOut.push_back(mEntries[found->second]);
  }
}

std::optional<std::vector<journal::entry>> ParseEntries(const std::string& aBody)
{
  journal::segment parsed;
  if (!parsed.ParseFromString(aBody)) {
    return std::nullopt;
  }
  return std::vector<journal::entry>(parsed.entries().begin(), parsed.entries().end());
}

std::string EncodeSegment(const std::vector<journal::entry>& aEntries,
                          const std::vector<journal::sealed_segment>& aSealed)
{
  journal::segment segment;
  for (const auto& entry : aEntries) {
    *segment.add_entries() = entry;
  }
  for (const auto& sealed : aSealed) {
    *segment.add_sealed() = sealed;
  }
  return segment.SerializeAsString();
}

claim_filter MakeFilter(const std::vector<journal::entry>& aEntries)
{
  claim_filter filter(aEntries.size());
  for (const auto& entry : aEntries) {
    filter.Add(claim_key(entry.key()));
  }
  return filter;
}

journal::sealed_segment DescribeSealed(segment_version aVersion, const std::vector<journal::entry>& aEntries)
{
  journal::sealed_segment sealed;
  sealed.set_version(aVersion.Value());
  for (const auto& entry : aEntries) {
    if (entry.kind() == journal::ENTRY_RESULT) {
      sealed.set_results_expire_unix_s(std::max(sealed.results_expire_unix_s(), entry.expires_unix_s()));
    } else {
      sealed.set_expires_unix_s(std::max(sealed.expires_unix_s(), entry.expires_unix_s()));
    }
  }
  sealed.set_expires_unix_s(std::max(sealed.expires_unix_s(), sealed.results_expire_unix_s()));
  return sealed;
}

std::optional<std::string> DropResults(const std::vector<journal::entry>& aEntries, calendar_time aNow)
{
  journal::segment kept;
  for (const auto& entry : aEntries) {
    if (entry.kind() != journal::ENTRY_RESULT || !IsExpired(entry.expires_unix_s(), aNow)) {
      *kept.add_entries() = entry;
    }
  }
  if (kept.entries_size() == static_cast<int>(aEntries.size())) {
    return std::nullopt;
  }
  return kept.SerializeAsString();
}

} // namespace chervilpulley::policy
