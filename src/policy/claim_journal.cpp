#include "policy/claim_journal.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Approximate memory of a decoded entry with its place in the index.
constexpr std::size_t kEntryMemoryBytes = 300;

journal::entry MakeEntry(journal::entry_kind aKind, const claim_request& aClaim)
{
  journal::entry entry;
  entry.set_kind(aKind);
  entry.set_key(aClaim.mKey.Str());
  entry.set_claim_id(aClaim.mId.Value());
  entry.set_expires_unix_s(UnixSeconds(aClaim.mLifetime.mExpires));
  return entry;
}

journal::entry MakeClaimEntry(const claim_request& aClaim)
{
  journal::entry entry = MakeEntry(journal::ENTRY_CLAIM, aClaim);
  entry.set_body_digest(aClaim.mBody.Value());
  return entry;
}

bool IsRelease(const journal::entry& aEntry)
{
  return aEntry.kind() == journal::ENTRY_RELEASE;
}

} // namespace

journal::entry MakeRelease(const claim_request& aClaim)
{
  return MakeEntry(journal::ENTRY_RELEASE, aClaim);
}

void claim_journal::Claim(claim_request aRequest)
{
  pending_claim claim;
  claim.mRequest = std::move(aRequest);
  claim.mAddedAtStep = mOpenSteps;
  mClaims.push_back(std::move(claim));
}

void claim_journal::WriteResult(const claim_request& aClaim, journal::answer aResponse, calendar_time aNow)
{
  journal::entry entry = MakeEntry(journal::ENTRY_RESULT, aClaim);
  entry.set_expires_unix_s(UnixSeconds(std::min(aClaim.mLifetime.mExpires, aNow + kMaxResultRetention)));
  if (aResponse.ByteSizeLong() > mLimits.mResponseBytes) {
    entry.mutable_answer()->set_too_large(true);
  } else {
    *entry.mutable_answer() = std::move(aResponse);
  }
  AddWrite(std::move(entry), aNow);
}

void claim_journal::Release(const claim_request& aClaim, calendar_time aNow)
{
  AddWrite(MakeRelease(aClaim), aNow);
}

void claim_journal::AddWrite(journal::entry aEntry, calendar_time aNow)
{
  pending_write write{ std::move(aEntry), aNow + kWriteRetryTime, false };
  if (IsRelease(write.mEntry)) {
    mWrites.push_front(std::move(write));
  } else {
    mWrites.push_back(std::move(write));
  }
}

void claim_journal::Decide(const pending_claim& aClaim, claim_status aStatus, const journal::entry* aResult)
{
  claim_decision decision{ aClaim.mRequest.mId, aStatus, std::nullopt };
  if (aResult != nullptr) {
    decision.mResponse = aResult->answer();
  }
  mDecisions.push_back(std::move(decision));
}

journal_step claim_journal::Next(calendar_time aNow)
{
  GiveUpWrites(aNow);
  RefreshContended();
  journal_step step;
  if (IsBackingOff(aNow)) {
    FailPending(aNow);
    step = BackoffStep();
  } else if (HasPending() || mIsOpenCurrent) {
    step = NextActive(aNow).value_or(journal_step{});
  }
  mAction = step.mAction;
  mActionSealed = step.mSealed;
  return step;
}

bool claim_journal::IsBackingOff(calendar_time aNow) const
{
  const bool clockWentBackward = mBackoffUntil - aNow > kPlatformBackoff;
  return aNow < mBackoffUntil && !clockWentBackward;
}

std::size_t claim_journal::MemoryBytes() const
{
  std::size_t bytes = mOpen.EncodedEntries().size() + mOpen.Entries().size() * kEntryMemoryBytes;
  for (const auto& sealed : mSealed) {
    bytes += sealed.second.mFilter.Bytes();
  }
  return bytes;
}

journal_step claim_journal::BackoffStep() const
{
  journal_step step;
  step.mAction = HasPending() ? journal_action::Wait : journal_action::Idle;
  step.mUntil = mBackoffUntil;
  return step;
}

void claim_journal::RefreshContended()
{
  const bool wasIdle = mAction == journal_action::Idle;
  if (mIsContended && wasIdle && HasPending()) {
    mIsOpenCurrent = false;
  }
}

std::optional<journal_step> claim_journal::NextActive(calendar_time aNow)
{
  auto step = NextRead(aNow);
  if (!step) {
    step = DecideAll(aNow);
  }
  if (!step) {
    step = NextWrite(aNow);
  }
  if (!step) {
    step = NextCleanup(aNow);
  }
  return step;
}

