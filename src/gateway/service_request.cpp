#include "gateway/service_request.h"

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/crash_watch.h"

namespace chervilpulley::gateway {

namespace {

/// Longest wait for a connection; a live server takes one within a few milliseconds.
constexpr duration kConnectTimeout = std::chrono::milliseconds(200);
/// A repeatable request is tried elsewhere after this part of what is left of its objective.
constexpr double kTryShareOfObjective = 0.8;
/// Times that a request is sent at most, also where no server has run it.
constexpr unsigned kMostSends = 4;
/// When a caller that was refused is told to come back: plain servers shed for moments only.
constexpr duration kComeBack = std::chrono::milliseconds(300);
/// Largest answer that is kept whole.
constexpr std::size_t kMostAnswerBytes = 16U << 20U;

} // namespace

service_request::service_request(request_tools& aTools, admitted_request aRequest)
  : mTools(aTools)
  , mAsked(std::move(aRequest))
  , mTimer(aTools.mContext)
{
}

void service_request::Start()
{
  mAsked.mSession->SetWork(ref<request_work>(this));
  mTools.mFleet->Retries(mAsked.mPool).RequestSent(mAsked.mArrived);
  TryServer(mAsked.mArrived);
}

void service_request::TryServer(instant aNow)
{
  if (aNow >= mAsked.mDeadline) {
    GiveUp("deadline", aNow);
    return;
  }
  auto server = mTools.mFleet->ChooseService(mAsked.mPool, mExcluded, mTools.mRandom(), aNow);
  if (!server && IsIdempotent() && !mExcluded.empty()) {
    // Where all were tried, one that failed may still be tried again.
    server = mTools.mFleet->ChooseService(mAsked.mPool, {}, mTools.mRandom(), aNow);
  }
  const auto address = server ? mTools.mFleet->AddressOf(*server) : std::nullopt;
  if (!address) {
    GiveUp("no_server", aNow);
    return;
  }
  Send(*server, *address, aNow);
}

void service_request::Send(const backend_id& aServer, const net::endpoint& aAddress, instant aNow)
{
  mServer = aServer;
  mTools.mFleet->Started(aServer);
  mHasHead = false;
  mStatus = 0;
  mBody.clear();
  wire::dispatch dispatch;
  dispatch.mExpected = aServer;
  call_options options;
  options.mServer = aAddress;
  options.mRequestId = Id();
  options.mConnectTimeout = kConnectTimeout;
  options.mNewConnection = !IsIdempotent();
  ++mSends;
  mCall = mTools.mCalls->Start(options, Outgoing(mAsked, std::move(dispatch), aNow), *this);
  instant until = mAsked.mDeadline;
  if (IsIdempotent() && mRuns + 1 < mAsked.mRoute->mMaxAttempts) {
    const auto wait = std::chrono::duration_cast<duration>(mAsked.mRoute->mObjective * kTryShareOfObjective);
    until = std::min(until, aNow + wait);
  }
  mTimer.expires_at(until);
  mTimer.async_wait([self = ref<service_request>(this), send = mSends](const boost::system::error_code& aError) {
    if (!aError && !self->mIsEnded && send == self->mSends) {
      self->TakeTimeout();
    }
  });
}

void service_request::Drop(bool aFailed)
{
  mTimer.cancel();
  if (mCall) {
    mCall->Cancel();
    mCall.reset();
  }
  if (mServer) {
    mTools.mFleet->Ended(*mServer);
    mTools.mFleet->Outcome(*mServer, aFailed);
    mExcluded.insert(*mServer);
    mServer.reset();
  }
}

void service_request::OnHead(unsigned aStatus, net::http_headers aHeaders)
{
  mHasHead = true;
  mStatus = aStatus;
  mHeaders = std::move(aHeaders);
  mNote = wire::DecodeNote(mStatus, mHeaders);
}

void service_request::OnBody(std::string_view aBytes)
{
  const ref<service_request> self(this);
  mBody.append(aBytes);
  if (mBody.size() > kMostAnswerBytes) {
    TakeFailure("answer too large", Now());
  }
}

void service_request::OnEnd(call_end aEnd, const std::string& aReason)
{
  const ref<service_request> self(this);
  const instant now = Now();
  mCall.reset();
  if (aEnd == call_end::Unsent) {
    mTools.mFleet->BelieveUnreachable(*mServer, Id(), aReason, now);
    Drop(true);
    if (mSends < kMostSends) {
      TryServer(now);
    } else {
      GiveUp("servers unreachable", now);
    }
    return;
  }
  if (aEnd == call_end::Cut) {
    const auto* member = mTools.mFleet->Members().Find(*mServer);
    if (!mHasHead && member != nullptr) {
      mTools.mCrashes->RunInterrupted(mAsked.mDigest, *member, now);
    }
    TakeFailure(aReason, now);
    return;
  }
  if (mNote.mDidNotRun) {
    log_line(log_event::ServerRefused).Text("request", Id()).Text("backend", mServer->Str()).Count("status", mStatus);
    mTools.mFleet->BelieveRefusing(*mServer, now);
    Drop(false);
    if (mSends < kMostSends && mTools.mFleet->Retries(mAsked.mPool).TryRetry(now, mTools.mFleet->Gateways())) {
      TryServer(now);
    } else {
      GiveUp("servers refuse", now);
    }
    return;
  }
  const bool isGood = mStatus < 300 && mNote.mIsSigned && !mHeaders.Has("Content-Encoding");
  if (isGood || (mStatus >= 300 && mStatus < 500)) {
    HandOn();
    return;
  }
  TakeFailure("status " + std::to_string(mStatus), now);
}

bool service_request::MayRepeat(instant aNow)
{
  return !mTools.mCrashes->IsBlocked(mAsked.mDigest) && IsIdempotent() && mRuns < mAsked.mRoute->mMaxAttempts &&
         mSends < kMostSends && aNow < mAsked.mDeadline &&
         mTools.mFleet->Retries(mAsked.mPool).TryRetry(aNow, mTools.mFleet->Gateways());
}

/// The server may have run the request, and gave no good answer.
void service_request::TakeFailure(const std::string& aReason, instant aNow)
{
  ++mRuns;
  log_line(log_event::ServerFailed)
    .Text("request", Id())
    .Text("backend", mServer->Str())
    .Text("reason", aReason)
    .Count("runs", mRuns);
  const bool hasAnswer = mCall == nullptr && mHasHead && mStatus >= 500;
  Drop(true);
  if (MayRepeat(aNow)) {
    mTools.mMetrics->Repaired(repair_kind::Repeated);
    TryServer(aNow);
    return;
  }
  if (hasAnswer) {
    HandOn();
    return;
  }
  GiveUp(aReason, aNow);
}

void service_request::TakeTimeout()
{
  const ref<service_request> self(this);
  const instant now = Now();
  if (now >= mAsked.mDeadline) {
    ++mRuns;
    Drop(true);
    GiveUp("deadline", now);
    return;
  }
  if (mSends >= kMostSends || !mTools.mFleet->Retries(mAsked.mPool).TryRetry(now, mTools.mFleet->Gateways())) {
    // It stays where it is until the deadline.
    mTimer.expires_at(mAsked.mDeadline);
    mTimer.async_wait([self, send = mSends](const boost::system::error_code& aError) {
      if (!aError && !self->mIsEnded && send == self->mSends) {
        self->TakeTimeout();
      }
    });
    return;
  }
  ++mRuns;
  log_line(log_event::ServerSlow).Text("request", Id()).Text("backend", mServer->Str());
  Drop(true);
  mTools.mMetrics->Repaired(repair_kind::Repeated);
  TryServer(now);
}

/// Gives the caller the server's answer as it is.
void service_request::HandOn()
{
  net::http_reply reply;
  reply.mStatus = mStatus;
  reply.mHeaders = EndToEnd(mHeaders);
  reply.mBody = std::move(mBody);
  const unsigned status = mStatus;
  const bool failed = status >= 500;
  if (!failed) {
    mTools.mCrashes->Served(mAsked.mDigest);
  }
  Drop(failed);
  mAsked.mSession->Answer(std::move(reply));
  End(failed ? request_end::BackendFailed : request_end::Served, status, failed ? "handed on" : "");
}

void service_request::GiveUp(const std::string& aReason, instant aNow)
{
  if (mRuns == 0) {
    mAsked.mSession->Answer(OwnAnswer(503, kComeBack));
    End(request_end::Refused, 503, aReason);
    return;
  }
  const bool timedOut = aNow >= mAsked.mDeadline;
  mAsked.mSession->Answer(OwnAnswer(timedOut ? 504 : 502, std::nullopt));
  End(timedOut ? request_end::TimedOut : request_end::Unknown, timedOut ? 504 : 502, aReason);
}

void service_request::OnCallerGone()
{
  if (!mIsEnded) {
    Drop(false);
    End(request_end::CallerLeft, 0, "caller left");
  }
}

void service_request::End(request_end aEnd, unsigned aStatus, const std::string& aReason)
{
  const instant now = Now();
  mIsEnded = true;
  const bool served = aEnd == request_end::Served;
  mTools.mMetrics->Ended(aEnd, now - mAsked.mArrived);
  log_line(served ? log_event::CallServed : log_event::CallEnded)
    .Text("request", Id())
    .Text("route", mAsked.mRoute->mName.Str())
    .Text("workspace", mAsked.mWorkspace)
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("sends", mSends)
    .Count("configuration", mAsked.mConfiguration->mVersion)
    .Number("after_ms", std::chrono::duration<double, std::milli>(now - mAsked.mArrived).count());
  mAsked.mSession.reset();
}

} // namespace chervilpulley::gateway
