#include "policy/claim_journal.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace chervilpulley::policy {

namespace {

using id_set = std::unordered_set<std::uint64_t>;

id_set IdsOf(const std::vector<journal::entry>& aEntries, journal::entry_kind aKind)
{
  id_set ids;
  for (const auto& entry : aEntries) {
    if (entry.kind() == aKind) {
      ids.insert(entry.claim_id());
    }
  }
  return ids;
}

} // namespace

void claim_journal::HandleReply(journal_reply aReply, calendar_time aNow)
{
  switch (mAction) {
    case journal_action::ReadOpen:
      return TakeOpen(aReply, aNow);
    case journal_action::CreateOpen:
    case journal_action::UpdateOpen:
      return TakeUpdate(aReply, aNow);
    case journal_action::ReadSealed:
      return TakeSealed(aReply, aNow);
    case journal_action::CreateSealed:
      return TakeCopy(aReply, aNow);
    case journal_action::UpdateSealed:
      return TakeRewrite(aReply, aNow);
    case journal_action::DeleteSealed:
      std::erase(mGarbage, mActionSealed);
      return;
    case journal_action::Idle:
    case journal_action::Wait:
      return;
  }
}

void claim_journal::TakeRewrite(const journal_reply& aReply, calendar_time aNow)
{
  const auto known = mSealed.find(mActionSealed);
  if (aReply.mResponse == store_response::Ok && known != mSealed.end()) {
    known->second.mResultsDropped = true;
  }
  if (aReply.mResponse == store_response::Unavailable) {
    Hold(aNow);
  }
}

void claim_journal::TakeOpen(const journal_reply& aReply, calendar_time aNow)
{
  const bool isAbsent = aReply.mResponse == store_response::NotFound && !mVersion;
  const bool isCurrent = aReply.mResponse == store_response::Ok && Condition().Value() <= aReply.mVersion.Value();
  const auto added = isCurrent ? mOpen.Refresh(aReply.mBody) : std::nullopt;
  if (!isAbsent && !added) {
    return Hold(aNow);
  }
  mIsContended = mIsContended && mVersion != aReply.mVersion;
  if (isCurrent) {
    mVersion = aReply.mVersion;
    Observe(*added, aNow);
  }
  const auto missing = std::exchange(mMissing, std::nullopt);
  if (missing && IsListed(*missing)) {
    return Hold(aNow);
  }
  mKnown = true;
  mViewSerial = mSerial;
  ForgetUnlisted();
}

bool claim_journal::IsListed(segment_version aVersion) const
{
  const auto& list = mOpen.Sealed();
  return std::any_of(list.begin(), list.end(), [&](const journal::sealed_segment& aSealed) {
    return aSealed.version() == aVersion.Value();
  });
}

void claim_journal::ForgetUnlisted()
{
  std::erase_if(mSealed, [&](const auto& aEntry) { return !IsListed(aEntry.first); });
  if (mCopied && mCopied != mVersion) {
    if (!IsListed(*mCopied)) {
      mGarbage.push_back(*mCopied);
    }
    mCopied.reset();
  }
}

void claim_journal::TakeSealed(const journal_reply& aReply, calendar_time aNow)
{
  if (aReply.mResponse == store_response::NotFound) {
    mMissing = mActionSealed;
    mKnown = false;
    return;
  }
  const auto entries = aReply.mResponse == store_response::Ok ? ParseEntries(aReply.mBody) : std::nullopt;
  if (!entries) {
    return Hold(aNow);
  }
  if (!mSealed.contains(mActionSealed)) {
    mSealed.emplace(mActionSealed, sealed_info{ MakeFilter(*entries) });
    Observe(*entries, aNow);
  }
  CollectWaiting(*entries);
  if (!ResultsDue(mActionSealed, aNow)) {
    return;
  }
  if (const auto body = DropResults(*entries, aNow)) {
    mRewrite = journal_step{ journal_action::UpdateSealed, mActionSealed, aReply.mVersion, *body, {} };
  } else {
    mSealed.at(mActionSealed).mResultsDropped = true;
  }
}

/// Gives the claims that wait for this segment what it says of their keys.
void claim_journal::CollectWaiting(const std::vector<journal::entry>& aEntries)
{
  const claim_filter& filter = mSealed.at(mActionSealed).mFilter;
  std::unordered_multimap<std::string_view, pending_claim*> waiting;
  for (auto& claim : mClaims) {
    if (filter.MayContain(claim.mRequest.mKey) && claim.mChecked.insert(mActionSealed).second) {
      waiting.emplace(claim.mRequest.mKey.Str(), &claim);
    }
  }
  for (const auto& entry : aEntries) {
    const auto range = waiting.equal_range(entry.key());
    for (auto found = range.first; found != range.second; ++found) {
      found->second->mFound.push_back(entry);
    }
  }
}

void claim_journal::TakeCopy(const journal_reply& aReply, calendar_time aNow)
{
  switch (aReply.mResponse) {
    case store_response::Ok:
    case store_response::Conflict:
      mCopied = mActionSealed;
      return;
    case store_response::Unknown:
      return;
    case store_response::NotFound:
    case store_response::Unavailable:
      return Hold(aNow);
  }
}

