#include "gateway/stream_request.h"

#include <boost/asio/post.hpp>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_inquiries.h"
#include "gateway/room_queue.h"
#include "gateway/stream_request_p.h"
#include "policy/retry_after.h"

namespace chervilpulley::gateway {

namespace {

/// Longest wait for a connection to an engine; a live one takes one within a millisecond.
constexpr duration kConnectTimeout = std::chrono::milliseconds(250);
/// Silence added to the predicted first token before somebody is asked.
constexpr duration kFirstEventSlack = std::chrono::milliseconds(350);
/// A caller that has not taken so many bytes is not sent more until it has.
constexpr std::size_t kMostBacklog = 256U << 10U;
/// Pause before a broken stream is tried again where the budget or the engines gave nothing. A caller that has a part
/// of its answer decides itself how long it waits for the rest.
constexpr duration kBrokenPause = std::chrono::milliseconds(120);
/// Time after which an engine that failed a request is tried again with it: longer than a change takes to be listed
/// here.
constexpr duration kSameEngineAfter = std::chrono::milliseconds(600);
/// Times that a request is sent at most, also where no engine has run it: before its first event, and in all.
constexpr unsigned kMostSends = 5;
constexpr unsigned kMostSendsOnceBegun = 12;
/// Largest failure that is kept to be handed on; those of engines are a line of text.
constexpr std::size_t kMostFailureBytes = 1U << 20U;

} // namespace

stream_request::stream_request(request_tools& aTools, admitted_request aRequest)
  : mTools(aTools)
  , mAsked(std::move(aRequest))
  , mTimer(aTools.mContext)
  , mCursor(mAsked.mWish.mLastEvent)
  , mInquiryPause(kFirstInquiryPause)
{
}

void stream_request::Start()
{
  mTools.mStreams.push_back(*this);
  mAsked.mSession->SetWork(ref<request_work>(this));
  mTools.mFleet->Retries(mAsked.mPool).RequestSent(mAsked.mArrived);
  TryPath(mAsked.mArrived);
}

double stream_request::AnswerGuess() const
{
  const pool* pool = mAsked.mConfiguration->FindPool(mAsked.mPool);
  const double usual = pool != nullptr && pool->mEngine ? pool->mEngine->mTypicalOutputTokens : 0;
  const double guess = mAsked.mWish.mAnswerGuess.value_or(usual);
  // Guesses are often far off: half of the weight stays with the usual answer.
  return std::min(std::max(1.0, (guess + usual) / 2), std::max(1.0, mAsked.mWish.mMostAnswerTokens));
}

double stream_request::TokensLeft() const
{
  return std::max(1.0, AnswerGuess() - static_cast<double>(mCursor.Count()));
}

void stream_request::TryPath(instant aNow)
{
  mPhase = phase::Waiting;
  if (TimeLeft(aNow) <= duration::zero()) {
    GiveUp("deadline", aNow);
    return;
  }
  if (SendIfRoom(aNow)) {
    return;
  }
  if (!mHasBegun) {
    mTools.mRoom.Add(ref<stream_request>(this), aNow);
    return;
  }
  Wait(kBrokenPause, [](stream_request& aRequest) { aRequest.TryPath(Now()); });
}

bool stream_request::SendIfRoom(instant aNow)
{
  path_question question;
  question.mPool = mAsked.mPool;
  // What was written already must be read again.
  question.mInputTokens = mAsked.mWish.mPromptTokens + static_cast<double>(mCursor.Count());
  question.mOutputTokens = TokensLeft();
  question.mExcluded = mExcluded;
  auto path = mTools.mFleet->ChoosePath(question, aNow);
  if (!path) {
    // An engine that failed it once may be tried again where others can't take it. The list of engines may be old by
    // some hundred milliseconds, and a request has few attempts: another holder may be listed any moment.
    if (aNow - mExcludedAt > kSameEngineAfter) {
      mExcluded.clear();
    }
    return false;
  }
  if (mOwesRepeat) {
    if (!mTools.mFleet->Retries(mAsked.mPool).TryRetry(aNow, mTools.mFleet->Gateways())) {
      return false;
    }
    mOwesRepeat = false;
    mTools.mMetrics->Repaired(repair_kind::Repeated);
  }
  mTools.mFleet->CountCrossings(mAsked.mPool, *path, path->mTokens, aNow);
  Send(std::move(*path), aNow);
  return true;
}

policy::waiting_request stream_request::AsWaiting() const
{
  return { mAsked.mArrived, mAsked.mRoute->mObjective, mAsked.mDeadline - mAsked.mArrived, mAsked.mPriority };
}

void stream_request::RefuseForRoom(instant aNow)
{
  LogSupply(aNow);
  GiveUp("no_path", aNow);
}

/// When a caller that is refused now is served most likely.
duration stream_request::ComeBack(instant aNow)
{
  const pool* pool = mAsked.mConfiguration->FindPool(mAsked.mPool);
  policy::shortage shortage;
  shortage.mQueueWait = mTools.mRoom.Forecast();
  if (pool != nullptr && pool->mEngine) {
    shortage.mUncoveredLayers = mTools.mFleet->Supply(mAsked.mPool, aNow).mUncoveredHere;
    shortage.mLayers = pool->mEngine->mLayers;
    shortage.mLoadTime = pool->mEngine->mLoadTime;
  }
  const duration patience = mAsked.mWish.mPatience.value_or(TimeLeft(aNow)) - (aNow - mAsked.mArrived);
  return policy::RetryAfterDelay(shortage, patience, mTools.mRandom());
}

/// Says why there was no path.
void stream_request::LogSupply(instant aNow)
{
  const engine_supply supply = mTools.mFleet->Supply(mAsked.mPool, aNow);
  log_line(log_event::NoPath)
    .Text("request", Id())
    .Count("engines_usable", supply.mUsable)
    .Count("engines_lost", supply.mLost)
    .Count("engines_refusing", supply.mRefusing)
    .Count("engines_moving", supply.mMoving)
    .Count("layers_uncovered_here", supply.mUncoveredHere)
    .Count("layers_uncovered_anywhere", supply.mUncoveredAnywhere)
    .Number("tokens", mAsked.mWish.mPromptTokens + AnswerGuess())
    .Count("members_version", mTools.mFleet->Members().Version());
}

/// Goes on after a pause, unless the request has ended or runs by then.
void stream_request::Wait(duration aTime, void (*aGoOn)(stream_request&))
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = ref<stream_request>(this), aGoOn](const boost::system::error_code& aError) {
    if (!aError && self->mPhase == phase::Waiting) {
      aGoOn(*self);
    }
  });
}

