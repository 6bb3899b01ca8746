#include "entry/request_guard.h"

namespace chervilpulley::entry {

namespace {

/// Time for which a request waits here while the entry that detected its crash finds out whether it crashes an engine
/// again.
constexpr duration kPeerTrialTime = std::chrono::seconds(5);
constexpr std::uint32_t kCrashesToBlock = 2;
/// Number of trials at other entries above which expired ones are removed.
constexpr std::size_t kMaxPeerTrials = 1024;

/// The crash of an engine now. Its time stands for its process, since entries do not know when engines start.
policy::interrupted_run CrashOf(const std::vector<run_trait>& aTraits, const std::string& aEngine, instant aNow)
{
  return { aTraits, { backend_id(aEngine), static_cast<std::uint64_t>(aNow.time_since_epoch().count()) }, aNow, {} };
}

} // namespace

request_guard::request_guard(crash_callback aOnCrash, traits_callback aOnTraits)
  : mOnCrash(std::move(aOnCrash))
  , mOnTraits(std::move(aOnTraits))
{
}

std::optional<duration> request_guard::BlockedFor(const std::vector<run_trait>& aTraits, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  mCrashRecord.TimePassed(aNow);
  const auto block = mCrashRecord.Admit(aTraits, aNow);
  return block ? std::optional(block->mTimeLeft) : std::nullopt;
}

bool request_guard::EngineCrashed(const std::vector<run_trait>& aTraits, const std::string& aEngine, instant aNow)
{
  bool isSuspect = false;
  {
    std::lock_guard lock(mSuspectMutex);
    mCrashRecord.Crashed(CrashOf(aTraits, aEngine, aNow), aNow);
    isSuspect = mCrashRecord.IsSuspect(aTraits, aNow);
  }
  if (mOnTraits) {
    mOnTraits(aTraits);
  }
  return isSuspect;
}

void request_guard::Produced(const std::vector<run_trait>& aTraits, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  mCrashRecord.Cleared(aTraits, aNow);
}

void request_guard::EngineCrashedAtPeer(const std::vector<run_trait>& aTraits, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  mCrashRecord.Crashed(CrashOf(aTraits, "peer", aNow), aNow);
}

std::optional<duration> request_guard::ConsumeRate(const workspace_id& aWorkspace,
                                                   std::uint32_t aPerSecond,
                                                   instant aNow)
{
  if (aPerSecond == 0) {
    return std::nullopt;
  }
  const ref<locked_bucket> bucket = mBuckets.WithShard(aWorkspace, [&](auto& aBuckets) {
    auto& slot = aBuckets[aWorkspace];
    if (!slot) {
      slot = MakeRef<locked_bucket>();
    }
    return slot;
  });
  std::lock_guard lock(bucket->mMutex);
  return bucket->mBucket.Take({ static_cast<double>(aPerSecond) }, mEntryCount, aNow);
}

void request_guard::RequestArrived(instant aNow)
{
  std::lock_guard lock(mRetryMutex);
  mRetryBudget.RequestArrived(aNow);
}

bool request_guard::TryRetry(instant aNow)
{
  std::lock_guard lock(mRetryMutex);
  return mRetryBudget.TryRetry(aNow);
}

void request_guard::Recovered(instant aNow)
{
  std::lock_guard lock(mRetryMutex);
  mRetryBudget.Recovered(aNow);
}

guard_verdict request_guard::VerdictOf(policy::suspicion aLevel) const
{
  switch (aLevel) {
    case policy::suspicion::None:
      return guard_verdict::Run;
    case policy::suspicion::Refused:
      return guard_verdict::Refused;
    default:
      return guard_verdict::RunAsSuspect;
  }
}

guard_verdict request_guard::Check(request_digest aDigest, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  const guard_verdict verdict = VerdictOf(mSuspects.Level(aDigest, aNow));
  const auto trial = mPeerTrials.find(aDigest);
  if (verdict == guard_verdict::Refused || trial == mPeerTrials.end()) {
    return verdict;
  }
  if (aNow < trial->second) {
    return guard_verdict::PeerTrial;
  }
  mPeerTrials.erase(trial);
  return verdict;
}

guard_verdict request_guard::Crashed(request_digest aDigest, instant aNow)
{
  guard_verdict verdict = guard_verdict::Run;
  {
    std::lock_guard lock(mSuspectMutex);
    // A suspect runs where no other suspect does, so a second crash is attributed to this request.
    const bool wasSuspect = mSuspects.Level(aDigest, aNow) != policy::suspicion::None;
    verdict = VerdictOf(mSuspects.CrashedElsewhere(aDigest, wasSuspect, aNow));
  }
  mOnCrash(aDigest, verdict == guard_verdict::Refused ? kCrashesToBlock : 1);
  return verdict;
}

void request_guard::Cleared(request_digest aDigest, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  mSuspects.Started(aDigest, aNow);
  mSuspects.Finished(aDigest, true);
}

void request_guard::CrashedAtPeer(request_digest aDigest, std::uint32_t aCrashes, instant aNow)
{
  std::lock_guard lock(mSuspectMutex);
  const bool isBlocked = aCrashes >= kCrashesToBlock || mSuspects.Level(aDigest, aNow) != policy::suspicion::None;
  const auto level = isBlocked ? policy::suspicion::Refused : policy::suspicion::Suspect;
  mSuspects.Merge({ aDigest, level, policy::kSuspicionTime }, aNow);
  if (mPeerTrials.size() >= kMaxPeerTrials) {
    std::erase_if(mPeerTrials, [&](const auto& aTrial) { return aTrial.second <= aNow; });
  }
  mPeerTrials[aDigest] = aNow + kPeerTrialTime;
}

} // namespace chervilpulley::entry
