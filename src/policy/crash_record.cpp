#include "policy/crash_record.h"

#include <tuple>

namespace chervilpulley::policy {

std::size_t crash_record::record::Crashes() const
{
  const auto counted =
    std::count_if(mServers.begin(), mServers.end(), [](const auto& aServer) { return aServer.second; });
  return mEarlierCrashes + static_cast<std::size_t>(counted);
}

void crash_record::RunInterrupted(interrupted_run aRun)
{
  if (mUnconfirmedRuns.size() < kMaxCrashRecords) {
    mUnconfirmedRuns.push_back(std::move(aRun));
  }
}

std::optional<trait_block> crash_record::Crashed(const interrupted_run& aRun, instant aNow)
{
  const std::size_t parts = aRun.mTraits.size() - 1;
  for (std::size_t depth = 0; depth < parts; ++depth) {
    const auto found = mRecords.find(aRun.mTraits[depth]);
    if (found != mRecords.end() && found->second.IsBlocked(aNow)) {
      Count(depth, aRun);
      Explain(aRun.mTraits[depth]);
      return std::nullopt;
    }
  }
  if (IsExplained(aRun.mServer, aNow)) {
    return std::nullopt;
  }
  for (std::size_t depth = 0; depth <= parts; ++depth) {
    Count(depth, aRun);
  }
  // Of several candidates the most specific one is blocked: fewer requests have it.
  for (std::size_t depth = parts + 1; depth-- > 0;) {
    const run_trait trait = aRun.mTraits[depth];
    const auto found = mRecords.find(trait);
    const bool isCandidate =
      found != mRecords.end() && found->second.Crashes() >= kMaxCrashes && !found->second.IsBlocked(aNow);
    if (!isCandidate || HasRival(trait, found->second)) {
      continue;
    }
    Block(found->second, aNow);
    // The block of one request does not explain why others crash servers.
    if (depth < parts) {
      Explain(trait);
    }
    return ToBlock(trait, mRecords[trait], aNow);
  }
  return std::nullopt;
}

/// Counts a crash against the trait at aDepth; the last one is the request as a whole.
void crash_record::Count(std::size_t aDepth, const interrupted_run& aRun)
{
  const run_trait trait = aRun.mTraits[aDepth];
  const auto output = LastOutput(trait);
  if (output && *output >= aRun.mAt) {
    return;
  }
  if (!mRecords.contains(trait)) {
    EvictRecord();
  }
  record& known = mRecords[trait];
  if (known.mServers.contains(aRun.mServer) || known.mServers.size() >= kMaxCrashedServers) {
    return;
  }
  if (known.Crashes() == 0) {
    known.mFirstCrashAt = aRun.mAt;
    known.mDepth = aDepth;
  }
  known.mIsPart = aDepth + 1 < aRun.mTraits.size();
  const duration apart = std::chrono::abs(aRun.mAt - known.mLastCountedAt);
  const bool counts = !known.mIsPart || known.mServers.empty() || apart >= kSameEventTime;
  known.mServers.emplace(aRun.mServer, counts);
  known.mDepth = std::min(known.mDepth, aDepth);
  known.mLastCrashAt = std::max(known.mLastCrashAt, aRun.mAt);
  if (counts) {
    known.mLastCountedAt = aRun.mAt;
  }
}

/// Whether a more specific part was on half of the crashed servers or more. Every gateway counts the crashes of a
/// popular part, since harmless runs with it are on each server that crashes, while reports about the harmful one may
/// be lost.
bool crash_record::HasRival(run_trait aTrait, const record& aRecord) const
{
  // A trait that was blocked before has shown by a trial what it does.
  if (!aRecord.mIsPart || aRecord.mBlocks > 0) {
    return false;
  }
  return std::any_of(mRecords.begin(), mRecords.end(), [&](const auto& aEntry) {
    const record& other = aEntry.second;
    if (aEntry.first == aTrait || !other.mIsPart || other.mDepth <= aRecord.mDepth) {
      return false;
    }
    const auto shared = std::count_if(aRecord.mServers.begin(), aRecord.mServers.end(), [&](const auto& aServer) {
      return other.mServers.contains(aServer.first);
    });
    return shared > 0 && static_cast<std::size_t>(shared) >= aRecord.mServers.size() / 2;
  });
}

void crash_record::Block(record& aRecord, instant aNow)
{
  const duration time = std::min<duration>(kFirstBlockTime * (1U << std::min(aRecord.mBlocks, 8U)), kMaxBlockTime);
  ++aRecord.mBlocks;
  aRecord.mBlockedUntil = aNow + time + std::chrono::duration_cast<duration>(time * (mJitter / 2));
}

/// Removes the crashes that a blocked part explains from the records of all other traits.
void crash_record::Explain(run_trait aPart)
{
  const auto& servers = mRecords[aPart].mServers;
  for (auto& [trait, other] : mRecords) {
    if (trait != aPart && other.mBlocks == 0) {
      std::erase_if(other.mServers, [&](const auto& aServer) { return servers.contains(aServer.first); });
    }
  }
  std::erase_if(mRecords,
                [](const auto& aEntry) { return aEntry.second.mBlocks == 0 && aEntry.second.mServers.empty(); });
}

bool crash_record::IsExplained(const server_start& aServer, instant aNow) const
{
  return std::any_of(mRecords.begin(), mRecords.end(), [&](const auto& aEntry) {
    return aEntry.second.IsBlocked(aNow) && aEntry.second.mServers.contains(aServer);
  });
}

block_verdict crash_record::Blocked(const trait_block& aBlock, instant aNow)
{
  if (const auto output = LastOutput(aBlock.mTrait); output && *output > aBlock.mSince) {
    return block_verdict::Contradicted;
  }
  if (!mRecords.contains(aBlock.mTrait)) {
    EvictRecord();
  }
  record& known = mRecords[aBlock.mTrait];
  const duration time = std::clamp<duration>(aBlock.mTimeLeft, duration::zero(), kMaxBlockTime);
  if (known.IsBlocked(aNow)) {
    if (time > (*known.mBlockedUntil - aNow) * 2) {
      // The trait has crashed a server again after the end of its block at the other gateway.
      known.mBlockedUntil = aNow + time;
    }
    return block_verdict::Known;
  }
  known.mBlockedUntil = aNow + time + std::chrono::duration_cast<duration>(time * (mJitter / 2));
  known.mBlocks = std::max(known.mBlocks, 1U);
  known.mServers.clear();
  known.mEarlierCrashes = std::max(aBlock.mCrashes, kMaxCrashes);
  known.mFirstCrashAt = aBlock.mSince;
  known.mLastCrashAt = aNow;
  return block_verdict::Adopted;
}

void crash_record::EvictRecord()
{
  if (mRecords.size() < kMaxCrashRecords) {
    return;
  }
  // Evicts a trait that was never blocked before one that was, then the one with the fewest crashes, the oldest among
  // equals, so that a flood of innocent requests does not displace the harmful ones.
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
    const auto rank = [](const record& aRecord) {
      return std::tuple(aRecord.mBlocks > 0, aRecord.Crashes(), aRecord.mLastCrashAt);
    };
    return rank(aLeft.second) < rank(aRight.second);
  }));
}