void stream_request::Send(chosen_path aPath, instant aNow)
{
  mPhase = phase::Running;
  mPath = std::move(aPath);
  ++mPathNumber;
  mTools.mFleet->Promise(*mPath);
  mSourceIsGood = false;
  mStatus = 0;
  mFailureBody.clear();
  mCursor.SourceChanged();
  mSentAt = aNow;
  mQuietUntil = aNow + ToDuration(mPath->mCost.mFirstToken) * 2 + kFirstEventSlack;
  mInquiryPause = kFirstInquiryPause;
  wire::dispatch dispatch;
  dispatch.mExpected = mPath->mStages.front().mEngine;
  dispatch.mPath = HopsOf(*mPath);
  dispatch.mLastEvent = mCursor.Last();
  call_options options;
  options.mRequestId = Id();
  options.mConnectTimeout = kConnectTimeout;
  if (const auto server = net::ParseEndpoint(mPath->mStages.front().mAddress)) {
    options.mServer = server.value();
  }
  ++mSends;
  if (const auto* member = mTools.mFleet->Members().Find(mPath->mStages.front().mEngine)) {
    mRanAt.push_back(*member);
  }
  log_line(log_event::StreamSent)
    .Text("request", Id())
    .Text("backend", dispatch.mExpected.Str())
    .Text("path", wire::EncodePath(dispatch.mPath))
    .Count("send", mSends)
    .Count("members_version", mTools.mFleet->Members().Version())
    .Number("predicted_first_ms", mPath->mCost.mFirstToken.count());
  mCall = mTools.mCalls->Start(options, Outgoing(mAsked, std::move(dispatch), aNow), *this);
}

/// Lets go of the present call and of what was promised for it.
void stream_request::Drop()
{
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mPath) {
    mTools.mFleet->Release(*mPath);
    mPath.reset();
  }
  mIsRepathing = false;
  ++mPathNumber;
}

void stream_request::OnHead(unsigned aStatus, net::http_headers aHeaders)
{
  mStatus = aStatus;
  mHeaders = std::move(aHeaders);
  mNote = wire::DecodeNote(mStatus, mHeaders);
  mSourceIsGood = aStatus == 200 && mNote.mIsSigned && !mHeaders.Has("Content-Encoding");
}

