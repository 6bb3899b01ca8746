#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/capacity_queue.h"
#include "gateway/crash_watch.h"
#include "gateway/stream_request_p.h"
#include "policy/retry_after.h"

/// Finds a path with capacity for a stream, queues it for one, or refuses it with the time at which it is most likely
/// to be served.
namespace chervilpulley::gateway {

namespace {

/// Time after which a request may go back to an engine that failed it: longer than a change of an engine takes to reach
/// this gateway's list of backend servers.
constexpr duration kExclusionTime = std::chrono::milliseconds(600);

} // namespace

void stream_request::TryPath(instant aNow)
{
  mPhase = phase::Waiting;
  if (TimeLeft(aNow) <= duration::zero()) {
    GiveUp("deadline", aNow);
    return;
  }
  if (!MayContinue(nullptr, aNow)) {
    GiveUp("leaving", aNow, kRetryElsewhereAfter);
    return;
  }
  // Permits and quota go to the requests that wait for them, in their order.
  const bool isNext = mHasBegun || (!mIsRanked && PermitWait(aNow) <= duration::zero()) ||
                      mEnvironment.mCapacityQueue.Ahead(*this, aNow) == 0;
  if (isNext && SendIfCapacity(aNow)) {
    return;
  }
  if (!mHasBegun && mEnvironment.mFleet->Availability(mRequest.mPool, aNow).mCoveredIn > mRequest.mRoute->mObjective) {
    RefuseForCapacity(aNow);
    return;
  }
  if (!mHasBegun) {
    mEnvironment.mCapacityQueue.Add(ref<stream_request>(this), aNow);
    return;
  }
  Wait(kResumePause, [](stream_request& aRequest) { aRequest.TryPath(Now()); });
}

bool stream_request::SendIfCapacity(instant aNow)
{
  if (const auto blockedFor = mEnvironment.mCrashes->BlockedFor(mRequest, aNow); blockedFor && !mHasBegun) {
    GiveUp("blocked because it crashes engines", aNow, *blockedFor);
    return true;
  }
  if (!MaySendByBudget() || !HasQuota()) {
    return false;
  }
  path_query query;
  query.mPool = mRequest.mPool;
  // The output produced so far is part of the prompt when the stream is resumed.
  query.mInputTokens = mRequest.mMetadata.mPromptTokens + static_cast<double>(mCursor.Count());
  query.mOutputTokens = TokensLeft();
  query.mExcluded = mExcluded;
  query.mIsRepeated = std::exchange(mHasSearchedPath, true);
  query.mMaxQueueWait = std::chrono::duration_cast<duration>(mRequest.mRoute->mObjective * kQueueShareOfObjective);
  auto path = mEnvironment.mFleet->ChoosePath(query, aNow);
  if (!path) {
    // An engine that failed the request may be tried again if no other engine can run it, but not at once: the list of
    // engines may be several hundred milliseconds old, so another engine with the same layers may be listed at any
    // moment, and a request has few attempts.
    if (aNow - mExcludedAt > kExclusionTime) {
      mExcluded.clear();
    }
    return false;
  }
  if (!MayContinue(&*path, aNow)) {
    GiveUp("leaving", aNow, kRetryElsewhereAfter);
    return true;
  }
  if (!ChargeRetry()) {
    return false;
  }
  mEnvironment.mFleet->AddInterconnectLoad(mRequest.mPool, *path, path->mTokens, aNow);
  if (overload_control* overload = Overload()) {
    overload->Started(path->mTokens);
  }
  Send(std::move(*path), aNow);
  return true;
}

/// The measured pace of the streams of this request's pool.
policy::stream_pace stream_request::Pace() const
{
  const auto found = mEnvironment.mStreamPaces.find(mRequest.mPool);
  return found == mEnvironment.mStreamPaces.end() ? policy::stream_pace() : found->second;
}

/// Predicted time from now to the end of the stream at the measured pace; without a path, only what the output takes.
/// Callers' estimates are often far off, so a stream that must not be interrupted counts with all tokens that it
/// allows.
duration stream_request::ExpectedTime(const chosen_path* aPath) const
{
  const policy::stream_pace pace = Pace();
  const duration output = mEnvironment.mStop.IsLate(mRequest.mArrived)
                            ? pace.LongestOutputTime(mRequest.mMetadata.mMaxOutputTokens)
                            : pace.OutputTime(TokensLeft());
  if (aPath == nullptr) {
    return output;
  }
  // The predicted total includes penalties that are no time, so it counts only before anything was measured.
  return output > duration::zero() ? ToDuration(aPath->mCost.mFirstToken) + output : ToDuration(aPath->mCost.mTotal);
}

/// Whether the stream may be sent now. A leaving instance begins only streams that end before it stops; its caller is
/// better off elsewhere at once. One that the caller has received a part of is resumed in any case: it may end in time,
/// and ending it earlier than necessary would only lose it.
bool stream_request::MayContinue(const chosen_path* aPath, instant aNow) const
{
  if (mHasBegun) {
    return true;
  }
  // Without a measurement or a limit on the output nothing bounds the time of a stream.
  const bool isBounded = Pace().IsMeasured() && mRequest.mMetadata.mMaxOutputTokens > 0;
  return (isBounded || !mEnvironment.mStop.IsLate(mRequest.mArrived)) &&
         mEnvironment.mStop.MayBegin(ExpectedTime(aPath), aNow);
}

policy::waiting_request stream_request::ToWaitingRequest(instant aNow) const
{
  return { mRequest.mArrived,
           mRequest.mRoute->mObjective,
           mRequest.mDeadline - mRequest.mArrived,
           mRequest.mPriority,
           mIsRanked ? std::optional(policy::RankOf(mRequest.mPriority, CanBeOnTime(aNow))) : std::nullopt };
}

duration stream_request::PermitWait(instant aNow) const
{
  if (mEnvironment.mFleet->Limits().IsEmpty()) {
    return duration::zero();
  }
  return mEnvironment.mFleet->PermitWait(mRequest.mPool, mEnvironment.mCapacityQueue.Ahead(*this, aNow), aNow);
}

void stream_request::RefuseForCapacity(instant aNow)
{
  LogAvailability(aNow);
  GiveUp("no_path", aNow);
}

/// Time after which a caller that is refused now is most likely to be served.
duration stream_request::RetryAfter(instant aNow)
{
  const pool* pool = mRequest.mConfiguration->FindPool(mRequest.mPool);
  const duration patience = mRequest.mMetadata.mCallerTimeout.value_or(TimeLeft(aNow)) - (aNow - mRequest.mArrived);
  const overload_control* overload = Overload();
  if (const auto after = overload != nullptr
                           ? overload->RetryAfter(patience, policy::ToFraction(mEnvironment.mRandom()), aNow)
                           : std::optional<duration>()) {
    return *after;
  }
  policy::shortage shortage;
  shortage.mQueueWait = mEnvironment.mCapacityQueue.Forecast();
  if (pool != nullptr && pool->mEngine) {
    const engine_availability availability = mEnvironment.mFleet->Availability(mRequest.mPool, aNow);
    shortage.mUncoveredLayers = availability.mUncoveredHere;
    shortage.mPause = std::max(availability.mCoveredIn, PermitWait(aNow));
    shortage.mLayers = pool->mEngine->mLayers;
    shortage.mLoadTime = pool->mEngine->mLoadTime;
  }
  return policy::RetryAfterDelay(shortage, patience, mEnvironment.mRandom());
}

/// Logs the state of the engines that explains why there was no path.
void stream_request::LogAvailability(instant aNow)
{
  const engine_availability availability = mEnvironment.mFleet->Availability(mRequest.mPool, aNow);
  log_line(log_event::NoPath)
    .Text("request", Id())
    .Count("engines_usable", availability.mUsable)
    .Count("engines_lost", availability.mLost)
    .Count("engines_refusing", availability.mRefusing)
    .Count("engines_moving", availability.mMoving)
    .Count("engines_leaving", availability.mLeaving)
    .Count("engines_paused", availability.mPaused)
    .Count("engines_over_limit", availability.mOverLimit)
    .Number("permit_wait_ms", Milliseconds(PermitWait(aNow)))
    .Count("layers_uncovered_here", availability.mUncoveredHere)
    .Count("layers_uncovered_anywhere", availability.mUncoveredAnywhere)
    .Number("tokens", mRequest.mMetadata.mPromptTokens + EstimatedOutputTokens())
    .Count("members_version", mEnvironment.mFleet->Members().Version());
}

} // namespace chervilpulley::gateway
