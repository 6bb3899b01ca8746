#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/engine_probes.h"
#include "gateway/stream_request_p.h"

/// Replaces later engines in the path of a running stream when they are lost or leave. The first engine stays and
/// continues the stream on the new path.
namespace chervilpulley::gateway {

namespace {

/// Time that a replaced stage gets beyond its predicted prefill time before a stall is suspected.
constexpr duration kRepathSlack = std::chrono::milliseconds(300);
/// Maximum number of new paths tried before the stream is resumed from another first engine. Each refusal takes as long
/// as one transfer between failure domains and excludes only one engine.
constexpr int kMaxRepathTries = 4;
/// Timeout for the first engine's response to a new path. The response takes one transfer between failure domains and
/// no computation; the timeout is longer than a pause of the engine.
constexpr duration kRepathTimeout = std::chrono::milliseconds(300);
/// Share of a leaving engine's drain time after which streams are moved off it.
constexpr double kDrainShareBeforeMove = 0.5;
/// Pause after no new path was found for a stream; a search takes a millisecond or less.
constexpr duration kRepathPause = std::chrono::milliseconds(100);
/// Pause between two attempts to move a stream off leaving engines.
constexpr duration kMovePause = std::chrono::milliseconds(500);

} // namespace

/// Whether aEngine can be a stage of a new path. An engine that leaves or unloads layers keeps serving its current
/// paths but refuses new ones, even for a stream that it already serves.
bool stream_request::CanJoinNewPath(const backend_id& aEngine, instant aNow) const
{
  return !mEnvironment.mFleet->IsLostOrUnlisted(aEngine, aNow) && !mEnvironment.mFleet->IsMoving(aEngine, aNow) &&
         !mEnvironment.mFleet->LeavingSince(aEngine) && !mExcluded.contains(aEngine);
}

/// Returns the current path with other engines for the layers of aLost and of all engines that can't join a new path.
std::optional<chosen_path> stream_request::FindReplacementPath(const backend_id& aLost, instant aNow)
{
  chosen_path path;
  path.mPool = mPath->mPool;
  path.mTokens = mPath->mTokens;
  for (std::size_t index = 0; index < mPath->mStages.size(); ++index) {
    const chosen_path::stage& stage = mPath->mStages[index];
    // The first engine can't be replaced; if it refuses, the stream is resumed from another one.
    if (index == 0 || (stage.mEngine != aLost && CanJoinNewPath(stage.mEngine, aNow))) {
      path.mStages.push_back(stage);
      continue;
    }
    path_query query;
    query.mPool = mRequest.mPool;
    query.mInputTokens = mRequest.mMetadata.mPromptTokens + static_cast<double>(mCursor.Count());
    query.mOutputTokens = TokensLeft();
    query.mSpan = stage.mRange;
    if (!path.mStages.empty()) {
      query.mDomainBefore = path.mStages.back().mDomain;
    }
    if (index + 1 < mPath->mStages.size()) {
      query.mDomainAfter = mPath->mStages[index + 1].mDomain;
    }
    query.mExcluded = mExcluded;
    query.mExcluded.insert(aLost);
    for (const chosen_path::stage& other : mPath->mStages) {
      query.mExcluded.insert(other.mEngine);
    }
    for (const chosen_path::stage& other : path.mStages) {
      query.mExcluded.insert(other.mEngine);
    }
    const auto replacement = mEnvironment.mFleet->ChoosePath(query, aNow);
    if (!replacement) {
      return std::nullopt;
    }
    path.mCost.mFirstToken += replacement->mCost.mFirstToken;
    path.mStages.insert(path.mStages.end(), replacement->mStages.begin(), replacement->mStages.end());
  }
  return path;
}

/// Asks the first engine to continue the stream on a path without the engine that is lost or leaving.
void stream_request::Repath(const repath_cause& aCause, instant aNow)
{
  if (aNow < mNextRepath) {
    return;
  }
  auto path = FindReplacementPath(aCause.mEngine, aNow);
  const auto first = mEnvironment.mFleet->AddressOf(mPath->mStages.front().mEngine);
  if (!path || !first) {
    if (aCause.mReason == repath_reason::Lost && MayStartElsewhere()) {
      HandleFailure("no other engine for a stage of the path", aNow);
    } else {
      // The stream keeps its path: an engine may load the layers before the first engine abandons the stream.
      mNextRepath = aNow + kRepathPause;
    }
    return;
  }
  const chosen_path former = *mPath;
  mIsRepathing = true;
  mEnvironment.mFleet->AddInterconnectLoad(mRequest.mPool, *path, path->mTokens, aNow);
  SwitchToPath(*path);
  ++mPathNumber;
  const auto hops = HopsOf(*mPath);
  log_line(log_event::StreamRepathed)
    .Text("request", Id())
    .Text(aCause.mReason == repath_reason::Lost ? "lost" : "leaving", aCause.mEngine.Str())
    .Text("path", wire::EncodePath(hops))
    .Count("refused_before", static_cast<std::uint64_t>(aCause.mTries))
    .Count("events", mCursor.Count());
  CallWithTimeout(mEnvironment.mContext,
                  mEnvironment.mCalls,
                  *first,
                  wire::EncodeNewPath(Id(), hops),
                  kRepathTimeout,
                  [self = ref<stream_request>(this), number = mPathNumber, former, aCause](const auto& aReply) {
                    self->OnRepathResponse(number, former, aCause, aReply);
                  });
}

/// Reserves capacity on aPath and releases that on the current path, which it replaces.
void stream_request::SwitchToPath(const chosen_path& aPath)
{
  mEnvironment.mFleet->Release(*mPath);
  mPath = aPath;
  mEnvironment.mFleet->Reserve(*mPath);
}

void stream_request::OnRepathResponse(std::uint64_t aPathNumber,
                                      const chosen_path& aFormer,
                                      const repath_cause& aCause,
                                      const std::optional<net::http_reply>& aReply)
{
  if (aPathNumber != mPathNumber || mPhase != phase::Running) {
    return;
  }
  mIsRepathing = false;
  const instant now = Now();
  if (aReply && aReply->mStatus < 300) {
    mEnvironment.mMetrics->Repaired(repair_kind::Repathed);
    mNextStallCheck = now + ToDuration(mPath->mCost.mFirstToken) * 2 + kRepathSlack;
    mLastEvent = mHasBegun ? mLastEvent : now;
    return;
  }
  const bool refused = aReply && aReply->mStatus == 409;
  if (refused) {
    HandlePathRefusal(aFormer, aReply->mBody, now);
  } else {
    log_line(log_event::RepathRefused).Text("request", Id()).Count("status", aReply ? aReply->mStatus : 0);
  }
  if (aCause.mReason == repath_reason::Leaving && aReply) {
    // The first engine refused, so the stream continues on its former path.
    SwitchToPath(aFormer);
    return;
  }
  // A first engine that can't join new paths itself would refuse every other path of this stream too.
  if (refused && aCause.mTries + 1 < kMaxRepathTries && CanJoinNewPath(mPath->mStages.front().mEngine, now)) {
    SwitchToPath(aFormer);
    Repath({ aCause.mEngine, aCause.mReason, aCause.mTries + 1 }, now);
    return;
  }
  HandleFailure("path could not be replaced", now);
}

/// Excludes the engine that the refusal names; if it names none, one of the newly added engines has no capacity, so all
/// of them are excluded.
void stream_request::HandlePathRefusal(const chosen_path& aFormer, std::string_view aResponse, instant aNow)
{
  const auto faulty = mEnvironment.mFleet->AtAddress(wire::DecodePathRefusal(aResponse));
  log_line(log_event::RepathRefused)
    .Text("request", Id())
    .Text("backend", faulty ? faulty->Str() : "")
    .Count("status", 409)
    .Quote("answer", aResponse);
  if (faulty) {
    mEnvironment.mFleet->MarkRefusing(*faulty, aNow);
    Exclude(*faulty, aNow);
    return;
  }
  for (const chosen_path::stage& stage : mPath->mStages) {
    const bool wasThere = std::any_of(aFormer.mStages.begin(), aFormer.mStages.end(), [&](const auto& aStage) {
      return aStage.mEngine == stage.mEngine;
    });
    if (!wasThere) {
      Exclude(stage.mEngine, aNow);
    }
  }
}

/// Moves a running stream off a later engine that will terminate before the stream ends. The first engine can't be
/// replaced.
void stream_request::MoveOffLeavingEngines(instant aNow)
{
  if (!mHasBegun || aNow < mNextMove || !CanJoinNewPath(mPath->mStages.front().mEngine, aNow)) {
    return;
  }
  for (std::size_t index = 1; index < mPath->mStages.size(); ++index) {
    const backend_id engine = mPath->mStages[index].mEngine;
    const auto since = mEnvironment.mFleet->LeavingSince(engine);
    // An engine that is no longer listed is leaving without having reported it, or has terminated.
    const bool leaves = !mEnvironment.mFleet->IsListed(engine) ||
                        (since && aNow - *since > mEnvironment.mDrainBound * kDrainShareBeforeMove);
    if (leaves || mEnvironment.mFleet->IsMoving(engine, aNow)) {
      mNextMove = aNow + kMovePause;
      Repath({ engine, repath_reason::Leaving }, aNow);
      return;
    }
  }
}

} // namespace chervilpulley::gateway
