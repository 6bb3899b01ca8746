#include "gateway/service_request.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/crash_watch.h"

namespace chervilpulley::gateway {

namespace {

/// Timeout for connecting to a server; a live server accepts within a few milliseconds.
constexpr duration kConnectTimeout = std::chrono::milliseconds(200);
/// Share of the route's objective after which an idempotent request is retried at another server.
constexpr double kAttemptShareOfObjective = 0.8;
/// Maximum number of times a request is sent, counting sends that no server has run.
constexpr unsigned kMaxSends = 4;
/// Retry-after time sent to a refused caller: plain services shed load for moments only.
constexpr duration kRetryAfter = std::chrono::milliseconds(300);
/// Callers that wait for a server's pause to end are spread over this share of it.
constexpr double kRetryAfterSpread = 0.25;
/// Longest wait for the response to an ask for permits, which may be sent to a second gateway.
constexpr duration kMaxPermitWait = std::chrono::milliseconds(60);
/// Largest response that is buffered.
constexpr std::size_t kMaxResponseBytes = 16U << 20U;

double Milliseconds(duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

service_request::service_request(request_environment& aEnvironment, admitted_request aRequest)
  : mEnvironment(aEnvironment)
  , mRequest(std::move(aRequest))
  , mTimer(aEnvironment.mContext)
{
}

void service_request::Start()
{
  mEnvironment.mServices.push_back(*this);
  mRequest.mSession->SetHandler(ref<request_handler>(this));
  mEnvironment.mFleet->Retries().RequestArrived(mRequest.mPool, BootNow());
  TryServer(mRequest.mArrived);
}

void service_request::TryServer(instant aNow)
{
  if (aNow >= mRequest.mDeadline) {
    GiveUp("deadline", aNow);
    return;
  }
  if (!MayBegin(aNow)) {
    GiveUp("leaving", aNow, kRetryElsewhereAfter);
    return;
  }
  auto server = mEnvironment.mFleet->ChooseService(mRequest.mPool, mExcluded, mEnvironment.mRandom(), aNow);
  if (!server && IsIdempotent() && !mExcluded.empty()) {
    // Once all servers have been tried, one that failed may be tried again.
    server = mEnvironment.mFleet->ChooseService(mRequest.mPool, {}, mEnvironment.mRandom(), aNow);
  }
  const auto address = server ? mEnvironment.mFleet->AddressOf(*server) : std::nullopt;
  if (!address && WaitForPermits(aNow)) {
    return;
  }
  if (!address) {
    const bool isLimited = mEnvironment.mFleet->OverLimit(mRequest.mPool, aNow) > 0;
    GiveUp(isLimited ? "servers over their limits" : "no_server", aNow);
    return;
  }
  Send(*address, aNow);
}

/// Waits once for the response to an ask for permits, which takes a few milliseconds.
bool service_request::WaitForPermits(instant aNow)
{
  if (mHasWaited || !mEnvironment.mFleet->MayGetPermits(mRequest.mPool, aNow)) {
    return false;
  }
  mHasWaited = true;
  mIsWaiting = true;
  mTimer.expires_after(kMaxPermitWait);
  mTimer.async_wait([self = ref<service_request>(this)](const boost::system::error_code& aError) {
    if (!aError) {
      self->PermitsArrived(Now());
    }
  });
  return true;
}

void service_request::PermitsArrived(instant aNow)
{
  const ref<service_request> self(this);
  if (std::exchange(mIsWaiting, false) && !mIsEnded) {
    mTimer.cancel();
    TryServer(aNow);
  }
}

void service_request::Send(const backend_address& aServer, instant aNow)
{
  mServer = aServer.mServer.mId;
  mSentAt = aNow;
  mEnvironment.mFleet->Started(*mServer);
  mHasHead = false;
  mStatus = 0;
  mIsWhole = false;
  mHeaders = {};
  mResponseMetadata = {};
  mIsResponseCertain = false;
  mBody.clear();
  wire::dispatch dispatch;
  dispatch.mExpected = *mServer;
  call_options options;
  options.mTo = aServer;
  options.mRequestId = Id();
  options.mConnectTimeout = kConnectTimeout;
  // A server that gets the request again may send its earlier refusal once more, with the same ID.
  options.mNeedsNewConnection = !IsIdempotent() || mExcluded.contains(*mServer);
  ++mSends;
  const std::size_t overLimit = mEnvironment.mFleet->OverLimit(mRequest.mPool, aNow);
  mEnvironment.mFleet->RequestSent(*mServer, aNow);
  log_line(log_event::CallSent)
    .Text("request", Id())
    .Text("backend", mServer->Str())
    .Count("send", mSends)
    .Count("over_limit", overLimit)
    .Count("members_version", mEnvironment.mFleet->Members().Version());
  mCall = mEnvironment.mCalls->Start(options, Outgoing(mRequest, std::move(dispatch), aNow), *this);
  instant until = mRequest.mDeadline;
  if (IsIdempotent() && mRuns + 1 < mRequest.mRoute->mMaxAttempts) {
    const auto wait = std::chrono::duration_cast<duration>(mRequest.mRoute->mObjective * kAttemptShareOfObjective);
    until = std::min(until, aNow + wait);
  }
  mTimer.expires_at(until);
  mTimer.async_wait([self = ref<service_request>(this), send = mSends](const boost::system::error_code& aError) {
    if (!aError && !self->mIsEnded && send == self->mSends) {
      self->HandleTimeout();
    }
  });
}

void service_request::EndAttempt(bool aFailed)
{
  mTimer.cancel();
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mServer) {
    mEnvironment.mFleet->Ended(*mServer);
    mEnvironment.mFleet->RecordOutcome(*mServer, aFailed);
    mExcluded.insert(*mServer);
    mServer.reset();
  }
}

void service_request::OnHead(unsigned aStatus, net::http_headers aHeaders)
{
  mHasHead = true;
  mStatus = aStatus;
  mHeaders = std::move(aHeaders);
  mResponseMetadata = wire::DecodeResponseMetadata(mStatus, mHeaders);
  mIsResponseCertain = mCall->IsResponseCertain();
  mResponseMetadata.mDidNotRun = mResponseMetadata.mDidNotRun && mIsResponseCertain;
  const std::string_view length = mHeaders.Get("Content-Length");
  std::size_t announced = 0;
  std::from_chars(length.data(), length.data() + length.size(), announced);
  if (announced > kMaxResponseBytes && !mResponseMetadata.mDidNotRun) {
    const ref<service_request> self(this);
    HandleOversized(Now());
  }
}

void service_request::OnBody(std::string_view aBytes)
{
  const ref<service_request> self(this);
  mBody.append(aBytes);
  if (mBody.size() > kMaxResponseBytes) {
    HandleOversized(Now());
    return;
  }
  LimitHeldBytes(mEnvironment, HeldBytes(), Now());
}

void service_request::HandleOversized(instant aNow)
{
  mBody = {};
  if (mCall) {
    HandleFailure("response too large", aNow);
  }
}

void service_request::OnEnd(call_end aEnd, const std::string& aReason)
{
  const ref<service_request> self(this);
  const instant now = Now();
  mCall.reset();
  mIsWhole = IsWhole(aEnd);
  if (aEnd == call_end::Unsent) {
    mEnvironment.mFleet->MarkUnreachable(*mServer, Id(), aReason, now);
    EndAttempt(true);
    if (mSends < kMaxSends) {
      TryServer(now);
    } else {
      GiveUp("servers unreachable", now);
    }
    return;
  }
  if (aEnd == call_end::Abort) {
    const auto* member = mEnvironment.mFleet->Members().Find(*mServer);
    if (!mHasHead && member != nullptr) {
      mEnvironment.mCrashes->RunInterrupted(mRequest, { member->mId, member->mStartedAt }, now);
    }
    HandleFailure(aReason, now);
    return;
  }
  if (mResponseMetadata.mDidNotRun) {
    log_line(log_event::ServerRefused).Text("request", Id()).Text("backend", mServer->Str()).Count("status", mStatus);
    mEnvironment.mFleet->MarkRefusing(*mServer, now);
    EndAttempt(false);
    if (mSends < kMaxSends && mEnvironment.mFleet->Retries().TryRetry({ mRequest.mPool, Id() }, BootNow())) {
      TryServer(now);
    } else {
      GiveUp("servers refused the request", now);
    }
    return;
  }
  const bool isGood = mStatus < 300 && mResponseMetadata.mIsStamped && !mHeaders.Has("Content-Encoding");
  mEnvironment.mCallTimes[mRequest.mPool].Observed(now - mSentAt);
  mEnvironment.mLongestCallTimes[mRequest.mPool].Observed(now - mSentAt, now);
  if (isGood || (mStatus >= 300 && mStatus < 500 && !wire::PromisesNotRun(mStatus) && mIsResponseCertain)) {
    ForwardResponse();
    return;
  }
  HandleFailure("status " + std::to_string(mStatus), now);
}

/// Whether a call would end before the instance stops, if that is leaving. One that must not run twice counts with the
/// longest time of recent calls: interrupting it leaves its caller without a way to go on.
bool service_request::MayBegin(instant aNow) const
{
  if (!IsIdempotent()) {
    const auto longest = mEnvironment.mLongestCallTimes.find(mRequest.mPool);
    const auto time = longest == mEnvironment.mLongestCallTimes.end() ? std::nullopt : longest->second.Longest(aNow);
    if (!mEnvironment.mStop.EndsInTime(time.value_or(duration::zero()), aNow) ||
        (!time && mEnvironment.mStop.IsLate(mRequest.mArrived))) {
      return false;
    }
  }
  const auto times = mEnvironment.mCallTimes.find(mRequest.mPool);
  const duration measured = times == mEnvironment.mCallTimes.end() ? duration::zero() : times->second.Mean();
  return mEnvironment.mStop.MayBegin(std::max(measured, mRequest.mRoute->mObjective), aNow);
}

/// Whether the request may be retried now; if so, the retry is charged to the retry budget.
bool service_request::MayRetry(instant aNow)
{
  return !mEnvironment.mCrashes->IsSuspect(mRequest, aNow) && IsIdempotent() && mRuns < mRequest.mRoute->mMaxAttempts &&
         mSends < kMaxSends && aNow < mRequest.mDeadline &&
         mEnvironment.mFleet->Retries().TryRetry({ mRequest.mPool, Id() }, BootNow());
}

/// Handles a server that may have run the request but gave no valid response.
void service_request::HandleFailure(const std::string& aReason, instant aNow)
{
  ++mRuns;
  log_line(log_event::ServerFailed)
    .Text("request", Id())
    .Text("backend", mServer->Str())
    .Text("reason", aReason)
    .Count("runs", mRuns);
  const bool hasResponse = mIsWhole && mStatus >= 500 && !wire::PromisesNotRun(mStatus);
  EndAttempt(true);
  if (MayRetry(aNow)) {
    mEnvironment.mMetrics->Repaired(repair_kind::Retried);
    TryServer(aNow);
    return;
  }
  if (hasResponse) {
    ForwardResponse();
    return;
  }
  GiveUp(aReason, aNow);
}

/// Handles a server that has not responded in time: retries the request at another one, or ends it at the deadline.
void service_request::HandleTimeout()
{
  const ref<service_request> self(this);
  const instant now = Now();
  if (now >= mRequest.mDeadline) {
    ++mRuns;
    EndAttempt(true);
    GiveUp("deadline", now);
    return;
  }
  if (mSends >= kMaxSends || !mEnvironment.mFleet->Retries().TryRetry({ mRequest.mPool, Id() }, BootNow())) {
    // No retry is allowed, so the request stays at its current server until the deadline.
    mTimer.expires_at(mRequest.mDeadline);
    mTimer.async_wait([self, send = mSends](const boost::system::error_code& aError) {
      if (!aError && !self->mIsEnded && send == self->mSends) {
        self->HandleTimeout();
      }
    });
    return;
  }
  ++mRuns;
  log_line(log_event::ServerSlow).Text("request", Id()).Text("backend", mServer->Str());
  EndAttempt(true);
  mEnvironment.mMetrics->Repaired(repair_kind::Retried);
  TryServer(now);
}

/// Forwards the server's response to the caller unchanged.
void service_request::ForwardResponse()
{
  net::http_reply reply;
  reply.mStatus = mStatus;
  reply.mHeaders = EndToEnd(mHeaders);
  reply.mBody = std::move(mBody);
  const unsigned status = mStatus;
  const bool failed = status >= 500;
  if (!failed) {
    mEnvironment.mCrashes->Produced(mRequest);
  }
  EndAttempt(failed);
  mRequest.mSession->Respond(std::move(reply));
  End(failed ? request_end::BackendFailed : request_end::Served, status, failed ? "failure response forwarded" : "");
}

/// Time after which a caller that is refused now is most likely to be served.
duration service_request::RetryAfter(instant aNow)
{
  const duration permitWait = mEnvironment.mFleet->PermitWait(mRequest.mPool, 0, aNow);
  const auto pauseEndsIn = mEnvironment.mFleet->ServiceReturnsIn(mRequest.mPool, aNow);
  if (!pauseEndsIn && permitWait <= duration::zero()) {
    return kRetryAfter;
  }
  const duration returnsIn = pauseEndsIn.value_or(std::max(kRetryAfter, permitWait));
  std::uniform_real_distribution<double> spread(1, 1 + kRetryAfterSpread);
  return std::chrono::duration_cast<duration>(returnsIn * spread(mEnvironment.mRandom));
}

void service_request::GiveUp(const std::string& aReason, instant aNow, std::optional<duration> aRetryAfter)
{
  if (mRuns == 0) {
    mRequest.mSession->Respond(OwnResponse(503, aRetryAfter.value_or(RetryAfter(aNow))));
    End(request_end::Refused, 503, aReason);
    return;
  }
  const bool timedOut = aNow >= mRequest.mDeadline;
  mRequest.mSession->Respond(OwnResponse(timedOut ? 504 : 502, std::nullopt));
  End(timedOut ? request_end::TimedOut : request_end::Unknown, timedOut ? 504 : 502, aReason);
}

void service_request::OnCallerGone()
{
  if (!mIsEnded) {
    EndAttempt(false);
    End(request_end::CallerLeft, 0, "caller left");
  }
}

void service_request::End(request_end aEnd, unsigned aStatus, const std::string& aReason)
{
  const instant now = Now();
  mIsEnded = true;
  const bool served = aEnd == request_end::Served;
  mEnvironment.mMetrics->Ended(aEnd, now - mRequest.mArrived);
  log_line(served ? log_event::CallServed : log_event::CallEnded)
    .Text("request", Id())
    .Text("route", mRequest.mRoute->mName.Str())
    .Text("workspace", mRequest.mWorkspace)
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("sends", mSends)
    .Count("configuration", mRequest.mConfiguration->mVersion)
    .Number("after_ms", Milliseconds(now - mRequest.mArrived));
  if (is_linked()) {
    unlink();
  }
  mRequest.mSession.reset();
}

void service_request::Stop(instant aNow)
{
  const ref<service_request> self(this);
  LogCut(aNow);
  mRuns += mCall ? 1 : 0;
  EndAttempt(false);
  GiveUp("the instance stops", aNow, kRetryElsewhereAfter);
}

/// Logs that the process stops before the request has ended.
void service_request::LogCut(instant aNow) const
{
  log_line(log_event::RequestCut)
    .Text("request", Id())
    .Text("phase", mCall ? "running" : "waiting")
    .Text("backend", mServer ? mServer->Str() : "")
    .Count("sends", mSends)
    .Number("after_ms", Milliseconds(aNow - mRequest.mArrived))
    .Number("sent_ms_ago", mCall ? Milliseconds(aNow - mSentAt) : -1)
    .Number("left_ms", Milliseconds(mRequest.mDeadline - aNow));
}

} // namespace chervilpulley::gateway
