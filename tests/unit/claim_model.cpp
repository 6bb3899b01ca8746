#include "unit/claim_model.h"

#include <algorithm>

namespace chervilpulley::policy::model {

namespace {

constexpr std::chrono::milliseconds kRetention = std::chrono::hours(4);
constexpr std::chrono::milliseconds kJump = std::chrono::hours(2);
constexpr std::chrono::milliseconds kLongJump = std::chrono::hours(6); ///< longer than retention plus clock margin
constexpr std::size_t kSmallSegment = 220;
constexpr std::size_t kSmallBatch = 160;
constexpr std::uint8_t kKeys = 5;
constexpr int kFinishRounds = 2000;

std::string KeyOf(const journal_step& aStep)
{
  switch (aStep.mAction) {
    case journal_action::ReadOpen:
    case journal_action::CreateOpen:
    case journal_action::UpdateOpen:
      return "open";
    default:
      return std::to_string(aStep.mSealed.Value());
  }
}

bool IsWrite(const journal_step& aStep)
{
  return aStep.mAction != journal_action::ReadOpen && aStep.mAction != journal_action::ReadSealed;
}

bool IsOpenUpdate(const journal_step& aStep)
{
  return aStep.mAction == journal_action::CreateOpen || aStep.mAction == journal_action::UpdateOpen;
}

std::string DropClaimsWithoutResult(const std::string& aBody)
{
  journal::segment segment;
  segment.ParseFromString(aBody);
  std::set<std::uint64_t> withResult;
  for (const auto& entry : segment.entries()) {
    if (entry.kind() == journal::ENTRY_RESULT) {
      withResult.insert(entry.claim_id());
    }
  }
  journal::segment kept;
  *kept.mutable_sealed() = segment.sealed();
  for (const auto& entry : segment.entries()) {
    if (withResult.contains(entry.claim_id())) {
      *kept.add_entries() = entry;
    }
  }
  return kept.SerializeAsString();
}

std::string ResponseText(std::uint64_t aClaim)
{
  return "response to " + std::to_string(aClaim);
}

} // namespace

journal_reply store::Read(const std::string& aKey) const
{
  const auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return { store_response::NotFound, {}, {} };
  }
  return { store_response::Ok, segment_version(found->second.mVersion), found->second.mBody };
}

journal_reply store::Write(const std::string& aKey, const std::string& aBody, std::uint64_t aCondition)
{
  const auto found = mObjects.find(aKey);
  const std::uint64_t version = found == mObjects.end() ? 0 : found->second.mVersion;
  if (version != aCondition) {
    return { store_response::Conflict, {}, {} };
  }
  mObjects[aKey] = { aBody, ++mSequence };
  mLargestBody = std::max(mLargestBody, aBody.size());
  return { store_response::Ok, segment_version(mSequence), {} };
}

journal_reply store::Apply(const journal_step& aStep)
{
  const std::string key = KeyOf(aStep);
  switch (aStep.mAction) {
    case journal_action::ReadOpen:
    case journal_action::ReadSealed:
      return Read(key);
    case journal_action::CreateOpen:
    case journal_action::CreateSealed:
      return Write(key, aStep.mBody, 0);
    case journal_action::UpdateOpen:
    case journal_action::UpdateSealed:
      return Write(key, aStep.mBody, aStep.mVersion.Value());
    case journal_action::DeleteSealed:
      mObjects.erase(key);
      return { store_response::Ok, {}, {} };
    default:
      return {};
  }
}

claim_journal simulation::MakeJournal()
{
  claim_limits limits;
  limits.mSegmentBytes = kSmallSegment;
  limits.mBatchBytes = kSmallBatch;
  return claim_journal(limits);
}

simulation::simulation(mutation aMutation)
  : mMutation(aMutation)
{
  for (std::size_t i = 0; i < kClaimants; ++i) {
    mClaimants.push_back({ MakeJournal(), {}, false, {} });
  }
}

bool simulation::Run(const std::vector<std::uint8_t>& aScript)
{
  for (std::size_t i = 0; i + 2 < aScript.size() && mFault.empty(); i += 3) {
    RunEvent(aScript[i], mClaimants[aScript[i + 1] % kClaimants], aScript[i + 2]);
  }
  Finish();
  return mFault.empty();
}

