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

service_request::service_request(request_environment& aEnvironment, admitted_request aRequest)
  : mEnvironment(aEnvironment)
  , mRequest(std::move(aRequest))
  , mTimer(aEnvironment.mContext)
{
}

void service_request::Start()
{
  mRequest.mSession->SetHandler(ref<request_handler>(this));
  mEnvironment.mFleet->Retries(mRequest.mPool).RequestSent(mRequest.mArrived);
  TryServer(mRequest.mArrived);
}

void service_request::TryServer(instant aNow)
{
  if (aNow >= mRequest.mDeadline) {
    GiveUp("deadline", aNow);
    return;
  }
  auto server = mEnvironment.mFleet->ChooseService(mRequest.mPool, mExcluded, mEnvironment.mRandom(), aNow);
  if (!server && IsIdempotent() && !mExcluded.empty()) {
    // Where all were tried, one that failed may still be tried again.
    server = mEnvironment.mFleet->ChooseService(mRequest.mPool, {}, mEnvironment.mRandom(), aNow);
  }
  const auto address = server ? mEnvironment.mFleet->AddressOf(*server) : std::nullopt;
  if (!address) {
    GiveUp("no_server", aNow);
    return;
  }
  Send(*server, *address, aNow);
}

void service_request::Send(const backend_id& aServer, const net::endpoint& aAddress, instant aNow)
{
  mServer = aServer;
  mEnvironment.mFleet->Started(aServer);
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
  mCall = mEnvironment.mCalls->Start(options, Outgoing(mRequest, std::move(dispatch), aNow), *this);
  instant until = mRequest.mDeadline;
  if (IsIdempotent() && mRuns + 1 < mRequest.mRoute->mMaxAttempts) {
    const auto wait = std::chrono::duration_cast<duration>(mRequest.mRoute->mObjective * kTryShareOfObjective);
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
    mEnvironment.mFleet->Ended(*mServer);
    mEnvironment.mFleet->Outcome(*mServer, aFailed);
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
    mEnvironment.mFleet->BelieveUnreachable(*mServer, Id(), aReason, now);
    Drop(true);
    if (mSends < kMostSends) {
      TryServer(now);
    } else {
      GiveUp("servers unreachable", now);
    }
    return;
  }
  if (aEnd == call_end::Cut) {
    const auto* member = mEnvironment.mFleet->Members().Find(*mServer);
    if (!mHasHead && member != nullptr) {
      mEnvironment.mCrashes->RunCut(mRequest.mDigest, *member, now);
    }
    TakeFailure(aReason, now);
    return;
  }
  if (mNote.mDidNotRun) {
    log_line(log_event::ServerRefused).Text("request", Id()).Text("backend", mServer->Str()).Count("status", mStatus);
    mEnvironment.mFleet->BelieveRefusing(*mServer, now);
    Drop(false);
    if (mSends < kMostSends &&
        mEnvironment.mFleet->Retries(mRequest.mPool).TryRepeat(now, mEnvironment.mFleet->Gateways())) {
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
  return !mEnvironment.mCrashes->IsCondemned(mRequest.mDigest) && IsIdempotent() &&
         mRuns < mRequest.mRoute->mMaxAttempts && mSends < kMostSends && aNow < mRequest.mDeadline &&
         mEnvironment.mFleet->Retries(mRequest.mPool).TryRepeat(aNow, mEnvironment.mFleet->Gateways());
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
    mEnvironment.mMetrics->Repaired(repair_kind::Repeated);
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
  if (now >= mRequest.mDeadline) {
    ++mRuns;
    Drop(true);
    GiveUp("deadline", now);
    return;
  }
  if (mSends >= kMostSends ||
      !mEnvironment.mFleet->Retries(mRequest.mPool).TryRepeat(now, mEnvironment.mFleet->Gateways())) {
    // It stays where it is until the deadline.
    mTimer.expires_at(mRequest.mDeadline);
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
  mEnvironment.mMetrics->Repaired(repair_kind::Repeated);
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
    mEnvironment.mCrashes->Served(mRequest.mDigest);
  }
  Drop(failed);
  mRequest.mSession->Respond(std::move(reply));
  End(failed ? request_end::BackendFailed : request_end::Served, status, failed ? "handed on" : "");
}

void service_request::GiveUp(const std::string& aReason, instant aNow)
{
  if (mRuns == 0) {
    mRequest.mSession->Respond(OwnResponse(503, kComeBack));
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
    Drop(false);
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
    .Number("after_ms", std::chrono::duration<double, std::milli>(now - mRequest.mArrived).count());
  mRequest.mSession.reset();
}

} // namespace chervilpulley::gateway
