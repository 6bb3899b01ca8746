#include "entry/completion_run.h"

#include <algorithm>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "chervilpulley/config.h"

namespace chervilpulley::entry {

namespace {

constexpr part_log kLog("entry");
/// Interval at which a silent attempt is checked for a stall.
constexpr duration kIdleCheckInterval = std::chrono::milliseconds(100);
/// Pause before another sidecar is searched for after none was found.
constexpr duration kRouteRetryInterval = std::chrono::milliseconds(100);
/// Longest time that a request which has begun waits for a sidecar.
constexpr duration kMaxRouteWait = std::chrono::seconds(10);
constexpr duration kRetryAfter = std::chrono::seconds(1);
/// Retry-after time of a request that another entry is running as a suspect.
constexpr duration kRetryAfterPeerTrial = std::chrono::seconds(2);
/// Maximum number of attempts of one request.
constexpr std::uint32_t kMaxOpens = 1000;

} // namespace

completion_run::completion_run(const completion_context& aContext, ref<request_mailbox> aMailbox, completion_job aJob)
  : mRouter(aContext.mRouter)
  , mGuard(aContext.mGuard)
  , mMetrics(aContext.mMetrics)
  , mMailbox(std::move(aMailbox))
  , mJob(std::move(aJob))
{
  mAttempt = { attempt_number(mJob.mLastAttempt), RandomNumber() };
  mChain = mJob.mHolders;
}

boost::asio::awaitable<completion_result> completion_run::Run(token_sink& aSink)
{
  instant waitingSince = Now();
  mEnd.mIsComplete = !mJob.mFinishReason.empty();
  mGuard.RequestArrived(waitingSince);
  bool keepsRunning = !mEnd.mIsComplete && CheckGuard();
  while (keepsRunning) {
    if (StartAttempt()) {
      keepsRunning = co_await RunAttempt(aSink) != step::Ended;
      waitingSince = mIsOpened ? Now() : waitingSince;
    } else if (MayWait(waitingSince)) {
      co_await WaitForRoute();
      keepsRunning = !mEnd.mError.has_value();
    } else {
      FailWithoutRoute();
      keepsRunning = false;
    }
  }
  if (!mIsLeftToResume) {
    Cancel(mEnd.mIsComplete ? "finished" : "given up");
  }
  CancelFormerHeads();
  co_return mEnd;
}

/// Refuses a request with a beginning under which several engines crashed.
bool completion_run::CheckBlock()
{
  const auto blockedFor = mGuard.BlockedFor(mJob.mTraits, Now());
  if (!blockedFor) {
    return true;
  }
  mMetrics.Refusal(metrics::refusal_cause::Suspect);
  Fail({ 503,
         "server_error",
         "requests that begin like this one have crashed several engines",
         link::OUTCOME_NOT_RUN,
         *blockedFor });
  return false;
}

bool completion_run::CheckGuard()
{
  switch (mGuard.Check(mJob.mDigest, Now())) {
    case guard_verdict::Run:
      return CheckBlock();
    case guard_verdict::RunAsSuspect:
      mIsSuspect = true;
      return CheckBlock();
    case guard_verdict::PeerTrial:
      mMetrics.Refusal(metrics::refusal_cause::Suspect);
      Fail({ 503,
             "server_error",
             "an engine ended while it ran this request; another entry is finding out why",
             link::OUTCOME_NOT_RUN,
             kRetryAfterPeerTrial });
      return false;
    case guard_verdict::Refused:
      mMetrics.Refusal(metrics::refusal_cause::Suspect);
      Fail({ 422,
             "invalid_request_error",
             "the request ended two engines and is not run again",
             link::OUTCOME_NOT_RUN,
             std::nullopt });
      return false;
  }
  return false;
}

bool completion_run::MayWait(instant aWaitingSince) const
{
  const bool hasBegun = mMayHaveRun || !mJob.mTokens.empty();
  return hasBegun && mOpenCount < kMaxOpens && Now() - aWaitingSince < kMaxRouteWait;
}

void completion_run::FailWithoutRoute()
{
  mMetrics.Refusal(metrics::refusal_cause::NoRoute);
  if (mLastRefusal) {
    Fail(FromRefusal(*mLastRefusal));
    return;
  }
  Fail({ 503,
         "server_error",
         "no chain of backend servers takes model \"" + mJob.mModel + "\" now",
         link::OUTCOME_NOT_RUN,
         kRetryAfter });
}

boost::asio::awaitable<void> completion_run::WaitForRoute()
{
  // No other sidecar is left. Those that failed or refused are tried again: they may have recovered after the pause.
  mRefused.clear();
  mAvoid.clear();
  const auto event = co_await mMailbox->Pop(Now() + kRouteRetryInterval);
  if (event && event->mKind == request_event::kind::CallerDisconnected) {
    mEnd.mCallerDisconnected = true;
  } else if (event && event->mKind == request_event::kind::Stopping) {
    OnStopping();
  }
}

link::open_attempt completion_run::OpenBody() const
{
  link::open_attempt open;
  open.set_workspace(mJob.mWorkspace.Str());
  open.set_model(mJob.mModel);
  open.set_layer_count(mJob.mLayerCount);
  open.set_prompt(mJob.mPrompt);
  open.set_prompt_tokens(mJob.mPromptTokens);
  open.mutable_delivered()->Assign(mJob.mTokens.begin(), mJob.mTokens.end());
  open.set_max_tokens(mJob.mMaxTokens);
  open.set_priority(mJob.mPriority);
  open.set_digest(mJob.mDigest.Value());
  open.set_suspect(mIsSuspect);
  open.set_deadline_ms(
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(mJob.mDeadline - Now()).count()));
  open.mutable_avoid()->Assign(mAvoid.begin(), mAvoid.end());
  open.mutable_prefer()->Assign(mChain.begin(), mChain.end());
  return open;
}