void simulation::RunEvent(std::uint8_t aAction, claimant& aClaimant, std::uint8_t aValue)
{
  switch (aAction % 20) {
    case 0:
    case 1:
    case 2:
      return SubmitClaim(aClaimant, aValue);
    case 3:
    case 4:
    case 5:
    case 6:
    case 7:
      return StartStep(aClaimant);
    case 8:
    case 9:
    case 10:
    case 11:
      return CompleteStep(aClaimant);
    case 12:
      return LoseResponse(aClaimant, false);
    case 13:
      return LoseResponse(aClaimant, true);
    case 14:
      return ApplyDelayed();
    case 15:
      return aValue % 2 == 0 ? Crash(aClaimant) : DeliverReply(aClaimant, { store_response::Unavailable, {}, {} });
    case 16:
    case 17:
      return RunOne(aClaimant);
    case 18:
      return ReleaseOne(aClaimant);
    default:
      return AdvanceClock(aValue);
  }
}

void simulation::AdvanceClock(std::uint8_t aValue)
{
  switch (aValue % 8) {
    case 0:
      mNow += kLongJump;
      return;
    case 1:
      mNow += kJump;
      return;
    default:
      mNow += kPlatformBackoff / 2;
  }
}

void simulation::SubmitClaim(claimant& aClaimant, std::uint8_t aValue)
{
  const std::uint8_t number = aValue % kKeys;
  claim_request request;
  request.mKey = claim_key("key " + std::to_string(number));
  request.mId = claim_id(mNextClaim++);
  request.mBody = body_digest(aValue >= 240 ? 2 : 1);
  request.mLifetime = { mNow + kRetention, std::nullopt };
  if (number % 2 == 0) {
    const calendar_time keyTime(std::chrono::hours(24 * 365 * 56));
    request.mLifetime = { std::max(mNow, keyTime) + kRetention, keyTime + kRetention };
  }
  aClaimant.mJournal.Claim(request);
  mCalls[request.mId.Value()] = { request, std::nullopt, false };
}

void simulation::StartStep(claimant& aClaimant)
{
  if (aClaimant.mInFlight) {
    return;
  }
  journal_step step = aClaimant.mJournal.Next(mNow);
  TakeDecisions(aClaimant);
  aClaimant.mIsIdle = step.mAction == journal_action::Idle && aClaimant.mWonClaims.empty();
  if (step.mAction != journal_action::Idle && step.mAction != journal_action::Wait) {
    aClaimant.mInFlight = std::move(step);
  }
}

void simulation::DeliverReply(claimant& aClaimant, journal_reply aReply)
{
  if (!aClaimant.mInFlight) {
    return;
  }
  const journal_step step = *std::exchange(aClaimant.mInFlight, std::nullopt);
  const bool isUpdate = IsOpenUpdate(step);
  const bool counts = (mMutation == mutation::LostResponseIsSuccess && aReply.mResponse == store_response::Unknown) ||
                      (mMutation == mutation::ConflictIsSuccess && aReply.mResponse == store_response::Conflict);
  if (isUpdate && counts) {
    aReply = { store_response::Ok, step.mVersion.Next(), {} };
  }
  if (mMutation == mutation::ClaimWithoutResultIgnored && aReply.mResponse == store_response::Ok && !IsWrite(step)) {
    aReply.mBody = DropClaimsWithoutResult(aReply.mBody);
  }
  if (mMutation == mutation::SealedSegmentsIgnored && step.mAction == journal_action::ReadSealed) {
    aReply = { store_response::Ok, segment_version(1), {} };
  }
  aClaimant.mJournal.HandleReply(std::move(aReply), mNow);
  TakeDecisions(aClaimant);
}

void simulation::CompleteStep(claimant& aClaimant)
{
  if (aClaimant.mInFlight) {
    DeliverReply(aClaimant, mStore.Apply(*aClaimant.mInFlight));
  }
}

void simulation::LoseResponse(claimant& aClaimant, bool aIsLate)
{
  if (!aClaimant.mInFlight) {
    return;
  }
  const journal_step step = *aClaimant.mInFlight;
  if (aIsLate) {
    mDelayedWrites.push_back(step);
  } else {
    mStore.Apply(step);
  }
  DeliverReply(aClaimant, { IsWrite(step) ? store_response::Unknown : store_response::Unavailable, {}, {} });
}

void simulation::ApplyDelayed()
{
  if (!mDelayedWrites.empty()) {
    mStore.Apply(mDelayedWrites.front());
    mDelayedWrites.pop_front();
  }
}

