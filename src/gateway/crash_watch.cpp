#include "gateway/crash_watch.h"

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/random.h"

namespace chervilpulley::gateway {

namespace {

/// Parts of one prompt that are examined; hints about more would not fit into a datagram.
constexpr std::size_t kMaxParts = 31;
/// While requests with a blocked trait arrive, its block is sent again after this time, for gateways that have started
/// since or missed the first hint. A gateway that hears it from another one stays quiet.
constexpr duration kBlockHintInterval = std::chrono::milliseconds(1000);

/// Maximum number of blocks that a gateway which asks for them is sent.
constexpr std::size_t kMaxBlocksTold = 32;
/// Minimum time between two contradictions of other gateways' blocks of one trait.
constexpr duration kMinContradictionInterval = std::chrono::milliseconds(20);

double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

crash_watch::crash_watch(ref<fleet> aFleet, ref<engine_probes> aProbes, ref<peer_hints> aHints, double aJitter)
  : mFleet(std::move(aFleet))
  , mProbes(std::move(aProbes))
  , mHints(std::move(aHints))
  , mRecord(aJitter)
{
  // Capturing this is safe: both objects live as long as the process.
  mHints->OnCrash([this](const policy::interrupted_run& aRun) { HandleCrash(aRun, Now()); },
                  [this](const policy::trait_block& aBlock) { HandleBlockHint(aBlock, Now()); },
                  [this](const std::vector<run_trait>& aTraits, instant aAt) {
                    mRecord.Cleared(aTraits, aAt);
                    ClearFindings(aTraits, aAt);
                  });
  mHints->OnBlocksAsked([this](instant aNow) {
    auto blocks = mRecord.Blocks(aNow);
    blocks.resize(std::min(blocks.size(), kMaxBlocksTold));
    return blocks;
  });
}

std::vector<run_trait> crash_watch::TraitsOf(const admitted_request& aRequest)
{
  std::vector<run_trait> traits;
  // Each kind of text begins differently, and only what comes last can contain a line end.
  for (const std::string& part : aRequest.mMetadata.mSharedParts) {
    if (traits.size() < kMaxParts) {
      traits.emplace_back(StableHash("part\n" + aRequest.mPool.Str() + "\n" + part));
    }
  }
  traits.emplace_back(StableHash(aRequest.mRequest.mMethod + "\n" + aRequest.mRequest.mTarget + "\n" +
                                 aRequest.mWorkspace + "\n" + aRequest.mRequest.mBody));
  return traits;
}

std::optional<duration> crash_watch::Refuse(const admitted_request& aRequest, instant aNow)
{
  const auto block = mRecord.Admit(aRequest.mTraits, aNow);
  if (!block) {
    return std::nullopt;
  }
  const auto index = static_cast<std::size_t>(
    std::find(aRequest.mTraits.begin(), aRequest.mTraits.end(), block->mTrait) - aRequest.mTraits.begin());
  const auto& parts = aRequest.mMetadata.mSharedParts;
  const bool isPart = index + 1 < aRequest.mTraits.size();
  log_line(log_event::RequestCondemned)
    .Text("request", aRequest.mMetadata.mId.Str())
    .Count("trait", block->mTrait.Value())
    .Quote("part", isPart ? std::string_view(parts[index]) : std::string_view())
    .Count("crashes", block->mCrashes)
    .Number("retry_after_ms", Milliseconds(block->mTimeLeft));
  RemindOfBlock(*block, aNow);
  return block->mTimeLeft;
}

std::optional<duration> crash_watch::BlockedFor(const admitted_request& aRequest, instant aNow) const
{
  const auto block = mRecord.FindBlock(aRequest.mTraits, aNow);
  return block ? std::optional(block->mTimeLeft) : std::nullopt;
}

bool crash_watch::IsSuspect(const admitted_request& aRequest, instant aNow) const
{
  return mRecord.IsSuspect(aRequest.mTraits, aNow);
}

void crash_watch::RunInterrupted(const admitted_request& aRequest, const policy::server_start& aServer, instant aNow)
{
  mRecord.RunInterrupted({ aRequest.mTraits, aServer, aNow, aRequest.mMetadata.mId.Str() });
  // The list shows a crash seconds later, or not at all while it can't be read.
  if (mFleet->IsEngine(aServer.mId) && !mFleet->HasEnded(aServer, aNow)) {
    mProbes->Probe(aServer.mId, [fleet = mFleet, id = aServer.mId](const auto& aReport) {
      if (!aReport) {
        fleet->MarkLost(id, Now());
      }
    });
  }
}

void crash_watch::Produced(const admitted_request& aRequest)
{
  const instant now = Now();
  const auto cleared = mRecord.Cleared(aRequest.mTraits, now);
  if (cleared.empty()) {
    return;
  }
  for (const run_trait trait : cleared) {
    log_line(log_event::CrashSuspectCleared)
      .Count("trait", trait.Value())
      .Text("found_by_request", aRequest.mMetadata.mId.Str());
  }
  mHints->NotifyCleared(cleared, duration::zero());
  ClearFindings(cleared, now);
}

std::size_t crash_watch::Confirm(instant aNow)
{
  const auto found = mRecord.Confirm([&](const auto& aServer) { return !mFleet->HasEnded(aServer, aNow); }, aNow);
  for (const policy::interrupted_run& run : found) {
    log_line(log_event::CrashSuspected)
      .Text("found_by_request", run.mRequest)
      .Text("backend", run.mServer.mId.Str())
      .Count("started_at", run.mServer.mStartedAt)
      .Count("traits", run.mTraits.size())
      .Number("interrupted_ms_ago", Milliseconds(aNow - run.mAt));
    mHints->NotifyCrash(run, aNow);
    const std::uint64_t former = mJournal.Version();
    mJournal.Found(run);
    if (const auto block = HandleCrash(run, aNow)) {
      mJournal.Blocked(*block, aNow);
    }
    NotifyFindings(former, mRecord.IsSuspect(run.mTraits, aNow));
  }
  return found.size();
}

void crash_watch::TimePassed(instant aNow)
{
  mRecord.TimePassed(aNow);
  const std::uint64_t former = mJournal.Version();
  mJournal.TimePassed(aNow);
  NotifyFindings(former, false);
  for (auto* times : { &mBlockHintAt, &mContradictedAt }) {
    std::erase_if(*times, [&](const auto& aEntry) { return aNow - aEntry.second > kBlockHintInterval * 2; });
  }
}

std::optional<policy::trait_block> crash_watch::HandleCrash(const policy::interrupted_run& aRun, instant aNow)
{
  auto block = mRecord.Crashed(aRun, aNow);
  if (block) {
    HandleBlock(*block, aNow);
  }
  return block;
}

void crash_watch::ClearFindings(const std::vector<run_trait>& aTraits, instant aAt)
{
  const std::uint64_t former = mJournal.Version();
  mJournal.Cleared(aTraits, aAt);
  NotifyFindings(former, false);
}

void crash_watch::NotifyFindings(std::uint64_t aFormerVersion, bool aIsUrgent) const
{
  if (mOnFindings && mJournal.Version() != aFormerVersion) {
    mOnFindings(aIsUrgent);
  }
}

/// Replays findings in the order in which they count: output first, as it contradicts earlier crashes, then blocks, as
/// they explain crashes, then the crashes by their time. All gateways read the store, so none is notified.
void crash_watch::Restore(policy::crash_findings aFindings, instant aNow)
{
  for (const policy::cleared_trait& cleared : aFindings.mCleared) {
    mRecord.Cleared({ cleared.mTrait }, cleared.mAt);
  }
  const auto logBlock = [](const policy::trait_block& aBlock) {
    log_line(log_event::CrashTraitBlocked)
      .Count("trait", aBlock.mTrait.Value())
      .Count("crashes", aBlock.mCrashes)
      .Text("found_by", "store")
      .Number("for_ms", Milliseconds(aBlock.mTimeLeft));
  };
  for (const policy::trait_block& block : aFindings.mBlocks) {
    if (mRecord.Blocked(block, aNow) == policy::block_verdict::Adopted) {
      logBlock(block);
    }
  }
  std::stable_sort(aFindings.mCrashes.begin(), aFindings.mCrashes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  for (const policy::interrupted_run& crash : aFindings.mCrashes) {
    if (const auto block = mRecord.Crashed(crash, aNow)) {
      logBlock(*block);
    }
  }
}

void crash_watch::HandleBlock(const policy::trait_block& aBlock, instant aNow)
{
  log_line(log_event::CrashTraitBlocked)
    .Count("trait", aBlock.mTrait.Value())
    .Count("crashes", aBlock.mCrashes)
    .Text("found_by", "own")
    .Number("for_ms", Milliseconds(aBlock.mTimeLeft));
  mBlockHintAt[aBlock.mTrait] = aNow;
  mHints->NotifyBlocked(aBlock, aNow);
}

/// Adopts the block of another gateway and passes it on, so that it reaches gateways that the first one does not know,
/// or contradicts it.
void crash_watch::HandleBlockHint(const policy::trait_block& aBlock, instant aNow)
{
  const policy::block_verdict verdict = mRecord.Blocked(aBlock, aNow);
  // Anyone may send hints; the times are swept once a second.
  if (mBlockHintAt.size() < policy::kMaxCrashRecords || mBlockHintAt.contains(aBlock.mTrait)) {
    mBlockHintAt[aBlock.mTrait] = aNow;
  }
  if (verdict == policy::block_verdict::Adopted) {
    log_line(log_event::CrashTraitBlocked)
      .Count("trait", aBlock.mTrait.Value())
      .Count("crashes", aBlock.mCrashes)
      .Text("found_by", "hint")
      .Number("for_ms", Milliseconds(aBlock.mTimeLeft));
    mHints->NotifyBlocked(aBlock, aNow);
  }
  const auto output = mRecord.LastOutput(aBlock.mTrait);
  if (verdict != policy::block_verdict::Contradicted || !output) {
    return;
  }
  instant& contradictedAt = mContradictedAt[aBlock.mTrait];
  if (aNow - contradictedAt >= kMinContradictionInterval) {
    contradictedAt = aNow;
    log_line(log_event::CrashBlockContradicted)
      .Count("trait", aBlock.mTrait.Value())
      .Number("output_ms_ago", Milliseconds(aNow - *output));
    mHints->NotifyCleared({ aBlock.mTrait }, aNow - *output);
  }
}

void crash_watch::RemindOfBlock(const policy::trait_block& aBlock, instant aNow)
{
  instant& hintAt = mBlockHintAt[aBlock.mTrait];
  if (aBlock.mTimeLeft > policy::kTrialInterval && aNow - hintAt >= kBlockHintInterval) {
    hintAt = aNow;
    mHints->NotifyBlocked(aBlock, aNow);
  }
}

} // namespace chervilpulley::gateway
