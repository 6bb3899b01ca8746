#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/engine_inquiries.h"
#include "gateway/stream_request_p.h"

/// New paths of running streams: their first engine goes on, and others take the place of those that are lost or leave.
namespace chervilpulley::gateway {

namespace {

/// Time that a replaced part gets beside its reading.
constexpr duration kRepathSlack = std::chrono::milliseconds(300);
/// New paths that are tried before the stream is taken up elsewhere: each refusal takes one crossing, and names one
/// engine.
constexpr int kMostRepathTries = 4;
/// Wait for the first engine's answer to a new path, which takes a crossing and no work; longer than a pause of its.
constexpr duration kRepathTimeout = std::chrono::milliseconds(300);
/// Part of the time for which a leaving engine serves after which streams are moved away from it.
constexpr double kStayShare = 0.5;
/// Pause after there was no new path for a stream; a search costs a millisecond or less.
constexpr duration kRepathPause = std::chrono::milliseconds(100);
/// Pause after a stream could not be moved.
constexpr duration kMovePause = std::chrono::milliseconds(500);

} // namespace

/// An engine that leaves, or gives up layers, serves on as it does, and refuses a new path even where it was on the
/// former one.
bool stream_request::JoinsNewPath(const backend_id& aEngine, instant aNow) const
{
  return !mTools.mFleet->IsBelievedLost(aEngine, aNow) && !mTools.mFleet->IsMoving(aEngine, aNow) &&
         !mTools.mFleet->LeavingSince(aEngine) && !mExcluded.contains(aEngine);
}

/// The present path with other engines for the layers of a lost one, and of all that join no new path.
std::optional<chosen_path> stream_request::Replace(const backend_id& aLost, instant aNow)
{
  chosen_path path;
  path.mTokens = mPath->mTokens;
  for (std::size_t index = 0; index < mPath->mStages.size(); ++index) {
    const chosen_path::part& part = mPath->mStages[index];
    // The first engine can't be replaced; where it refuses, the stream is taken up elsewhere.
    if (index == 0 || (part.mEngine != aLost && JoinsNewPath(part.mEngine, aNow))) {
      path.mStages.push_back(part);
      continue;
    }
    path_question question;
    question.mPool = mAsked.mPool;
    question.mInputTokens = mAsked.mWish.mPromptTokens + static_cast<double>(mCursor.Count());
    question.mOutputTokens = TokensLeft();
    question.mSpan = part.mRange;
    if (!path.mStages.empty()) {
      question.mDomainBefore = path.mStages.back().mDomain;
    }
    if (index + 1 < mPath->mStages.size()) {
      question.mDomainAfter = mPath->mStages[index + 1].mDomain;
    }
    question.mExcluded = mExcluded;
    question.mExcluded.insert(aLost);
    for (const chosen_path::part& other : mPath->mStages) {
      question.mExcluded.insert(other.mEngine);
    }
    for (const chosen_path::part& other : path.mStages) {
      question.mExcluded.insert(other.mEngine);
    }
    const auto replacement = mTools.mFleet->ChoosePath(question, aNow);
    if (!replacement) {
      return std::nullopt;
    }
    path.mCost.mFirstToken += replacement->mCost.mFirstToken;
    path.mStages.insert(path.mStages.end(), replacement->mStages.begin(), replacement->mStages.end());
  }
  return path;
}

/// Replaces the parts of lost engines while the stream goes on at its first one.
void stream_request::Repath(const repath_cause& aCause, instant aNow)
{
  if (aNow < mNextRepath) {
    return;
  }
  auto path = Replace(aCause.mEngine, aNow);
  const auto first = mTools.mFleet->AddressOf(mPath->mStages.front().mEngine);
  if (!path || !first) {
    if (aCause.mReason == repath_reason::Lost && MayStartElsewhere()) {
      TakeFailure("no other engine for a part", aNow);
    } else {
      // It stays where it is: the layers may be loaded before the engine gives the stream up.
      mNextRepath = aNow + kRepathPause;
    }
    return;
  }
  const chosen_path former = *mPath;
  mIsRepathing = true;
  mTools.mFleet->CountCrossings(mAsked.mPool, *path, path->mTokens, aNow);
  TakePath(*path);
  ++mPathNumber;
  const auto hops = HopsOf(*mPath);
  log_line(log_event::StreamRepathed)
    .Text("request", Id())
    .Text(aCause.mReason == repath_reason::Lost ? "lost" : "leaving", aCause.mEngine.Str())
    .Text("path", wire::EncodePath(hops))
    .Count("refused_before", static_cast<std::uint64_t>(aCause.mTries))
    .Count("events", mCursor.Count());
  CallShortly(mTools.mContext,
              mTools.mCalls,
              *first,
              wire::EncodeNewPath(Id(), hops),
              kRepathTimeout,
              [self = ref<stream_request>(this), number = mPathNumber, former, aCause](const auto& aReply) {
                self->RepathAnswered(number, former, aCause, aReply);
              });
}

/// Promises room on a path in place of the present one.
void stream_request::TakePath(const chosen_path& aPath)
{
  mTools.mFleet->Release(*mPath);
  mPath = aPath;
  mTools.mFleet->Promise(*mPath);
}

void stream_request::RepathAnswered(std::uint64_t aPathNumber,
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
    mTools.mMetrics->Repaired(repair_kind::Repathed);
    mQuietUntil = now + ToDuration(mPath->mCost.mFirstToken) * 2 + kRepathSlack;
    mLastEvent = mHasBegun ? mLastEvent : now;
    return;
  }
  const bool refused = aReply && aReply->mStatus == 409;
  if (refused) {
    TakePathRefusal(aFormer, aReply->mBody, now);
  } else {
    log_line(log_event::RepathRefused).Text("request", Id()).Count("status", aReply ? aReply->mStatus : 0);
  }
  if (aCause.mReason == repath_reason::Leaving && aReply) {
    // The engine refused, and the former path still serves.
    TakePath(aFormer);
    return;
  }
  // Where the first engine refuses, so it does each other path of this stream.
  if (refused && aCause.mTries + 1 < kMostRepathTries && JoinsNewPath(mPath->mStages.front().mEngine, now)) {
    TakePath(aFormer);
    Repath({ aCause.mEngine, aCause.mReason, aCause.mTries + 1 }, now);
    return;
  }
  TakeFailure("path not replaced", now);
}

