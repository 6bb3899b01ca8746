#include "policy/crash_journal.h"

namespace chervilpulley::policy {

void crash_findings::Append(const crash_findings& aOther)
{
  mCrashes.insert(mCrashes.end(), aOther.mCrashes.begin(), aOther.mCrashes.end());
  mBlocks.insert(mBlocks.end(), aOther.mBlocks.begin(), aOther.mBlocks.end());
  mCleared.insert(mCleared.end(), aOther.mCleared.begin(), aOther.mCleared.end());
}

void crash_journal::Found(const interrupted_run& aCrash)
{
  const bool isKnown = std::any_of(mCrashes.begin(), mCrashes.end(), [&](const interrupted_run& aKnown) {
    return aKnown.mServer == aCrash.mServer && aKnown.mTraits == aCrash.mTraits;
  });
  if (isKnown) {
    return;
  }
  if (mCrashes.size() >= kMaxJournalCrashes) {
    EvictCrash();
  }
  mCrashes.push_back(aCrash);
  ++mVersion;
}

void crash_journal::Blocked(const trait_block& aBlock, instant aNow)
{
  std::erase_if(mBlocks, [&](const kept_block& aKnown) { return aKnown.mBlock.mTrait == aBlock.mTrait; });
  if (mBlocks.size() >= kMaxJournalBlocks) {
    mBlocks.erase(std::min_element(
      mBlocks.begin(), mBlocks.end(), [](const auto& aLeft, const auto& aRight) { return aLeft.mEnd < aRight.mEnd; }));
  }
  mBlocks.push_back({ aBlock, aNow + aBlock.mTimeLeft });
  ++mVersion;
}

void crash_journal::Cleared(const std::vector<run_trait>& aTraits, instant aAt)
{
  bool isChanged = false;
  for (const run_trait trait : aTraits) {
    const bool isKept = std::any_of(mCrashes.begin(), mCrashes.end(), [&](const interrupted_run& aCrash) {
      return std::find(aCrash.mTraits.begin(), aCrash.mTraits.end(), trait) != aCrash.mTraits.end();
    });
    const bool isBlocked = std::any_of(
      mBlocks.begin(), mBlocks.end(), [&](const kept_block& aBlock) { return aBlock.mBlock.mTrait == trait; });
    if (isKept || isBlocked) {
      instant& output = mOutputs[trait];
      isChanged = isChanged || output < aAt;
      output = std::max(output, aAt);
    }
  }
  if (isChanged) {
    ++mVersion;
    DropContradicted();
  }
}

bool crash_journal::HasOutputAfter(run_trait aTrait, instant aAt) const
{
  const auto output = mOutputs.find(aTrait);
  return output != mOutputs.end() && output->second >= aAt;
}

/// Drops blocks whose trait has had output since, crashes of which that holds for all traits, and outputs that concern
/// nothing that is left.
void crash_journal::DropContradicted()
{
  std::erase_if(mBlocks,
                [&](const kept_block& aBlock) { return HasOutputAfter(aBlock.mBlock.mTrait, aBlock.mBlock.mSince); });
  std::erase_if(mCrashes, [&](const interrupted_run& aCrash) {
    return std::all_of(aCrash.mTraits.begin(), aCrash.mTraits.end(), [&](run_trait aTrait) {
      return HasOutputAfter(aTrait, aCrash.mAt);
    });
  });
  std::erase_if(mOutputs, [&](const auto& aOutput) {
    return std::none_of(mCrashes.begin(), mCrashes.end(), [&](const interrupted_run& aCrash) {
      return std::find(aCrash.mTraits.begin(), aCrash.mTraits.end(), aOutput.first) != aCrash.mTraits.end();
    });
  });
}

void crash_journal::TimePassed(instant aNow)
{
  const std::size_t crashes =
    std::erase_if(mCrashes, [&](const interrupted_run& aCrash) { return aNow - aCrash.mAt > kCrashRecordLife; });
  const std::size_t blocks =
    std::erase_if(mBlocks, [&](const kept_block& aBlock) { return aNow - aBlock.mEnd > kCrashRecordLife; });
  if (crashes + blocks > 0) {
    ++mVersion;
    DropContradicted();
  }
}

void crash_journal::Adopt(const crash_findings& aFindings, instant aNow)
{
  for (const interrupted_run& crash : aFindings.mCrashes) {
    Found(crash);
  }
  for (const trait_block& block : aFindings.mBlocks) {
    Blocked(block, aNow);
  }
  for (const cleared_trait& cleared : aFindings.mCleared) {
    Cleared({ cleared.mTrait }, cleared.mAt);
  }
}

crash_findings crash_journal::Findings(instant aNow) const
{
  crash_findings findings;
  findings.mCrashes = mCrashes;
  for (const kept_block& block : mBlocks) {
    findings.mBlocks.push_back(block.mBlock);
    findings.mBlocks.back().mTimeLeft = std::max<duration>(block.mEnd - aNow, duration::zero());
  }
  for (const auto& [trait, at] : mOutputs) {
    findings.mCleared.push_back({ trait, at });
  }
  return findings;
}

/// Evicts the oldest crash that has no trait in common with another one, or the oldest if there is none.
void crash_journal::EvictCrash()
{
  std::map<run_trait, std::size_t> counts;
  for (const interrupted_run& crash : mCrashes) {
    for (const run_trait trait : crash.mTraits) {
      ++counts[trait];
    }
  }
  const auto lone = std::find_if(mCrashes.begin(), mCrashes.end(), [&](const interrupted_run& aCrash) {
    return std::all_of(
      aCrash.mTraits.begin(), aCrash.mTraits.end(), [&](run_trait aTrait) { return counts[aTrait] == 1; });
  });
  mCrashes.erase(lone == mCrashes.end() ? mCrashes.begin() : lone);
}

} // namespace chervilpulley::policy
