#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/engine_probes.h"
#include "gateway/stream_request_p.h"

/// Detects stalls of running streams, finds the engine that a stalled stream waits for and starts the repair.
namespace chervilpulley::gateway {

namespace {

/// Minimum silence that counts as a stall. Steps of busy engines take up to 100 ms.
constexpr duration kMinStallTime = std::chrono::milliseconds(220);
/// Maximum silence before the first engine is probed: callers give up after two seconds.
constexpr duration kMaxStallTime = std::chrono::milliseconds(500);
/// Silence after which a stream is repaired if another stream or gateway has found an engine of its path lost.
constexpr duration kMinSilenceIfLost = std::chrono::milliseconds(100);

} // namespace

void stream_request::TimePassed(instant aNow)
{
  const ref<stream_request> self(this);
  if (mPhase == phase::Ended) {
    return;
  }
  if (TimeLeft(aNow) <= duration::zero()) {
    mMayHaveRun = mMayHaveRun || mPhase == phase::Running;
    GiveUp("deadline", aNow);
    return;
  }
  if (mPhase == phase::Waiting && !MayContinue(nullptr, aNow)) {
    GiveUp("leaving", aNow, kRetryElsewhereAfter);
    return;
  }
  if (mPhase != phase::Running || mIsPaused || mIsRepathing || !mPath) {
    return;
  }
  const instant since = mHasBegun ? std::max(mLastEvent, mSentAt) : mSentAt;
  if (aNow - since > kMinSilenceIfLost) {
    for (const chosen_path::stage& stage : mPath->mStages) {
      if (mEnvironment.mFleet->IsMarkedLost(stage.mEngine, aNow)) {
        OnStall(stage.mEngine, aNow);
        return;
      }
    }
  }
  if (aNow >= mNextStallCheck && !mIsProbing) {
    ProbeFirstEngine(aNow);
    return;
  }
  MoveOffLeavingEngines(aNow);
}

/// Probes the first engine for whether the stream waits for another engine.
void stream_request::ProbeFirstEngine(instant aNow)
{
  mIsProbing = true;
  mNextStallCheck = aNow + mProbePause;
  mProbePause = std::min<duration>(mProbePause * 2, std::chrono::seconds(1));
  const backend_id first = mPath->mStages.front().mEngine;
  log_line(log_event::StallSuspected)
    .Text("request", Id())
    .Text("backend", first.Str())
    .Number("silent_ms", Milliseconds(aNow - (mHasBegun ? mLastEvent : mSentAt)));
  mEnvironment.mProbes->Probe(first,
                              [self = ref<stream_request>(this), first, number = mPathNumber](const auto& aReport) {
                                self->mIsProbing = false;
                                if (self->mPhase != phase::Running || number != self->mPathNumber) {
                                  return;
                                }
                                const instant now = Now();
                                if (!aReport) {
                                  self->HandleSilence(first, now);
                                  return;
                                }
                                for (const auto& stalled : aReport->mStalled) {
                                  const auto engine = self->EngineAt(stalled.mFaultyAddress);
                                  if (engine && *engine != first) {
                                    self->HandleStallAt(*engine, now);
                                  }
                                  if (engine && stalled.mRequestId == self->Id()) {
                                    self->OnStall(*engine, now);
                                    return;
                                  }
                                }
                                self->ProbeStages();
                              });
}

/// Handles a first engine that does not respond to a probe. An engine that is no longer listed may have closed its
/// listening socket and still serve its running requests, so it is not marked as lost, and its run still counts as an
/// attempt.
void stream_request::HandleSilence(const backend_id& aFirst, instant aNow)
{
  if (mEnvironment.mFleet->IsListed(aFirst)) {
    mEnvironment.mFleet->MarkLost(aFirst, aNow);
  } else if (!MayStartElsewhere()) {
    return;
  }
  OnStall(aFirst, aNow);
}

/// The engine at an address: the one on the current path, even if it is no longer listed, otherwise the listed one.
std::optional<backend_id> stream_request::EngineAt(const std::string& aAddress) const
{
  const auto stage = std::find_if(
    mPath->mStages.begin(), mPath->mStages.end(), [&](const auto& aStage) { return aStage.mAddress == aAddress; });
  return stage != mPath->mStages.end() ? std::optional(stage->mEngine) : mEnvironment.mFleet->AtAddress(aAddress);
}

/// Handles a report that streams wait for aEngine: it is lost, or has interrupted them to load other layers.
void stream_request::HandleStallAt(const backend_id& aEngine, instant aNow)
{
  if (!mEnvironment.mFleet->IsMoving(aEngine, aNow)) {
    mEnvironment.mFleet->MarkLost(aEngine, aNow);
    return;
  }
  mEnvironment.mProbes->Probe(aEngine, [fleet = mEnvironment.mFleet, aEngine](const auto& aReport) {
    if (!aReport) {
      fleet->MarkLost(aEngine, Now());
    }
  });
}

/// Probes the later engines of the path: no engine is reported as stalling the stream, so one of them may be slow,
/// which its own report shows.
void stream_request::ProbeStages()
{
  for (std::size_t index = 1; index < mPath->mStages.size(); ++index) {
    mEnvironment.mProbes->ProbeSuspect(mPath->mStages[index].mEngine);
  }
}

void stream_request::OnStall(const backend_id& aEngine, instant aNow)
{
  const ref<stream_request> self(this);
  if (mPhase != phase::Running || mIsRepathing || !mPath) {
    return;
  }
  if (mPath->mStages.front().mEngine == aEngine) {
    HandleFailure("first engine is lost", aNow);
    return;
  }
  Repath({ aEngine, repath_reason::Lost }, aNow);
}

duration stream_request::StallThreshold() const
{
  return std::clamp<duration>(
    std::max<duration>(mGaps.OutlierThreshold(), mGaps.Mean() * 3), kMinStallTime, kMaxStallTime);
}

} // namespace chervilpulley::gateway
