#include "policy/stage_progress.h"

namespace chervilpulley::policy {

bool stage_progress::Open(attempt_key aAttempt, token_position aStart)
{
  if (aAttempt <= mCurrent) {
    return false;
  }
  mCurrent = aAttempt;
  mRequested.reset();
  Delivered(aStart);
  return true;
}

bool stage_progress::NeedsPrefill(token_position aStart) const
{
  return !mHasState || mEnd < aStart;
}

void stage_progress::Prefilled(token_position aStart)
{
  const bool isLonger = mHasState && mEnd >= aStart;
  mHasState = true;
  if (!isLonger) {
    mEnd = aStart;
    mOutputs.clear();
  }
}

void stage_progress::LoseState()
{
  mHasState = false;
  mEnd = token_position();
  mOutputs.clear();
  mRunning.reset();
}

stage_action stage_progress::OnInput(attempt_key aAttempt, token_position aPosition, std::uint64_t aDigest)
{
  if (aAttempt != mCurrent) {
    return stage_action::Fenced;
  }
  if (!mHasState) {
    return stage_action::Gap;
  }
  if (mRunning) {
    const bool isSame = *mRunning == aPosition && mRunningDigest == aDigest;
    if (isSame) {
      mRequested = aPosition;
    }
    return isSame ? stage_action::Wait : stage_action::Gap;
  }
  if (aPosition > mEnd) {
    return stage_action::Gap;
  }
  if (aPosition < mEnd) {
    return OnKnownPosition(aPosition, aDigest);
  }
  StartRun(aPosition, aDigest);
  return stage_action::Run;
}

stage_action stage_progress::OnKnownPosition(token_position aPosition, std::uint64_t aDigest)
{
  const auto kept = mOutputs.find(aPosition);
  if (kept == mOutputs.end()) {
    return stage_action::Gap;
  }
  if (kept->second.mDigest == aDigest) {
    mRequested = aPosition;
    return stage_action::Replay;
  }
  // The position follows a different token than before, so the KV cache is truncated to it.
  mOutputs.erase(kept, mOutputs.end());
  mEnd = aPosition;
  StartRun(aPosition, aDigest);
  return stage_action::Run;
}

void stage_progress::StartRun(token_position aPosition, std::uint64_t aDigest)
{
  mRunning = aPosition;
  mRunningDigest = aDigest;
  mRequested = aPosition;
}

bool stage_progress::OnOutput(token_position aPosition, stage_output aOutput)
{
  if (mRunning != aPosition) {
    return false;
  }
  mRunning.reset();
  mEnd = aPosition.Next();
  mOutputs[aPosition] = { mRunningDigest, std::move(aOutput) };
  return mRequested == aPosition;
}

void stage_progress::OnFailure()
{
  mRunning.reset();
}

const stage_output* stage_progress::FindOutput(token_position aPosition) const
{
  const auto kept = mOutputs.find(aPosition);
  return kept == mOutputs.end() ? nullptr : &kept->second.mOutput;
}

void stage_progress::Delivered(token_position aNext)
{
  mOutputs.erase(mOutputs.begin(), mOutputs.lower_bound(aNext));
}

} // namespace chervilpulley::policy