bool completion_run::StartAttempt()
{
  provider_query query{ mJob.mPool,      mJob.mModel, mJob.mPromptTokens,
                        mJob.mMaxTokens, mAvoid,      { mChain.begin(), mChain.end() } };
  query.mExcluded.insert(mRefused.begin(), mRefused.end());
  if (mOpenCount >= kMaxOpens) {
    return false;
  }
  ref<link::provider> chosen = mRouter.Choose(query);
  if (!chosen) {
    return false;
  }
  if (mHead && mHead != chosen) {
    mFormerHeads.push_back(mHead);
  }
  mHead = std::move(chosen);
  mHeadLink = mHead->Link();
  ++mOpenCount;
  mAttempt.mNumber = mAttempt.mNumber.Next();
  mIsOpened = false;
  mLastProgress = Now();
  link::frame open = Frame();
  *open.mutable_open() = OpenBody();
  mHead->Began();
  SendToHead(std::move(open));
  return true;
}

boost::asio::awaitable<completion_run::step> completion_run::RunAttempt(token_sink& aSink)
{
  step next = step::Continue;
  while (next == step::Continue) {
    const auto event = co_await mMailbox->Pop(std::min(Now() + kIdleCheckInterval, mJob.mDeadline));
    if (mEnd.mCallerDisconnected || (event && event->mKind == request_event::kind::CallerDisconnected)) {
      mEnd.mCallerDisconnected = true;
      next = step::Ended;
    } else if (event && event->mKind == request_event::kind::Stopping) {
      next = OnStopping();
    } else if (Now() >= mJob.mDeadline) {
      next = Fail({ 504, "timeout_error", "the request's deadline has passed", link::OUTCOME_FAILED, std::nullopt });
    } else if (!event) {
      next = OnIdle();
    } else if (event->mProvider != mHead) {
      next = step::Continue;
    } else if (event->mKind == request_event::kind::ProviderLost) {
      next = OnHeadLost(false);
    } else if (link::AttemptOf(event->mFrame) == mAttempt) {
      next = co_await OnFrame(event->mFrame, aSink);
    }
  }
  mHead->Ended();
  co_return next;
}

