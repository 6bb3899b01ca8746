#include "gateway/stream_request.h"

#include <boost/asio/post.hpp>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/capacity_queue.h"
#include "gateway/crash_watch.h"
#include "gateway/engine_probes.h"
#include "gateway/stream_request_p.h"

namespace chervilpulley::gateway {

namespace {

/// Timeout for connecting to an engine; a live engine accepts within a millisecond.
constexpr duration kConnectTimeout = std::chrono::milliseconds(250);
/// Maximum delay of a first event that is predicted before the engine is probed: callers give up after two seconds, and
/// an engine that is lost looks like one with a long queue.
constexpr duration kMaxExpectedDelay = std::chrono::milliseconds(800);
/// Time allowed for the first event beyond its predicted delay before the engine is probed.
constexpr duration kFirstEventSlack = std::chrono::milliseconds(350);
/// Unsent bytes for the caller beyond which reading from the engine is paused until the caller has received them.
constexpr std::size_t kMaxBacklogBytes = 256U << 10U;
/// Maximum number of times a request is sent, counting sends that no engine has run: before its first event, and in
/// total.
constexpr unsigned kMaxSends = 5;
constexpr unsigned kMaxSendsOnceBegun = 12;
/// Events after which a run is taken not to crash its engine: those that crash it do so as they start to write.
constexpr std::uint64_t kEventsOfSoundRun = 3;
/// Maximum number of runs that are interrupted before they produce output: more would crash further engines before it
/// is known whether the request is the cause.
constexpr unsigned kMaxFruitlessRuns = 2;
/// Largest failure response that is buffered to be forwarded; engines send a line of text.
constexpr std::size_t kMaxFailureBytes = 1U << 20U;

std::string JoinParts(const std::vector<std::string>& aParts)
{
  std::string text;
  for (const std::string& part : aParts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

/// Whether a response may be a stream of events by its content type. A response without one may be.
bool MayBeEventStream(const net::http_headers& aHeaders)
{
  constexpr std::string_view kBlanks = " \t";
  std::string_view type = aHeaders.Get("Content-Type");
  type = type.substr(0, type.find(';'));
  type.remove_prefix(std::min(type.find_first_not_of(kBlanks), type.size()));
  type = type.substr(0, type.find_last_not_of(kBlanks) + 1);
  return !aHeaders.Has("Content-Type") || net::EqualNames(type, "text/event-stream");
}

} // namespace

stream_request::stream_request(request_environment& aEnvironment, admitted_request aRequest)
  : mEnvironment(aEnvironment)
  , mRequest(std::move(aRequest))
  , mTimer(aEnvironment.mContext)
  , mCursor(mRequest.mMetadata.mLastEvent)
  , mProbePause(kInitialProbePause)
{
}

void stream_request::Start()
{
  mEnvironment.mStreams.push_back(*this);
  mRequest.mSession->SetHandler(ref<request_handler>(this));
  mEnvironment.mFleet->Retries().RequestArrived(mRequest.mPool, BootNow());
  if (!IsAdmitted(mRequest.mArrived)) {
    GiveUp("capacity is allocated to more urgent requests", mRequest.mArrived);
    return;
  }
  TryPath(mRequest.mArrived);
}

double stream_request::EstimatedOutputTokens() const
{
  return EstimateOutputTokens(mRequest.mConfiguration->FindPool(mRequest.mPool),
                              mRequest.mMetadata.mOutputTokensHint,
                              mRequest.mMetadata.mMaxOutputTokens);
}

double stream_request::TokensLeft() const
{
  return std::max(1.0, EstimatedOutputTokens() - static_cast<double>(mCursor.Count()));
}

/// Calls aContinue after a pause, unless the request has ended or is running by then.
void stream_request::Wait(duration aTime, void (*aContinue)(stream_request&))
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = ref<stream_request>(this), aContinue](const boost::system::error_code& aError) {
    if (!aError && self->mPhase == phase::Waiting) {
      aContinue(*self);
    }
  });
}

