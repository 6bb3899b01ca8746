#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/engine_inquiries.h"
#include "gateway/stream_request_p.h"

/// Stalls of running streams: when one is suspected, whom it waits for, and what is done about that.
namespace chervilpulley::gateway {

namespace {

/// Shortest silence that counts as a stall. Steps of busy engines take up to 100 ms.
constexpr duration kStallFloor = std::chrono::milliseconds(220);
/// Longest silence before somebody is asked: a caller gives up after two seconds.
constexpr duration kStallCeiling = std::chrono::milliseconds(500);
/// Silence after which the word of others that an engine on the path is lost is acted on.
constexpr duration kSilenceBesideLoss = std::chrono::milliseconds(100);

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
  if (mPhase != phase::Running || mIsPaused || mIsRepathing || !mPath) {
    return;
  }
  const instant since = mHasBegun ? std::max(mLastEvent, mSentAt) : mSentAt;
  if (aNow - since > kSilenceBesideLoss) {
    for (const chosen_path::part& part : mPath->mStages) {
      if (mTools.mFleet->IsFoundLost(part.mEngine, aNow)) {
        Stalled(part.mEngine, aNow);
        return;
      }
    }
  }
  if (aNow >= mQuietUntil && !mIsAsking) {
    Inquire(aNow);
    return;
  }
  MoveFromLeaving(aNow);
}

/// Asks the first engine whether the stream waits for another one.
void stream_request::Inquire(instant aNow)
{
  mIsAsking = true;
  mQuietUntil = aNow + mInquiryPause;
  mInquiryPause = std::min<duration>(mInquiryPause * 2, std::chrono::seconds(1));
  const backend_id first = mPath->mStages.front().mEngine;
  log_line(log_event::StallSuspected)
    .Text("request", Id())
    .Text("backend", first.Str())
    .Number("silent_ms", Milliseconds(aNow - (mHasBegun ? mLastEvent : mSentAt)));
  mTools.mInquiries->Ask(first, [self = ref<stream_request>(this), first, number = mPathNumber](const auto& aReport) {
    self->mIsAsking = false;
    if (self->mPhase != phase::Running || number != self->mPathNumber) {
      return;
    }
    const instant now = Now();
    if (!aReport) {
      self->TakeSilenceOf(first, now);
      return;
    }
    for (const auto& stalled : aReport->mStalled) {
      const auto engine = self->EngineAt(stalled.mFaultyAddress);
      if (engine && *engine != first) {
        self->TakeStalledAt(*engine, now);
      }
      if (engine && stalled.mRequest == self->Id()) {
        self->Stalled(*engine, now);
        return;
      }
    }
    self->CheckPath();
  });
}

/// The first engine does not answer. One that has left the list may have closed its door and still serve what it has,
/// so that is no sign of its end, and a run there counts.
void stream_request::TakeSilenceOf(const backend_id& aFirst, instant aNow)
{
  if (mTools.mFleet->IsListed(aFirst)) {
    mTools.mFleet->BelieveLost(aFirst, aNow);
  } else if (!MayStartElsewhere()) {
    return;
  }
  Stalled(aFirst, aNow);
}

/// The engine of the present path at an address, also where it is not listed any more; else the one that is listed
/// there.
std::optional<backend_id> stream_request::EngineAt(const std::string& aAddress) const
{
  const auto part = std::find_if(
    mPath->mStages.begin(), mPath->mStages.end(), [&](const auto& aPart) { return aPart.mAddress == aAddress; });
  return part != mPath->mStages.end() ? std::optional(part->mEngine) : mTools.mFleet->AtAddress(aAddress);
}

/// Streams wait for this engine: it is lost, or has cut them off to take other layers.
void stream_request::TakeStalledAt(const backend_id& aEngine, instant aNow)
{
  if (!mTools.mFleet->IsMoving(aEngine, aNow)) {
    mTools.mFleet->BelieveLost(aEngine, aNow);
    return;
  }
  mTools.mInquiries->Ask(aEngine, [fleet = mTools.mFleet, aEngine](const auto& aReport) {
    if (!aReport) {
      fleet->BelieveLost(aEngine, Now());
    }
  });
}

/// The stream waits for nobody that is lost, so one of its engines may be slow: each says so itself.
void stream_request::CheckPath()
{
  for (std::size_t index = 1; index < mPath->mStages.size(); ++index) {
    mTools.mInquiries->Check(mPath->mStages[index].mEngine);
  }
}

void stream_request::Stalled(const backend_id& aEngine, instant aNow)
{
  const ref<stream_request> self(this);
  if (mPhase != phase::Running || mIsRepathing || !mPath) {
    return;
  }
  if (mPath->mStages.front().mEngine == aEngine) {
    TakeFailure("first engine is lost", aNow);
    return;
  }
  Repath({ aEngine, repath_reason::Lost }, aNow);
}

duration stream_request::Allowance() const
{
  return std::clamp<duration>(std::max<duration>(mGaps.Unusual(), mGaps.Mean() * 3), kStallFloor, kStallCeiling);
}

} // namespace chervilpulley::gateway