void stream_request::OnBody(std::string_view aBytes)
{
  const ref<stream_request> self(this);
  if (!mSourceIsGood) {
    mFailureBody.append(aBytes);
    if (mFailureBody.size() > kMostFailureBytes && mPhase == phase::Running) {
      TakeEndlessFailure(Now());
    }
    return;
  }
  std::string events;
  const auto verdict = mCursor.Take(aBytes, events);
  const instant now = Now();
  if (!events.empty()) {
    if (!mHasBegun) {
      mHasBegun = true;
      net::http_reply head;
      head.mStatus = mStatus;
      head.mHeaders = EndToEnd(mHeaders);
      mFirstEventAfter = now - mAsked.mArrived;
      mTools.mMetrics->FirstEvent(mFirstEventAfter);
      mAsked.mSession->Begin(head, events);
    } else {
      mTools.mMetrics->Gap(now - mLastEvent);
      mGaps.Observed(now - mLastEvent);
      mLongestGap = std::max(mLongestGap, now - mLastEvent);
      mAsked.mSession->Write(events);
    }
    mLastEvent = now;
    mQuietUntil = now + Allowance();
    mInquiryPause = kFirstInquiryPause;
  }
  if (mPhase != phase::Running) {
    return;
  }
  if (verdict != policy::event_cursor::verdict::InOrder) {
    TakeFailure("events out of order", now);
    return;
  }
  if (mAsked.mSession->Backlog() > kMostBacklog && mCall) {
    mIsPaused = true;
    mCall->SetPaused(true);
  }
}

void stream_request::OnEnd(call_end aEnd, const std::string& aReason)
{
  const ref<stream_request> self(this);
  const instant now = Now();
  mCall.reset();
  if (aEnd == call_end::Unsent) {
    mTools.mFleet->BelieveUnreachable(mPath->mStages.front().mEngine, Id(), aReason, now);
    ForgetLastRun();
    Drop();
    if (mSends < kMostSends) {
      TryPath(now);
    } else {
      GiveUp("engines unreachable", now);
    }
    return;
  }
  if (aEnd == call_end::Cut) {
    if (!mTools.mFleet->IsListed(mPath->mStages.front().mEngine)) {
      // It has served on what it had, and ends now.
      mTools.mFleet->BelieveLost(mPath->mStages.front().mEngine, now);
    }
    if (!mHasBegun && !mRanAt.empty()) {
      mTools.mCrashes->RunInterrupted(mAsked.mDigest, mRanAt.back(), now);
    }
    TakeFailure(aReason, now);
    return;
  }
  if (mSourceIsGood) {
    if (mCursor.IsInEvent() || !mHasBegun) {
      TakeFailure("ended in the middle", now);
      return;
    }
    mAsked.mSession->Finish();
    End(request_end::Served, mStatus, "");
    return;
  }
  if (mNote.mDidNotRun) {
    TakeRefusal(now);
    return;
  }
  TakeFailure("status " + std::to_string(mStatus), now);
}

/// An engine says that the request has not run.
void stream_request::TakeRefusal(instant aNow)
{
  const backend_id first = mPath->mStages.front().mEngine;
  const backend_id faulty = mTools.mFleet->AtAddress(mNote.mFaultyAddress).value_or(first);
  log_line(log_event::EngineRefused)
    .Text("request", Id())
    .Text("backend", faulty.Str())
    .Text("asked", first.Str())
    .Count("status", mStatus)
    .Number("after_ms", Milliseconds(aNow - mSentAt));
  ForgetLastRun();
  Exclude(faulty, aNow);
  mTools.mFleet->BelieveRefusing(faulty, aNow, mStatus == 421 ? kStaleBelief : kRefusalBelief);
  if (faulty != first) {
    mTools.mInquiries->Check(faulty);
  }
  Drop();
  Retry("refused", aNow);
}

/// What the head says of a failure holds, however long its body goes on.
void stream_request::TakeEndlessFailure(instant aNow)
{
  mFailureBody.clear();
  if (mNote.mDidNotRun) {
    TakeRefusal(aNow);
    return;
  }
  mStatus = 0;
  TakeFailure("a failure without an end", aNow);
}

/// The answer broke off, or is a failure.
void stream_request::TakeFailure(const std::string& aReason, instant aNow)
{
  const backend_id first = mPath->mStages.front().mEngine;
  log_line(log_event::StreamFailed)
    .Text("request", Id())
    .Text("backend", first.Str())
    .Text("reason", aReason)
    .Count("events", mCursor.Count())
    .Number("after_ms", Milliseconds(aNow - mSentAt));
  mTools.mFleet->Outcome(first, true);
  mMayHaveRun = true;
  Exclude(first, aNow);
  Drop();
  if (!MayRunAgain() || (!mHasBegun && LiveRuns() >= mAsked.mRoute->mMaxAttempts)) {
    if (!mHasBegun && mStatus >= 400) {
      HandOnFailure(aNow);
      return;
    }
    GiveUp(aReason, aNow);
    return;
  }
  Retry(aReason, aNow);
}

void stream_request::Exclude(const backend_id& aEngine, instant aNow)
{
  mExcluded.insert(aEngine);
  mExcludedAt = aNow;
}