void stream_request::Send(chosen_path aPath, instant aNow)
{
  mPhase = phase::Running;
  mPath = std::move(aPath);
  ++mPathNumber;
  mEnvironment.mFleet->Reserve(*mPath);
  mHasSearchedPath = false;
  mIsEventStream = false;
  mStatus = 0;
  mIsWhole = false;
  mResponseMetadata = {};
  mFailureBody.clear();
  mCursor.SourceChanged();
  mSentAt = aNow;
  mIsQueued = true;
  mEnvironment.mFleet->Queued(mPath->mStages.front().mEngine, mSentAt);
  const duration expected = std::min<duration>(ToDuration(mPath->mCost.mFirstToken) * 2, kMaxExpectedDelay);
  mNextStallCheck = aNow + expected + kFirstEventSlack;
  mProbePause = kInitialProbePause;
  wire::dispatch dispatch;
  dispatch.mExpected = mPath->mStages.front().mEngine;
  dispatch.mPath = HopsOf(*mPath);
  dispatch.mLastEvent = mCursor.Last();
  call_options options;
  options.mRequestId = Id();
  options.mConnectTimeout = kConnectTimeout;
  // An engine that gets the request again may send its earlier refusal once more, with the same ID.
  options.mNeedsNewConnection = !mSentTo.insert(mPath->mStages.front().mEngine).second;
  if (const auto server = mEnvironment.mFleet->AddressOf(mPath->mStages.front().mEngine)) {
    options.mTo = *server;
  }
  ++mSends;
  const std::size_t overLimit = mEnvironment.mFleet->OverLimit(mRequest.mPool, aNow);
  mEnvironment.mFleet->RequestSent(mPath->mStages.front().mEngine, aNow);
  if (const auto* member = mEnvironment.mFleet->Members().Find(mPath->mStages.front().mEngine)) {
    mRanOn.push_back(*member);
  }
  log_line(log_event::StreamSent)
    .Text("request", Id())
    .Text("backend", dispatch.mExpected.Str())
    .Text("path", wire::EncodePath(dispatch.mPath))
    .Count("send", mSends)
    .Count("members_version", mEnvironment.mFleet->Members().Version())
    .Count("over_limit", overLimit)
    .Number("predicted_first_ms", mPath->mCost.mFirstToken.count());
  mCall = mEnvironment.mCalls->Start(options, Outgoing(mRequest, std::move(dispatch), aNow), *this);
}

/// Tells the fleet that the current attempt no longer waits in the queue of its first engine.
void stream_request::LeaveEngineQueue()
{
  if (mIsQueued) {
    mIsQueued = false;
    mEnvironment.mFleet->Unqueued(mPath->mStages.front().mEngine, mSentAt);
  }
}

/// Cancels the current call and releases what is reserved on its path.
void stream_request::EndAttempt()
{
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  LeaveEngineQueue();
  if (mPath) {
    mEnvironment.mFleet->Release(*mPath);
    mPath.reset();
  }
  mIsRepathing = false;
  ++mPathNumber;
}

void stream_request::OnHead(unsigned aStatus, net::http_headers aHeaders)
{
  mStatus = aStatus;
  mHeaders = std::move(aHeaders);
  mResponseMetadata = wire::DecodeResponseMetadata(mStatus, mHeaders);
  mResponseMetadata.mDidNotRun = mResponseMetadata.mDidNotRun && mCall->IsResponseCertain();
  mIsEventStream =
    aStatus == 200 && mResponseMetadata.mIsStamped && !mHeaders.Has("Content-Encoding") && MayBeEventStream(mHeaders);
}