boost::asio::awaitable<completion_run::step> completion_run::OnFrame(const link::frame& aFrame, token_sink& aSink)
{
  mLastProgress = Now();
  if (aFrame.has_refused()) {
    co_return OnRefused(aFrame.refused());
  }
  if (aFrame.has_opened()) {
    mIsOpened = true;
    mMayHaveRun = true;
    mRefused.clear();
    mChain.assign(aFrame.opened().chain().begin(), aFrame.opened().chain().end());
    CancelFormerHeads();
    co_return step::Continue;
  }
  if (aFrame.has_lost()) {
    co_return OnLost(aFrame.lost());
  }
  if (aFrame.has_token()) {
    co_return co_await OnToken(aFrame.token(), aSink);
  }
  co_return step::Continue;
}

boost::asio::awaitable<completion_run::step> completion_run::OnToken(const link::token& aToken, token_sink& aSink)
{
  if (aToken.position() < mJob.mTokens.size()) {
    co_return step::Continue;
  }
  if (aToken.position() > mJob.mTokens.size()) {
    kLog.Request(mJob.mRequest.Str(),
                 "Received token position {}, expected {}; starting another attempt.",
                 aToken.position(),
                 mJob.mTokens.size());
    co_return step::NextAttempt;
  }
  const instant now = Now();
  if (mJob.mTokens.empty()) {
    mMetrics.FirstToken(now - mJob.mArrived);
  } else if (mLastToken != instant{}) {
    mMetrics.TokenGap(now - mLastToken);
    mRouter.ObserveTokenGap(now - mLastToken);
  }
  mLastToken = now;
  if (std::exchange(mIsSuspect, false)) {
    // The request passed the position at which the engine crashed, so it does not crash every engine that runs it.
    mGuard.Cleared(mJob.mDigest, now);
  }
  if (mJob.mTokens.empty()) {
    mGuard.Produced(mJob.mTraits, now);
  }
  mJob.mTokens.push_back(aToken.text());
  const output_token token{
    token_position(aToken.position()), aToken.text(), aToken.finish_reason(), mHead->Instance()
  };
  if (!co_await aSink.Deliver(token)) {
    mEnd.mCallerDisconnected = true;
    co_return step::Ended;
  }
  mLastProgress = Now();
  link::frame delivered = Frame();
  delivered.mutable_delivered()->set_next_position(mJob.mTokens.size());
  SendToHead(std::move(delivered));
  if (!aToken.last()) {
    co_return step::Continue;
  }
  mEnd.mIsComplete = true;
  co_return step::Ended;
}

completion_run::step completion_run::OnRefused(const link::refusal& aRefusal)
{
  kLog.Request(mJob.mRequest.Str(), "Sidecar {} refused the attempt: {}.", mHead->Instance().Str(), aRefusal.message());
  mLastRefusal = aRefusal;
  mRefused.insert(mHead->Instance().Str());
  if (aRefusal.reason() == link::REFUSAL_FENCED) {
    // Only another entry can have opened a newer attempt; it serves the caller now.
    return Fail({ 409,
                  "invalid_request_error",
                  "the stream was taken up through another entry",
                  link::OUTCOME_FAILED,
                  std::nullopt });
  }
  if (aRefusal.outcome() == link::OUTCOME_FAILED) {
    return Fail(FromRefusal(aRefusal));
  }
  const bool isOverloaded = aRefusal.reason() == link::REFUSAL_OVERLOADED;
  if (isOverloaded && !mGuard.TryRetry(Now())) {
    mMetrics.Refusal(metrics::refusal_cause::Overloaded);
    return Fail(FromRefusal(aRefusal));
  }
  mMetrics.Retry(metrics::retry_cause::Refused);
  return step::NextAttempt;
}

completion_run::step completion_run::OnStopping()
{
  mIsLeftToResume = mJob.mIsResumable && !mJob.mTokens.empty();
  api_error error = StoppingError();
  if (mIsLeftToResume) {
    error.mMessage += "; another one resumes the stream after its Last-Event-ID";
  }
  return Fail(std::move(error));
}