void claim_journal::GiveUpWrites(calendar_time aNow)
{
  std::erase_if(mWrites, [&](const pending_write& aWrite) {
    if (aWrite.mDeadline >= aNow) {
      return false;
    }
    mReports.push_back({ claim_id(aWrite.mEntry.claim_id()), write_state::GivenUp });
    return true;
  });
  std::erase_if(mAbandoned, [&](const abandoned_claim& aClaim) { return aClaim.mDeadline < aNow; });
}

std::optional<journal_step> claim_journal::NextRead(calendar_time aNow)
{
  journal_step step;
  if (!mIsOpenCurrent) {
    step.mAction = journal_action::ReadOpen;
    ++mOpenSteps;
    return step;
  }
  for (const auto& sealed : mOpen.Sealed()) {
    const segment_version version(sealed.version());
    if (!mSealed.contains(version) && !IsExpired(sealed.expires_unix_s(), aNow)) {
      step.mAction = journal_action::ReadSealed;
      step.mSealed = version;
      return step;
    }
  }
  ResolveUncertain();
  return std::nullopt;
}

std::optional<journal_step> claim_journal::DecideAll(calendar_time aNow)
{
  for (std::size_t i = 0; i < mClaims.size();) {
    bool decided = false;
    auto step = DecideOne(mClaims[i], aNow, decided);
    if (step) {
      return step;
    }
    if (decided) {
      mClaims.erase(mClaims.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  return std::nullopt;
}

std::optional<journal_step> claim_journal::DecideOne(const pending_claim& aClaim, calendar_time aNow, bool& aDecided)
{
  const auto& refusedAfter = aClaim.mRequest.mLifetime.mRefusedAfter;
  aDecided = true;
  if (aClaim.mIsInJournal) {
    Decide(aClaim, claim_status::Won);
    return std::nullopt;
  }
  if (refusedAfter && *refusedAfter < aNow) {
    Abandon(aClaim, aNow);
    Decide(aClaim, claim_status::TooOld);
    return std::nullopt;
  }
  if (!MayDispatch(aClaim.mRequest.mLifetime, aNow)) {
    Abandon(aClaim, aNow);
    Decide(aClaim, claim_status::Unavailable);
    return std::nullopt;
  }
  if (const auto unread = FindUnreadSegment(aClaim, aNow)) {
    journal_step step;
    step.mAction = journal_action::ReadSealed;
    step.mSealed = *unread;
    return step;
  }
  const claim_entries entries = FindEntries(aClaim);
  const claim_state state = FindClaimState(entries, aNow);
  if (state.mClaim == nullptr) {
    aDecided = false;
    return std::nullopt;
  }
  return DecideHeldKey(aClaim, state);
}

std::optional<journal_step> claim_journal::DecideHeldKey(const pending_claim& aClaim, const claim_state& aState)
{
  if (aState.mClaim->body_digest() != aClaim.mRequest.mBody.Value()) {
    Decide(aClaim, claim_status::KeyReused);
    return std::nullopt;
  }
  if (aState.mResult != nullptr) {
    Decide(aClaim, claim_status::HasResult, aState.mResult);
    return std::nullopt;
  }
  if (IsConfirmedSinceAdded(aClaim)) {
    Decide(aClaim, claim_status::NoResult);
    return std::nullopt;
  }
  mIsOpenCurrent = false;
  ++mOpenSteps;
  journal_step step;
  step.mAction = journal_action::ReadOpen;
  return step;
}

claim_entries claim_journal::FindEntries(const pending_claim& aClaim) const
{
  const claim_key& key = aClaim.mRequest.mKey;
  claim_entries entries = aClaim.mSealedEntries;
  mOpen.Collect(key, entries);
  for (const auto& write : mWrites) {
    if (!IsRelease(write.mEntry)) {
      break;
    }
    if (write.mEntry.key() == key.Str()) {
      entries.push_back(write.mEntry);
    }
  }
  return entries;
}

std::optional<segment_version> claim_journal::FindUnreadSegment(const pending_claim& aClaim, calendar_time aNow) const
{
  for (const auto& sealed : mOpen.Sealed()) {
    const segment_version version(sealed.version());
    const auto known = mSealed.find(version);
    const bool skip = known == mSealed.end() || IsExpired(sealed.expires_unix_s(), aNow);
    if (!skip && !aClaim.mReadSegments.contains(version) && known->second.mFilter.MayContain(aClaim.mRequest.mKey)) {
      return version;
    }
  }
  return std::nullopt;
}

bool claim_journal::NeedsFencingWrite() const
{
  return std::any_of(mAbandoned.begin(), mAbandoned.end(), [&](const abandoned_claim& aClaim) {
    return aClaim.mVersion == Condition();
  });
}

std::vector<journal::entry> claim_journal::CollectBatchEntries() const
{
  std::vector<journal::entry> entries;
  std::size_t bytes = 0;
  const auto add = [&](const journal::entry& aEntry) {
    const std::size_t size = aEntry.ByteSizeLong();
    if (!entries.empty() && bytes + size > mLimits.mBatchBytes) {
      return false;
    }
    bytes += size;
    entries.push_back(aEntry);
    return true;
  };
  for (const auto& write : mWrites) {
    if (!add(write.mEntry)) {
      return entries;
    }
  }
  std::set<std::string> keys;
  for (const auto& claim : mClaims) {
    const journal::entry entry = MakeClaimEntry(claim.mRequest);
    if (keys.insert(entry.key()).second && !add(entry)) {
      return entries;
    }
  }
  return entries;
}

std::vector<journal::sealed_segment> claim_journal::CollectListedSegments(calendar_time aNow) const
{
  std::vector<journal::sealed_segment> list;
  for (const auto& sealed : mOpen.Sealed()) {
    if (IsExpired(sealed.expires_unix_s(), aNow)) {
      continue;
    }
    list.push_back(sealed);
    const auto known = mSealed.find(segment_version(sealed.version()));
    if (known != mSealed.end() && known->second.mResultsDropped) {
      list.back().clear_results_expire_unix_s();
    }
  }
  return list;
}

std::optional<journal_step> claim_journal::NextWrite(calendar_time aNow)
{
  std::vector<journal::entry> entries = CollectBatchEntries();
  if (entries.empty() && !NeedsFencingWrite()) {
    return std::nullopt;
  }
  const std::size_t bytes = EncodeSegment(entries, {}).size();
  const bool isSealing =
    !mOpen.Entries().empty() && mOpen.EncodedEntries().size() + bytes > mLimits.mSegmentBytes && !entries.empty();
  if (isSealing && mCopiedVersion != mVersion) {
    return CopyStep();
  }
  return UpdateStep(std::move(entries), isSealing, aNow);
}

/// Copies the open segment before it is emptied. An existing copy has the same entries, because the copy is named after
/// the version that it was made from.
journal_step claim_journal::CopyStep() const
{
  journal_step step;
  step.mAction = journal_action::CreateSealed;
  step.mSealed = *mVersion;
  step.mBody = mOpen.EncodedEntries();
  return step;
}

journal_step claim_journal::UpdateStep(std::vector<journal::entry> aEntries, bool aIsSealing, calendar_time aNow)
{
  mBatch.mEntries = std::move(aEntries);
  mBatch.mSealed = CollectListedSegments(aNow);
  mBatch.mIsSealing = aIsSealing;
  journal_step step;
  step.mAction = mVersion ? journal_action::UpdateOpen : journal_action::CreateOpen;
  step.mVersion = Condition();
  if (aIsSealing) {
    mBatch.mSealed.push_back(DescribeSealed(*mVersion, mOpen.Entries()));
  } else {
    step.mBody = mOpen.EncodedEntries();
  }
  step.mBody += EncodeSegment(mBatch.mEntries, mBatch.mSealed);
  ++mOpenSteps;
  return step;
}

std::optional<journal_step> claim_journal::NextCleanup(calendar_time aNow)
{
  if (mRewrite) {
    return std::exchange(mRewrite, std::nullopt);
  }
  journal_step step;
  if (!mGarbage.empty()) {
    step.mAction = journal_action::DeleteSealed;
    step.mSealed = mGarbage.back();
    return step;
  }
  for (const auto& sealed : mOpen.Sealed()) {
    const segment_version version(sealed.version());
    if (HasExpiredResults(version, aNow)) {
      step.mAction = journal_action::ReadSealed;
      step.mSealed = version;
      return step;
    }
  }
  return std::nullopt;
}

bool claim_journal::HasExpiredResults(segment_version aVersion, calendar_time aNow) const
{
  const auto known = mSealed.find(aVersion);
  if (known == mSealed.end() || known->second.mResultsDropped) {
    return false;
  }
  const auto& list = mOpen.Sealed();
  return std::any_of(list.begin(), list.end(), [&](const journal::sealed_segment& aSealed) {
    const auto expires = aSealed.results_expire_unix_s();
    return aSealed.version() == aVersion.Value() && expires != 0 && IsExpired(expires, aNow);
  });
}

} // namespace chervilpulley::policy