/// The engine that is named joins no new path; where none is named, one of the new ones has no room.
void stream_request::TakePathRefusal(const chosen_path& aFormer, std::string_view aAnswer, instant aNow)
{
  const auto faulty = mTools.mFleet->AtAddress(wire::DecodePathRefusal(aAnswer));
  log_line(log_event::RepathRefused)
    .Text("request", Id())
    .Text("backend", faulty ? faulty->Str() : "")
    .Count("status", 409)
    .Quote("answer", aAnswer);
  if (faulty) {
    mTools.mFleet->BelieveRefusing(*faulty, aNow);
    Exclude(*faulty, aNow);
    return;
  }
  for (const chosen_path::part& part : mPath->mStages) {
    const bool wasThere = std::any_of(
      aFormer.mStages.begin(), aFormer.mStages.end(), [&](const auto& aPart) { return aPart.mEngine == part.mEngine; });
    if (!wasThere) {
      Exclude(part.mEngine, aNow);
    }
  }
}

/// Moves a running stream from an engine that will end before the stream does. The first engine can't be replaced.
void stream_request::MoveFromLeaving(instant aNow)
{
  if (!mHasBegun || aNow < mNextMove || !JoinsNewPath(mPath->mStages.front().mEngine, aNow)) {
    return;
  }
  for (std::size_t index = 1; index < mPath->mStages.size(); ++index) {
    const backend_id engine = mPath->mStages[index].mEngine;
    const auto since = mTools.mFleet->LeavingSince(engine);
    // One that is not listed any more leaves without having said so, or has ended.
    const bool leaves = !mTools.mFleet->IsListed(engine) || (since && aNow - *since > mTools.mDrainBound * kStayShare);
    if (leaves || mTools.mFleet->IsMoving(engine, aNow)) {
      mNextMove = aNow + kMovePause;
      Repath({ engine, repath_reason::Leaving }, aNow);
      return;
    }
  }
}

} // namespace chervilpulley::gateway