std::vector<run_trait> crash_record::Cleared(const std::vector<run_trait>& aTraits, instant aAt)
{
  std::vector<run_trait> cleared;
  for (const run_trait trait : aTraits) {
    if (mOutputs.size() >= kOutputsRemembered && !mOutputs.contains(trait)) {
      mOlderOutputs = std::move(mOutputs);
      mOutputs.clear();
    }
    instant& output = mOutputs[trait];
    output = std::max(output, aAt);
    const auto found = mRecords.find(trait);
    if (found != mRecords.end() && found->second.mFirstCrashAt <= aAt) {
      mRecords.erase(found);
      cleared.push_back(trait);
    }
  }
  return cleared;
}

std::optional<instant> crash_record::LastOutput(run_trait aTrait) const
{
  for (const auto* outputs : { &mOutputs, &mOlderOutputs }) {
    if (const auto found = outputs->find(aTrait); found != outputs->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

trait_block crash_record::ToBlock(run_trait aTrait, const record& aRecord, instant aNow) const
{
  const duration left = aRecord.IsBlocked(aNow) ? duration(*aRecord.mBlockedUntil - aNow) : kTrialInterval;
  return { aTrait, aRecord.Crashes(), left, aRecord.mFirstCrashAt };
}

std::optional<trait_block> crash_record::FindBlock(const std::vector<run_trait>& aTraits, instant aNow) const
{
  for (const run_trait trait : aTraits) {
    const auto found = mRecords.find(trait);
    if (found != mRecords.end() && found->second.IsBlocked(aNow)) {
      return ToBlock(trait, found->second, aNow);
    }
  }
  return std::nullopt;
}

std::optional<trait_block> crash_record::Admit(const std::vector<run_trait>& aTraits, instant aNow)
{
  if (mRecords.empty()) {
    return std::nullopt;
  }
  if (auto block = FindBlock(aTraits, aNow)) {
    return block;
  }
  for (const run_trait trait : aTraits) {
    const auto found = mRecords.find(trait);
    if (found == mRecords.end() || found->second.mBlocks == 0) {
      continue;
    }
    if (aNow - found->second.mLastTrialAt < kTrialInterval) {
      return ToBlock(trait, found->second, aNow);
    }
    found->second.mLastTrialAt = aNow;
  }
  return std::nullopt;
}

bool crash_record::IsSuspect(const std::vector<run_trait>& aTraits, instant aNow) const
{
  return std::any_of(aTraits.begin(), aTraits.end(), [&](run_trait aTrait) {
    const auto found = mRecords.find(aTrait);
    return found != mRecords.end() && (found->second.IsBlocked(aNow) || found->second.Crashes() + 1 >= kMaxCrashes);
  });
}

void crash_record::TimePassed(instant aNow)
{
  for (auto& [trait, known] : mRecords) {
    if (known.mBlockedUntil && *known.mBlockedUntil <= aNow) {
      // One more crash blocks it again.
      known.mBlockedUntil.reset();
      known.mLastCrashAt = aNow;
      known.mServers.clear();
      known.mEarlierCrashes = kMaxCrashes - 1;
    }
  }
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return !aEntry.second.mBlockedUntil && aNow - aEntry.second.mLastCrashAt > kCrashRecordLife;
  });
}

std::vector<trait_block> crash_record::Blocks(instant aNow) const
{
  std::vector<trait_block> blocks;
  for (const auto& [trait, known] : mRecords) {
    if (known.IsBlocked(aNow)) {
      blocks.push_back(ToBlock(trait, known, aNow));
    }
  }
  return blocks;
}

} // namespace chervilpulley::policy