/// The engine that it was sent to last did not run it.
void stream_request::ForgetLastRun()
{
  if (!mRanAt.empty()) {
    mRanAt.pop_back();
  }
}

std::size_t stream_request::LiveRuns() const
{
  return static_cast<std::size_t>(
    std::count_if(mRanAt.begin(), mRanAt.end(), [&](const auto& aRun) { return mTools.mFleet->MayBeAlive(aRun); }));
}

/// Sends the request once more, as far as the budget for repeats allows.
void stream_request::Retry(const std::string& aReason, instant aNow)
{
  mPhase = phase::Waiting;
  if (mTools.mCrashes->IsBlocked(mAsked.mDigest)) {
    GiveUp("ends its servers", aNow);
    return;
  }
  const bool maySend = mSends < (mHasBegun ? kMostSendsOnceBegun : kMostSends);
  // A broken stream may go on once one of its engines is known to have ended.
  const bool mayRun = LiveRuns() < mAsked.mRoute->mMaxAttempts;
  if (maySend && mayRun && mTools.mFleet->Retries(mAsked.mPool).TryRetry(aNow, mTools.mFleet->Gateways())) {
    mTools.mMetrics->Repaired(mHasBegun ? repair_kind::Resumed : repair_kind::Repeated);
    TryPath(aNow);
    return;
  }
  if (maySend && mHasBegun) {
    Wait(kBrokenPause, [](stream_request& aRequest) { aRequest.Retry("no repeat allowed yet", Now()); });
    return;
  }
  if (maySend && mayRun) {
    mOwesRepeat = true;
    mTools.mRoom.Add(ref<stream_request>(this), aNow);
    return;
  }
  GiveUp("no more repeats: " + aReason, aNow);
}

void stream_request::HandOnFailure(instant)
{
  net::http_reply reply;
  reply.mStatus = mStatus;
  reply.mHeaders = EndToEnd(mHeaders);
  reply.mBody = std::move(mFailureBody);
  const unsigned status = mStatus;
  mAsked.mSession->Answer(std::move(reply));
  End(request_end::BackendFailed, status, "handed on");
}

/// The final answer of a request that can't be served.
void stream_request::GiveUp(const std::string& aReason, instant aNow)
{
  Drop();
  if (mHasBegun) {
    mAsked.mSession->Cut();
    End(request_end::Cut, 0, aReason);
    return;
  }
  if (mMayHaveRun) {
    const bool timedOut = TimeLeft(aNow) <= duration::zero();
    mAsked.mSession->Answer(OwnAnswer(timedOut ? 504 : 502, std::nullopt));
    End(timedOut ? request_end::TimedOut : request_end::Unknown, timedOut ? 504 : 502, aReason);
    return;
  }
  const duration comeBack = ComeBack(aNow);
  mAsked.mSession->Answer(OwnAnswer(503, comeBack));
  End(request_end::Refused, 503, aReason);
}

void stream_request::OnTaken()
{
  if (mIsPaused && mCall) {
    mIsPaused = false;
    mQuietUntil = Now() + Allowance();
    mCall->SetPaused(false);
  }
}

void stream_request::OnCallerGone()
{
  if (mPhase != phase::Ended) {
    Drop();
    End(request_end::CallerLeft, 0, "caller left");
  }
}

void stream_request::End(request_end aEnd, unsigned aStatus, const std::string& aReason)
{
  const ref<stream_request> self(this);
  if (mPhase == phase::Ended) {
    return;
  }
  const instant now = Now();
  const bool served = aEnd == request_end::Served;
  if (served && mPath) {
    mTools.mFleet->Outcome(mPath->mStages.front().mEngine, false);
    mTools.mRoom.Ran(now - mSentAt);
    mTools.mCrashes->Served(mAsked.mDigest);
  }
  Drop();
  mPhase = phase::Ended;
  mTimer.cancel();
  mTools.mMetrics->Ended(aEnd, now - mAsked.mArrived);
  log_line(served ? log_event::StreamServed : log_event::StreamEnded)
    .Text("request", Id())
    .Text("route", mAsked.mRoute->mName.Str())
    .Text("workspace", mAsked.mWorkspace)
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("events", mCursor.Count())
    .Count("sends", mSends)
    .Count("configuration", mAsked.mConfiguration->mVersion)
    .Number("first_event_ms", Milliseconds(mFirstEventAfter))
    .Number("longest_gap_ms", Milliseconds(mLongestGap))
    .Number("after_ms", Milliseconds(now - mAsked.mArrived));
  if (is_linked()) {
    unlink();
  }
  mAsked.mSession.reset();
}

} // namespace chervilpulley::gateway
