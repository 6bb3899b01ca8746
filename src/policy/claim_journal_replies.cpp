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
      return HandleOpen(aReply, aNow);
    case journal_action::CreateOpen:
    case journal_action::UpdateOpen:
      return HandleUpdate(aReply, aNow);
    case journal_action::ReadSealed:
      return HandleSealed(aReply, aNow);
    case journal_action::CreateSealed:
      return HandleCopy(aReply, aNow);
    case journal_action::UpdateSealed:
      return HandleRewrite(aReply, aNow);
    case journal_action::DeleteSealed:
      std::erase(mGarbage, mActionSealed);
      return;
    case journal_action::Idle:
    case journal_action::Wait:
      return;
  }
}

void claim_journal::HandleRewrite(const journal_reply& aReply, calendar_time aNow)
{
  const auto known = mSealed.find(mActionSealed);
  if (aReply.mResponse == store_response::Ok && known != mSealed.end()) {
    known->second.mResultsDropped = true;
  }
  if (aReply.mResponse == store_response::Unavailable) {
    StartBackoff(aNow);
  }
}

void claim_journal::HandleOpen(const journal_reply& aReply, calendar_time aNow)
{
  const bool isAbsent = aReply.mResponse == store_response::NotFound && !mVersion;
  const bool isCurrent = aReply.mResponse == store_response::Ok && Condition().Value() <= aReply.mVersion.Value();
  const auto added = isCurrent ? mOpen.Refresh(aReply.mBody) : std::nullopt;
  if (!isAbsent && !added) {
    return StartBackoff(aNow);
  }
  mIsContended = mIsContended && mVersion != aReply.mVersion;
  if (isCurrent) {
    mVersion = aReply.mVersion;
    ObserveEntries(*added, aNow);
  }
  const auto missing = std::exchange(mMissingSegment, std::nullopt);
  if (missing && IsListed(*missing)) {
    return StartBackoff(aNow);
  }
  mIsOpenCurrent = true;
  mConfirmedAtStep = mOpenSteps;
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
  if (mCopiedVersion && mCopiedVersion != mVersion) {
    if (!IsListed(*mCopiedVersion)) {
      mGarbage.push_back(*mCopiedVersion);
    }
    mCopiedVersion.reset();
  }
}

void claim_journal::HandleSealed(const journal_reply& aReply, calendar_time aNow)
{
  if (aReply.mResponse == store_response::NotFound) {
    mMissingSegment = mActionSealed;
    mIsOpenCurrent = false;
    return;
  }
  const auto entries = aReply.mResponse == store_response::Ok ? ParseEntries(aReply.mBody) : std::nullopt;
  if (!entries) {
    return StartBackoff(aNow);
  }
  if (!mSealed.contains(mActionSealed)) {
    mSealed.emplace(mActionSealed, sealed_info{ MakeFilter(*entries) });
    ObserveEntries(*entries, aNow);
  }
  CollectForPending(*entries);
  if (!HasExpiredResults(mActionSealed, aNow)) {
    return;
  }
  if (const auto body = DropResults(*entries, aNow)) {
    mRewrite = journal_step{ journal_action::UpdateSealed, mActionSealed, aReply.mVersion, *body, {} };
  } else {
    mSealed.at(mActionSealed).mResultsDropped = true;
  }
}

/// Adds the entries of the sealed segment to the pending claims that still need to read it.
void claim_journal::CollectForPending(const std::vector<journal::entry>& aEntries)
{
  const claim_filter& filter = mSealed.at(mActionSealed).mFilter;
  std::unordered_multimap<std::string_view, pending_claim*> waiting;
  for (auto& claim : mClaims) {
    if (filter.MayContain(claim.mRequest.mKey) && claim.mReadSegments.insert(mActionSealed).second) {
      waiting.emplace(claim.mRequest.mKey.Str(), &claim);
    }
  }
  for (const auto& entry : aEntries) {
    const auto range = waiting.equal_range(entry.key());
    for (auto found = range.first; found != range.second; ++found) {
      found->second->mSealedEntries.push_back(entry);
    }
  }
}

void claim_journal::HandleCopy(const journal_reply& aReply, calendar_time aNow)
{
  switch (aReply.mResponse) {
    case store_response::Ok:
    case store_response::Conflict:
      mCopiedVersion = mActionSealed;
      return;
    case store_response::Unknown:
      return;
    case store_response::NotFound:
    case store_response::Unavailable:
      return StartBackoff(aNow);
  }
}

void claim_journal::HandleUpdate(const journal_reply& aReply, calendar_time aNow)
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
      mIsOpenCurrent = false;
      return;
    case store_response::Conflict:
    case store_response::NotFound:
      return HandleConflict();
    case store_response::Unavailable:
      return StartBackoff(aNow);
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
  mConfirmedAtStep = mOpenSteps;
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
  if (mBatch.mIsSealing) {
    mSealed.try_emplace(*mVersion, sealed_info{ MakeFilter(mOpen.Entries()) });
    mCopiedVersion.reset();
  }
  const auto before = mOpen.Sealed();
  if (mBatch.mIsSealing) {
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

void claim_journal::HandleConflict()
{
  const auto claimed = IdsOf(mBatch.mEntries, journal::ENTRY_CLAIM);
  mIsOpenCurrent = false;
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

void claim_journal::ObserveEntries(const std::vector<journal::entry>& aEntries, calendar_time aNow)
{
  const auto claimed = IdsOf(aEntries, journal::ENTRY_CLAIM);
  for (auto& claim : mClaims) {
    claim.mIsInJournal = claim.mIsInJournal || claimed.contains(claim.mRequest.mId.Value());
  }
  ReportWritten(aEntries);
  std::erase_if(mAbandoned, [&](const abandoned_claim& aClaim) {
    const bool isInJournal = claimed.contains(aClaim.mRelease.claim_id());
    if (isInJournal) {
      AddWrite(aClaim.mRelease, aNow);
    }
    return isInJournal;
  });
}

/// Called when every listed segment has been read. A claim that was not found by now can't appear any more, unless the
/// open segment is still at the version that the claim's write was conditional on.
void claim_journal::ResolveUncertain()
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

void claim_journal::StartBackoff(calendar_time aNow)
{
  mBackoffUntil = aNow + kPlatformBackoff;
  mIsOpenCurrent = false;
  FailPending(aNow);
}

void claim_journal::FailPending(calendar_time aNow)
{
  for (const auto& claim : mClaims) {
    if (claim.mIsInJournal) {
      Decide(claim, claim_status::Won);
      continue;
    }
    Abandon(claim, aNow);
    Decide(claim, claim_status::Unavailable);
  }
  mClaims.clear();
  for (auto& write : mWrites) {
    if (!write.mIsReported) {
      mReports.push_back({ claim_id(write.mEntry.claim_id()), write_state::Deferred });
    }
    write.mIsReported = true;
  }
}

} // namespace chervilpulley::policy