void stream_request::OnBody(std::string_view aBytes)
{
  const ref<stream_request> self(this);
  if (!mIsEventStream) {
    mFailureBody.append(aBytes);
    if (mFailureBody.size() > kMaxFailureBytes) {
      HandleOversized(Now());
    } else {
      LimitHeldBytes(mEnvironment, HeldBytes(), Now());
    }
    return;
  }
  std::string events;
  const auto verdict = mCursor.Append(aBytes, events);
  const instant now = Now();
  if (!events.empty()) {
    LeaveEngineQueue();
    if (!mHasBegun) {
      mFirstEventAfter = now - mRequest.mArrived;
      mEnvironment.mMetrics->FirstEvent(mFirstEventAfter);
      BeginResponse(events);
    } else {
      mEnvironment.mMetrics->Gap(now - mLastEvent);
      mGaps.Observed(now - mLastEvent);
      mEnvironment.mStreamPaces[mRequest.mPool].GapObserved(now - mLastEvent);
      mLongestGap = std::max(mLongestGap, now - mLastEvent);
      mRequest.mSession->Write(events);
    }
    mLastEvent = now;
    mNextStallCheck = now + StallThreshold();
    mProbePause = kInitialProbePause;
    if (mCursor.Count() >= kEventsOfSoundRun) {
      ProducedEvents();
    }
  }
  if (mPhase != phase::Running) {
    return;
  }
  if (verdict != policy::event_cursor::verdict::InOrder) {
    HandleFailure("events arrived out of order", now);
    return;
  }
  LimitHeldBytes(mEnvironment, HeldBytes(), now);
  if (mPhase == phase::Running && mRequest.mSession->Backlog() > kMaxBacklogBytes && mCall) {
    mIsPaused = true;
    mCall->SetPaused(true);
  }
}

void stream_request::BeginResponse(std::string_view aEvents)
{
  mHasBegun = true;
  net::http_reply head;
  head.mStatus = mStatus;
  head.mHeaders = EndToEnd(mHeaders);
  mRequest.mSession->Begin(head, aEvents);
}

/// Records a run that ended early; the request may have crashed the engine if it has never had output.
void stream_request::RunInterrupted(instant aNow)
{
  if (!mHasProduced && !mRanOn.empty()) {
    ++mFruitlessRuns;
    mEnvironment.mCrashes->RunInterrupted(mRequest, { mRanOn.back().mId, mRanOn.back().mStartedAt }, aNow);
  }
}

/// Records once that this request crashes no engine.
void stream_request::ProducedEvents()
{
  if (!mHasProduced) {
    mHasProduced = true;
    mEnvironment.mCrashes->Produced(mRequest);
  }
}

/// Whether a stream is complete when the current run ends in this way. A run that adds no event to those that the
/// caller has shows that there are no more only if it says where it ends: one that ends with its connection may as well
/// have been interrupted before its first event.
bool stream_request::IsWholeStream(call_end aEnd) const
{
  if (mCursor.HasPartialEvent() || !mCursor.Last()) {
    return false;
  }
  return mCursor.CountFromSource() > 0 || (aEnd == call_end::Complete && mCursor.EndsWithSource());
}

void stream_request::OnEnd(call_end aEnd, const std::string& aReason)
{
  const ref<stream_request> self(this);
  const instant now = Now();
  mCall.reset();
  mIsWhole = IsWhole(aEnd);
  if (aEnd == call_end::Unsent) {
    mEnvironment.mFleet->MarkUnreachable(mPath->mStages.front().mEngine, Id(), aReason, now);
    ForgetLastRun();
    EndAttempt();
    if (mSends < kMaxSends) {
      TryPath(now);
    } else {
      GiveUp("engines unreachable", now);
    }
    return;
  }
  if (aEnd == call_end::Abort) {
    if (!mEnvironment.mFleet->IsListed(mPath->mStages.front().mEngine)) {
      // The engine left the list earlier, kept serving its running requests and has terminated now.
      mEnvironment.mFleet->MarkLost(mPath->mStages.front().mEngine, now);
    }
    RunInterrupted(now);
    HandleFailure(aReason, now);
    return;
  }
  if (mIsEventStream) {
    if (!IsWholeStream(aEnd)) {
      RunInterrupted(now);
      HandleFailure("response ended before the stream was complete", now);
      return;
    }
    if (!mHasBegun) {
      BeginResponse("");
    }
    mRequest.mSession->Finish();
    End(request_end::Served, mStatus, "");
    return;
  }
  if (mResponseMetadata.mDidNotRun) {
    HandleRefusal(now);
    return;
  }
  HandleFailure("status " + std::to_string(mStatus), now);
}