void simulation::Crash(claimant& aClaimant)
{
  if (aClaimant.mInFlight && IsWrite(*aClaimant.mInFlight)) {
    mDelayedWrites.push_back(*aClaimant.mInFlight);
  }
  aClaimant = { MakeJournal(), {}, false, {} };
}

void simulation::RunOne(claimant& aClaimant)
{
  if (aClaimant.mWonClaims.empty()) {
    return;
  }
  call& wonCall = mCalls.at(aClaimant.mWonClaims.front());
  aClaimant.mWonClaims.erase(aClaimant.mWonClaims.begin());
  const bool mayRun = MayDispatch(wonCall.mRequest.mLifetime, mNow);
  if (mayRun || mMutation == mutation::DispatchedAfterPause) {
    RunCall(aClaimant, wonCall);
  } else {
    aClaimant.mJournal.Release(wonCall.mRequest, mNow);
  }
}

void simulation::RunCall(claimant& aClaimant, call& aCall)
{
  const claim_request& request = aCall.mRequest;
  const auto before = mRuns.equal_range(request.mKey.Str());
  for (auto other = before.first; other != before.second; ++other) {
    if (other->second.mIsKeyRefusedForever || mNow <= other->second.mClaimExpires) {
      Fail(request.mKey.Str() + " " + std::string(kRanTwice));
    }
  }
  aCall.mRan = true;
  const bool neverAgain = request.mLifetime.mRefusedAfter.has_value();
  mRuns.insert({ request.mKey.Str(), { request.mId.Value(), request.mLifetime.mExpires, neverAgain } });
  if (mMutation == mutation::ReleasedAfterDispatch) {
    aClaimant.mJournal.Release(request, mNow);
    return;
  }
  journal::answer answer;
  answer.set_body(ResponseText(request.mId.Value()));
  aClaimant.mJournal.WriteResult(request, answer, mNow);
}

void simulation::ReleaseOne(claimant& aClaimant)
{
  if (aClaimant.mWonClaims.empty()) {
    return;
  }
  aClaimant.mJournal.Release(mCalls.at(aClaimant.mWonClaims.back()).mRequest, mNow);
  aClaimant.mWonClaims.pop_back();
}

void simulation::TakeDecisions(claimant& aClaimant)
{
  for (const auto& decision : aClaimant.mJournal.TakeDecisions()) {
    CheckDecision(aClaimant, mCalls.at(decision.mId.Value()), decision);
  }
}

void simulation::CheckDecision(claimant& aClaimant, call& aCall, const claim_decision& aDecision)
{
  if (aCall.mStatus) {
    Fail("a claim was decided twice");
  }
  aCall.mStatus = aDecision.mStatus;
  const bool runsAgain = (mMutation == mutation::NoResultRunsAgain && aDecision.mStatus == claim_status::NoResult) ||
                         (mMutation == mutation::ResultIgnored && aDecision.mStatus == claim_status::HasResult);
  if (aDecision.mStatus == claim_status::Won || runsAgain) {
    aClaimant.mWonClaims.push_back(aCall.mRequest.mId.Value());
  } else if (aDecision.mStatus == claim_status::HasResult) {
    CheckResponse(aCall, *aDecision.mResponse);
  }
}

void simulation::CheckResponse(const call& aCall, const journal::answer& aResponse)
{
  const auto runs = mRuns.equal_range(aCall.mRequest.mKey.Str());
  const bool isResponseOfRun = std::any_of(
    runs.first, runs.second, [&](const auto& aRun) { return ResponseText(aRun.second.mClaim) == aResponse.body(); });
  if (!isResponseOfRun) {
    Fail("a retry got a response that no run of its key gave");
  }
}

void simulation::Finish()
{
  for (int round = 0; round < kFinishRounds && mFault.empty(); ++round) {
    ApplyDelayed();
    for (auto& claimant : mClaimants) {
      StartStep(claimant);
      CompleteStep(claimant);
      RunOne(claimant);
    }
    mNow += std::chrono::milliseconds(10);
    if (mDelayedWrites.empty() && AreAllIdle()) {
      return;
    }
  }
  Fail("a claimant never becomes idle");
}

bool simulation::AreAllIdle() const
{
  return std::all_of(mClaimants.begin(), mClaimants.end(), [](const claimant& aClaimant) { return aClaimant.mIsIdle; });
}

void simulation::Fail(const std::string& aFault)
{
  if (mFault.empty()) {
    mFault = aFault;
  }
}

} // namespace chervilpulley::policy::model