void claim_journal::TakeUpdate(const journal_reply& aReply, calendar_time aNow)
{
  const auto claimed = IdsOf(mBatch.mEntries, journal::ENTRY_CLAIM);
  switch (aReply.mResponse) {
    case store_response::Ok:
      return CommitBatch(aReply.mVersion);
    case store_response::Unknown:
      for (auto& claim : mClaims) {
        if (claimed.contains(claim.mRequest.mId.Value())) {
          claim.mUncertainAt = Condition();
        }
      }
      mKnown = false;
      return;
    case store_response::Conflict:
    case store_response::NotFound:
      return LoseRace();
    case store_response::Unavailable:
      return Hold(aNow);
  }
}

void claim_journal::CommitBatch(segment_version aVersion)
{
  const auto claimed = IdsOf(mBatch.mEntries, journal::ENTRY_CLAIM);
  std::erase_if(mClaims, [&](const pending_claim& aClaim) {
    const bool won = claimed.contains(aClaim.mRequest.mId.Value());
    if (won) {
      Decide(aClaim, claim_status::Won);
    }
    return won;
  });
  ReportWritten(mBatch.mEntries);
  ReplaceSealed();
  mOpen.Append(mBatch.mEntries);
  mVersion = aVersion;
  mViewSerial = mSerial;
}

void claim_journal::ReportWritten(const std::vector<journal::entry>& aEntries)
{
  const auto results = IdsOf(aEntries, journal::ENTRY_RESULT);
  const auto releases = IdsOf(aEntries, journal::ENTRY_RELEASE);
  std::erase_if(mWrites, [&](const pending_write& aWrite) {
    const auto& ids = aWrite.mEntry.kind() == journal::ENTRY_RESULT ? results : releases;
    const bool written = ids.contains(aWrite.mEntry.claim_id());
    if (written) {
      mReports.push_back({ claim_id(aWrite.mEntry.claim_id()), write_state::Written });
    }
    return written;
  });
}

void claim_journal::ReplaceSealed()
{
  if (mBatch.mSeals) {
    mSealed.try_emplace(*mVersion, sealed_info{ MakeFilter(mOpen.Entries()) });
    mCopied.reset();
  }
  const auto before = mOpen.Sealed();
  if (mBatch.mSeals) {
    mOpen = open_segment();
  }
  mOpen.Sealed() = mBatch.mSealed;
  for (const auto& sealed : before) {
    if (!IsListed(segment_version(sealed.version()))) {
      mGarbage.push_back(segment_version(sealed.version()));
    }
  }
  ForgetUnlisted();
}

void claim_journal::LoseRace()
{
  const auto claimed = IdsOf(mBatch.mEntries, journal::ENTRY_CLAIM);
  mKnown = false;
  mIsContended = true;
  std::erase_if(mClaims, [&](pending_claim& aClaim) {
    if (!claimed.contains(aClaim.mRequest.mId.Value())) {
      return false;
    }
    ++aClaim.mConflicts;
    const bool isGivenUp = aClaim.mConflicts >= kMaxClaimConflicts && !aClaim.mUncertainAt;
    if (isGivenUp) {
      Decide(aClaim, claim_status::Unavailable);
    }
    return isGivenUp;
  });
}

void claim_journal::Observe(const std::vector<journal::entry>& aEntries, calendar_time aNow)
{
  const auto claimed = IdsOf(aEntries, journal::ENTRY_CLAIM);
  for (auto& claim : mClaims) {
    claim.mLanded = claim.mLanded || claimed.contains(claim.mRequest.mId.Value());
  }
  ReportWritten(aEntries);
  std::erase_if(mAbandoned, [&](const abandoned_claim& aClaim) {
    const bool landed = claimed.contains(aClaim.mRelease.claim_id());
    if (landed) {
      AddWrite(aClaim.mRelease, aNow);
    }
    return landed;
  });
}

/// Called when every listed segment has been observed: what was not seen by now can't appear any more, unless the
/// version is still the one that its write was conditional on.
void claim_journal::SettleUncertain()
{
  std::erase_if(mAbandoned, [&](const abandoned_claim& aClaim) { return aClaim.mVersion != Condition(); });
  for (auto& claim : mClaims) {
    if (claim.mUncertainAt != Condition()) {
      claim.mUncertainAt.reset();
    }
  }
}

void claim_journal::Abandon(const pending_claim& aClaim, calendar_time aNow)
{
  if (!aClaim.mUncertainAt) {
    return;
  }
  mAbandoned.push_back({ MakeRelease(aClaim.mRequest), *aClaim.mUncertainAt, aNow + kWriteRetryTime });
}

void claim_journal::Hold(calendar_time aNow)
{
  mHeldUntil = aNow + kPlatformBackoff;
  mKnown = false;
  Fail(aNow);
}

void claim_journal::Fail(calendar_time aNow)
{
  for (const auto& claim : mClaims) {
    if (claim.mLanded) {
      Decide(claim, claim_status::Won);
      continue;
    }
    Abandon(claim, aNow);
    Decide(claim, claim_status::Unavailable);
  }
  mClaims.clear();
  for (auto& write : mWrites) {
    if (!write.mReported) {
      mReports.push_back({ claim_id(write.mEntry.claim_id()), write_state::Deferred });
    }
    write.mReported = true;
  }
}

} // namespace chervilpulley::policy