/// Handles a response in which an engine reports that the request has not run.
void stream_request::HandleRefusal(instant aNow)
{
  const backend_id first = mPath->mStages.front().mEngine;
  const backend_id faulty = mEnvironment.mFleet->AtAddress(mResponseMetadata.mFaultyAddress).value_or(first);
  log_line(log_event::EngineRefused)
    .Text("request", Id())
    .Text("backend", faulty.Str())
    .Text("asked", first.Str())
    .Count("status", mStatus)
    .Number("after_ms", Milliseconds(aNow - mSentAt));
  ForgetLastRun();
  Exclude(faulty, aNow);
  mEnvironment.mFleet->MarkRefusing(faulty, aNow, mStatus == 421 ? kStaleHoldTime : kRefusalHoldTime);
  if (faulty != first) {
    mEnvironment.mProbes->ProbeSuspect(faulty);
  }
  EndAttempt();
  Retry("refused", aNow);
}

void stream_request::HandleOversized(instant aNow)
{
  mFailureBody = {};
  mCursor.SourceChanged();
  if (mPhase != phase::Running) {
    return;
  }
  if (mResponseMetadata.mDidNotRun) {
    HandleRefusal(aNow);
    return;
  }
  HandleFailure("response too large", aNow);
}

/// Handles a response that broke off, is invalid or reports a failure.
void stream_request::HandleFailure(const std::string& aReason, instant aNow)
{
  const backend_id first = mPath->mStages.front().mEngine;
  log_line(log_event::StreamFailed)
    .Text("request", Id())
    .Text("backend", first.Str())
    .Text("reason", aReason)
    .Count("events", mCursor.Count())
    .Quote("parts", JoinParts(mRequest.mMetadata.mSharedParts))
    .Number("after_ms", Milliseconds(aNow - mSentAt));
  mEnvironment.mFleet->RecordOutcome(first, true);
  mMayHaveRun = true;
  Exclude(first, aNow);
  EndAttempt();
  if (!MayRunAgain() || (!mHasBegun && LiveRuns() >= mRequest.mRoute->mMaxAttempts)) {
    if (!mHasBegun && mIsWhole && mStatus >= 400 && !wire::PromisesNotRun(mStatus)) {
      ForwardFailure(aNow);
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

/// Removes the latest engine from mRanOn, because it did not run the request.
void stream_request::ForgetLastRun()
{
  if (!mRanOn.empty()) {
    mRanOn.pop_back();
  }
}

std::size_t stream_request::LiveRuns() const
{
  return static_cast<std::size_t>(std::count_if(
    mRanOn.begin(), mRanOn.end(), [&](const auto& aRun) { return mEnvironment.mFleet->MayBeAlive(aRun); }));
}

/// Whether the next send is the first one, or a retry that the retry budget allows now.
bool stream_request::MaySendByBudget()
{
  mIsRetryDenied = mIsRetry && !mEnvironment.mFleet->Retries().MayRetry(RetryAsk(), BootNow());
  return !mIsRetryDenied;
}

/// Charges the next send to the retry budget if it is a retry. It is charged only when it is sent, as the limit holds
/// for what reaches the engines.
bool stream_request::ChargeRetry()
{
  if (!mIsRetry) {
    return true;
  }
  mIsRetryDenied = !mEnvironment.mFleet->Retries().TryRetry(RetryAsk(), BootNow());
  if (!mIsRetryDenied) {
    mIsRetry = false;
    mEnvironment.mMetrics->Repaired(mHasBegun ? repair_kind::Resumed : repair_kind::Retried);
  }
  return !mIsRetryDenied;
}

/// Sends the request once more if the limits on sends and attempts allow it, as soon as there is a path and the retry
/// budget allows it.
void stream_request::Retry(const std::string& aReason, instant aNow)
{
  mPhase = phase::Waiting;
  if (!mHasProduced && (mFruitlessRuns >= kMaxFruitlessRuns || mEnvironment.mCrashes->IsSuspect(mRequest, aNow))) {
    GiveUp("not retried because it may crash engines", aNow);
    return;
  }
  const bool maySend = mSends < (mHasBegun ? kMaxSendsOnceBegun : kMaxSends);
  // A broken stream may be resumed once one of its engines is known to have terminated.
  const bool mayRun = LiveRuns() < mRequest.mRoute->mMaxAttempts;
  if (maySend && mayRun) {
    mIsRetry = true;
    TryPath(aNow);
    return;
  }
  if (maySend && mHasBegun) {
    Wait(kResumePause, [](stream_request& aRequest) { aRequest.Retry("no retry allowed yet", Now()); });
    return;
  }
  GiveUp("no more retries: " + aReason, aNow);
}

void stream_request::ForwardFailure(instant)
{
  net::http_reply reply;
  reply.mStatus = mStatus;
  reply.mHeaders = EndToEnd(mHeaders);
  reply.mBody = std::move(mFailureBody);
  const unsigned status = mStatus;
  mRequest.mSession->Respond(std::move(reply));
  End(request_end::BackendFailed, status, "failure response forwarded");
}

/// Ends a request that can't be served, with an error response or, if a response has begun, by aborting the connection.
void stream_request::GiveUp(const std::string& aReason, instant aNow, std::optional<duration> aRetryAfter)
{
  EndAttempt();
  if (mHasBegun) {
    mRequest.mSession->Abort();
    End(request_end::Abort, 0, aReason);
    return;
  }
  if (mMayHaveRun) {
    const bool timedOut = TimeLeft(aNow) <= duration::zero();
    mRequest.mSession->Respond(OwnResponse(timedOut ? 504 : 502, std::nullopt));
    End(timedOut ? request_end::TimedOut : request_end::Unknown, timedOut ? 504 : 502, aReason);
    return;
  }
  mRequest.mSession->Respond(OwnResponse(503, aRetryAfter.value_or(RetryAfter(aNow))));
  End(request_end::Refused, 503, aReason);
}

void stream_request::OnWritten()
{
  if (mIsPaused && mCall) {
    mIsPaused = false;
    mNextStallCheck = Now() + StallThreshold();
    mCall->SetPaused(false);
  }
}

void stream_request::OnCallerGone()
{
  if (mPhase != phase::Ended) {
    EndAttempt();
    End(request_end::CallerLeft, 0, "caller left");
  }
}

void stream_request::Stop(instant aNow)
{
  const ref<stream_request> self(this);
  LogCut(aNow);
  mMayHaveRun = mMayHaveRun || mPhase == phase::Running;
  GiveUp("the instance stops", aNow, kRetryElsewhereAfter);
}

/// Logs that the process stops before the request has ended.
void stream_request::LogCut(instant aNow) const
{
  log_line(log_event::RequestCut)
    .Text("request", Id())
    .Text("phase", mPhase == phase::Running ? "running" : "waiting")
    .Text("backend", mPath ? mPath->mStages.front().mEngine.Str() : "")
    .Count("events", mCursor.Count())
    .Count("sends", mSends)
    .Number("after_ms", Milliseconds(aNow - mRequest.mArrived))
    .Number("sent_ms_ago", mPath ? Milliseconds(aNow - mSentAt) : -1)
    .Number("left_ms", Milliseconds(TimeLeft(aNow)));
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
    mEnvironment.mFleet->RecordOutcome(mPath->mStages.front().mEngine, false);
    mEnvironment.mCapacityQueue.Ran(now - mSentAt);
    if (overload_control* overload = Overload()) {
      overload->Ran(now - mSentAt);
    }
    if (!mRequest.mMetadata.mLastEvent && mRequest.mMetadata.mMaxOutputTokens > 0) {
      mEnvironment.mStreamPaces[mRequest.mPool].Ended(mCursor.Count(), EstimatedOutputTokens());
    }
    if (mCursor.Count() > 0) {
      ProducedEvents();
    }
  }
  EndAttempt();
  mPhase = phase::Ended;
  mTimer.cancel();
  mEnvironment.mMetrics->Ended(aEnd, now - mRequest.mArrived);
  log_line(served ? log_event::StreamServed : log_event::StreamEnded)
    .Text("request", Id())
    .Text("route", mRequest.mRoute->mName.Str())
    .Text("workspace", mRequest.mWorkspace)
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("events", mCursor.Count())
    .Count("sends", mSends)
    .Count("configuration", mRequest.mConfiguration->mVersion)
    .Number("first_event_ms", Milliseconds(mFirstEventAfter))
    .Number("longest_gap_ms", Milliseconds(mLongestGap))
    .Number("after_ms", Milliseconds(now - mRequest.mArrived));
  if (is_linked()) {
    unlink();
  }
  mRequest.mSession.reset();
}

} // namespace chervilpulley::gateway