completion_run::step completion_run::OnLost(const link::attempt_lost& aLost)
{
  mAvoid.insert(aLost.instance());
  std::erase(mChain, aLost.instance());
  if (aLost.crashed()) {
    return OnCrashed(aLost.instance());
  }
  return Retry(aLost.stalled() ? metrics::retry_cause::Stalled : metrics::retry_cause::StageLost);
}

completion_run::step completion_run::OnCrashed(const std::string& aEngine)
{
  mIsSuspect = true;
  const bool mayBeItsBeginning = mJob.mTokens.empty() && mGuard.EngineCrashed(mJob.mTraits, aEngine, Now());
  if (mGuard.Crashed(mJob.mDigest, Now()) == guard_verdict::Refused) {
    return Fail({ 422,
                  "invalid_request_error",
                  "the request ended two engines and is not run again",
                  link::OUTCOME_FAILED,
                  std::nullopt });
  }
  if (mayBeItsBeginning) {
    return Fail({ 502,
                  "server_error",
                  "an engine crashed while it ran this request, and others under requests that begin like it",
                  link::OUTCOME_FAILED,
                  std::nullopt });
  }
  return Retry(metrics::retry_cause::EngineCrashed);
}

completion_run::step completion_run::OnHeadLost(bool aStalled)
{
  kLog.Request(
    mJob.mRequest.Str(), "Sidecar {} {}.", mHead->Instance().Str(), aStalled ? "does not respond" : "has disconnected");
  mMayHaveRun = true;
  mAvoid.insert(mHead->Instance().Str());
  std::erase(mChain, mHead->Instance().Str());
  return Retry(aStalled ? metrics::retry_cause::Stalled : metrics::retry_cause::StageLost);
}

completion_run::step completion_run::Retry(metrics::retry_cause aCause)
{
  mMetrics.Retry(aCause);
  if (!mJob.mTokens.empty()) {
    mGuard.Recovered(Now());
    return step::NextAttempt;
  }
  if (mGuard.TryRetry(Now())) {
    return step::NextAttempt;
  }
  return Fail({ 503,
                "server_error",
                "a backend server was lost, and too many requests are being sent again now",
                link::OUTCOME_FAILED,
                kRetryAfter });
}

completion_run::step completion_run::OnIdle()
{
  if (mHead->Link() != mHeadLink) {
    return OnHeadLost(false);
  }
  const duration idle = Now() - mLastProgress;
  if (idle < mJob.mStallFloor / 2) {
    return step::Continue;
  }
  mRouter.Links().Probe(mHead);
  const bool isSilent = !mHeadLink || mHeadLink->TimeSinceLastReceive() > mJob.mStallFloor;
  return isSilent ? OnHeadLost(true) : step::Continue;
}

completion_run::step completion_run::Fail(api_error aError)
{
  if (mMayHaveRun && aError.mOutcome == link::OUTCOME_NOT_RUN) {
    aError.mOutcome = link::OUTCOME_FAILED;
  }
  mEnd.mError = std::move(aError);
  return step::Ended;
}

void completion_run::Cancel(const std::string& aReason)
{
  link::frame cancel = Frame();
  cancel.mutable_cancel()->set_reason(aReason);
  SendToHead(std::move(cancel));
}

void completion_run::CancelFormerHeads()
{
  // Called once the new attempt is open: an earlier cancel would end stages that the new attempt reuses.
  for (const auto& former : mFormerHeads) {
    const bool isInChain = std::count(mChain.begin(), mChain.end(), former->Instance().Str()) > 0;
    if (former != mHead && !isInChain) {
      link::frame cancel = Frame();
      cancel.mutable_cancel()->set_reason("another chain was chosen");
      mRouter.Links().Send(former, std::move(cancel));
    }
  }
  mFormerHeads.clear();
}

void completion_run::SendToHead(link::frame aFrame)
{
  // Uses the link over which the attempt was opened: if it was replaced, frames sent over the old one may be lost.
  if (mHead) {
    mRouter.Links().SendOver(mHeadLink, std::move(aFrame));
  }
}

link::frame completion_run::Frame() const
{
  return link::AttemptFrame(mJob.mRequest, mAttempt);
}

} // namespace chervilpulley::entry
