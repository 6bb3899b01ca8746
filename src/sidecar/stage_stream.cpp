#include "sidecar/stage_stream.h"

#include "base/clock.h"
#include "base/log.h"

namespace chervilpulley::sidecar {

namespace {

constexpr part_log kLog("stage");
constexpr duration kOpenTimeout = std::chrono::seconds(1);
/// A successor that is alive watches its own engine and successors; this is for what none of them notices.
constexpr duration kLongestWait = std::chrono::seconds(30);
constexpr std::uint64_t kRetryAfterMs = 500;

} // namespace

stage_stream::stage_stream(stage_host& aHost, request_id aRequest)
  : mHost(aHost)
  , mRequest(std::move(aRequest))
{
}

link::refusal stage_stream::Refusal(link::refusal_reason aReason, const std::string& aMessage) const
{
  link::refusal refusal;
  refusal.set_reason(aReason);
  refusal.set_outcome(link::OUTCOME_NOT_RUN);
  refusal.set_message(aMessage);
  refusal.set_retry_after_ms(kRetryAfterMs);
  refusal.set_instance(mHost.Instance().Str());
  return refusal;
}

void stage_stream::RefuseTo(const ref<link::connection>& aUpstream,
                            const policy::attempt_key& aAttempt,
                            const link::refusal& aRefusal)
{
  link::frame answer = link::AttemptFrame(mRequest, aAttempt);
  *answer.mutable_refused() = aRefusal;
  link::SendFrame(aUpstream.get(), mHost.Board(), std::move(answer));
}

void stage_stream::Refuse(const link::refusal& aRefusal)
{
  RefuseTo(mUpstream, mProgress.Current(), aRefusal);
  mPhase = phase::Lost;
  GiveBackPlace();
}

std::optional<link::refusal> stage_stream::CheckOpen(const policy::attempt_key& aAttempt,
                                                     const link::open_attempt& aOpen) const
{
  const std::string self = "sidecar \"" + mHost.Instance().Str() + "\" ";
  if (aAttempt <= mProgress.Current()) {
    return Refusal(link::REFUSAL_FENCED, self + "has a newer attempt of this request");
  }
  if (!mHasPlace && mHost.IsLeaving()) {
    return Refusal(link::REFUSAL_LEAVING, self + "is leaving");
  }
  const auto state = mHost.Engine();
  if (!state) {
    return Refusal(link::REFUSAL_BACKEND_DOWN, "the engine of " + self + "can't be reached");
  }
  const bool isHeld = state->mModel.Str() == aOpen.model() && state->mFirstLayer <= aOpen.first_layer() &&
                      aOpen.first_layer() <= state->mLastLayer && state->mLayerCount == aOpen.layer_count();
  if (!isHeld) {
    return Refusal(link::REFUSAL_WRONG_MODEL,
                   self + "does not hold layer " + std::to_string(aOpen.first_layer()) + " of model \"" +
                     aOpen.model() + "\"");
  }
  if (mHasPlace) {
    return std::nullopt;
  }
  switch (mHost.CheckSuspect(aOpen)) {
    case policy::start_verdict::Deferred:
      return Refusal(link::REFUSAL_SUSPECT, self + "runs another request that may end its engine");
    case policy::start_verdict::Refused: {
      link::refusal refusal = Refusal(link::REFUSAL_SUSPECT, "the request ended engines and is not run again");
      refusal.set_outcome(link::OUTCOME_FAILED);
      refusal.clear_retry_after_ms();
      return refusal;
    }
    case policy::start_verdict::Start:
      return std::nullopt;
  }
  return std::nullopt;
}

void stage_stream::OnOpen(ref<link::connection> aUpstream,
                          policy::attempt_key aAttempt,
                          const link::open_attempt& aOpen)
{
  std::lock_guard lock(mMutex);
  if (const auto refusal = CheckOpen(aAttempt, aOpen)) {
    RefuseTo(aUpstream, aAttempt, *refusal);
    return;
  }
  if (mUpstream && mUpstream != aUpstream) {
    RefuseTo(mUpstream, mProgress.Current(), Refusal(link::REFUSAL_FENCED, "the stream was taken up elsewhere"));
  }
  const token_position start(static_cast<std::uint64_t>(aOpen.delivered_size()));
  mProgress.Open(aAttempt, start);
  mLastLayer = mHost.Engine()->mLastLayer;
  mOpen = aOpen;
  mUpstream = std::move(aUpstream);
  mUpstreamLostAt = {};
  mWork.clear();
  mTried.clear();
  mBlockedAt.reset();
  mDelivered = start;
  mTokens.assign(aOpen.delivered().begin(), aOpen.delivered().end());
  if (mHasPlace) {
    Proceed();
  } else if (!mTicket) {
    AskForPlace();
  }
}

void stage_stream::AskForPlace()
{
  const gate_answer answer = mHost.Enter(ref<stage_stream>(this), mOpen);
  if (const auto* waiting = std::get_if<gate_waiting>(&answer)) {
    mTicket = waiting->mTicket;
    mPhase = phase::Waiting;
  } else if (const auto* error = std::get_if<policy::admission_error>(&answer)) {
    link::refusal refusal =
      Refusal(link::REFUSAL_OVERLOADED, "sidecar \"" + mHost.Instance().Str() + "\" has no room for the request");
    refusal.clear_retry_after_ms();
    if (error->mRetryAfter) {
      refusal.set_retry_after_ms(
        static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(*error->mRetryAfter).count()));
    }
    Refuse(refusal);
  } else {
    mHasPlace = true;
    mHost.Started(request_digest(mOpen.digest()));
    Proceed();
  }
}

void stage_stream::OnAdmitted(bool aIsExpired)
{
  std::lock_guard lock(mMutex);
  const bool wasWaiting = mTicket.has_value() && mPhase == phase::Waiting;
  mTicket.reset();
  if (aIsExpired && wasWaiting) {
    Refuse(Refusal(link::REFUSAL_OVERLOADED, "the request waited until its deadline"));
    return;
  }
  if (aIsExpired) {
    return;
  }
  mHasPlace = true;
  mHost.Started(request_digest(mOpen.digest()));
  if (!wasWaiting) {
    GiveBackPlace();
    return;
  }
  Proceed();
}

void stage_stream::Proceed()
{
  mPhase = phase::Opening;
  if (IsLast()) {
    LeaveSuccessor("another chain was chosen");
    Opened(0, {});
    return;
  }
  TrySuccessor();
}

void stage_stream::TrySuccessor()
{
  link::open_attempt next = mOpen;
  next.set_first_layer(mLastLayer + 1);
  ref<link::provider> chosen = mHost.ChooseSuccessor(next, mTried);
  if (chosen != mSuccessor) {
    LeaveSuccessor("another chain was chosen");
  }
  if (!chosen) {
    Refuse(Refusal(link::REFUSAL_NO_ROUTE,
                   "no sidecar that takes work holds layer " + std::to_string(mLastLayer + 1) + " of model \"" +
                     mOpen.model() + "\""));
    return;
  }
  mTried.insert(chosen->Instance().Str());
  if (mSuccessor != chosen) {
    mSuccessor = chosen;
    mSuccessor->Began();
  }
  mSuccessorLink = mSuccessor->Link();
  mWaitingSince = Now();
  link::frame open = Frame();
  *open.mutable_open() = std::move(next);
  SendDown(std::move(open));
}

void stage_stream::LeaveSuccessor(const std::string& aReason)
{
  if (!mSuccessor) {
    return;
  }
  link::frame cancel = Frame();
  cancel.mutable_cancel()->set_reason(aReason);
  SendDown(std::move(cancel));
  mSuccessor->Ended();
  mSuccessor = nullptr;
}

void stage_stream::Opened(std::uint32_t aDownstreamPrefill, const std::vector<std::string>& aChain)
{
  const token_position start(static_cast<std::uint64_t>(mOpen.delivered_size()));
  const std::uint32_t own = mProgress.NeedsPrefill(start) ? 1 : 0;
  const std::uint32_t stages = aDownstreamPrefill > 0 ? aDownstreamPrefill + 1 : own;
  mPhase = phase::Running;
  mWaitingSince = {};
  mChain = { mHost.Instance().Str() };
  mChain.insert(mChain.end(), aChain.begin(), aChain.end());
  link::frame opened = Frame();
  opened.mutable_opened()->set_prefill_stages(stages);
  for (const auto& instance : mChain) {
    opened.mutable_opened()->add_chain(instance);
  }
  SendUp(std::move(opened));
  if (IsHead()) {
    StartHead(stages);
  }
}

void stage_stream::OnCancel(const policy::attempt_key& aAttempt)
{
  std::lock_guard lock(mMutex);
  if (aAttempt < mProgress.Current()) {
    return;
  }
  End();
  // Whatever is late of the cancelled attempt is fenced from now on.
  mProgress.Open(aAttempt, token_position());
}

void stage_stream::OnSuccessorFrame(const ref<link::provider>& aSuccessor, const link::frame& aFrame)
{
  std::lock_guard lock(mMutex);
  if (aSuccessor != mSuccessor || !mProgress.IsCurrent(link::AttemptOf(aFrame))) {
    return;
  }
  if (aFrame.has_refused() && mPhase == phase::Opening) {
    mSuccessor->Ended();
    mSuccessor = nullptr;
    TrySuccessor();
  } else if (aFrame.has_opened() && mPhase == phase::Opening) {
    Opened(aFrame.opened().prefill_stages(), { aFrame.opened().chain().begin(), aFrame.opened().chain().end() });
  } else if (aFrame.has_refused() && mPhase == phase::Running) {
    Fenced(aFrame.refused());
  } else if (aFrame.has_token() && mPhase == phase::Running) {
    TakeToken(aFrame.token());
  } else if (aFrame.has_lost() && mPhase == phase::Running) {
    Lose(aFrame.lost().instance(), aFrame.lost().crashed(), aFrame.lost().stalled(), aFrame.lost().message());
  }
}

void stage_stream::OnSuccessorLost(const ref<link::provider>& aSuccessor)
{
  std::lock_guard lock(mMutex);
  if (aSuccessor == mSuccessor) {
    LoseSuccessor();
  }
}

void stage_stream::LoseSuccessor()
{
  const std::string name = mSuccessor->Instance().Str();
  mSuccessor = nullptr;
  if (mPhase == phase::Opening) {
    TrySuccessor();
  } else if (mPhase == phase::Running) {
    Lose(name, false, false, "the link to sidecar \"" + name + "\" closed");
  }
}

void stage_stream::OnUpstreamLost(const link::connection& aUpstream)
{
  std::lock_guard lock(mMutex);
  if (mUpstream.get() == &aUpstream) {
    mUpstream = nullptr;
    mUpstreamLostAt = Now();
  }
}

void stage_stream::Lose(const std::string& aInstance, bool aCrashed, bool aStalled, const std::string& aMessage)
{
  kLog.Request(
    mRequest.Str(), "Attempt {} is lost at {}: {}.", mProgress.Current().mNumber.Value(), aInstance, aMessage);
  mPhase = phase::Lost;
  mWork.clear();
  mWaitingSince = {};
  link::frame lost = link::AttemptLostFrame(Frame(), aInstance, aMessage);
  lost.mutable_lost()->set_crashed(aCrashed);
  lost.mutable_lost()->set_stalled(aStalled);
  SendUp(std::move(lost));
  if (mSuccessor && mSuccessor->Instance().Str() == aInstance) {
    LeaveSuccessor("it is at fault");
  }
}

void stage_stream::OnTick(instant aNow)
{
  std::lock_guard lock(mMutex);
  const bool isOrphan = !mUpstream && mUpstreamLostAt != instant{} && aNow - mUpstreamLostAt > mHost.StreamGrace();
  if (isOrphan && mPhase != phase::Ended) {
    End();
    return;
  }
  if (mSuccessor && mSuccessor->Link() != mSuccessorLink) {
    LoseSuccessor();
    return;
  }
  if (mPhase == phase::Opening && mWaitingSince != instant{} && aNow - mWaitingSince > kOpenTimeout) {
    LeaveSuccessor("it did not answer in time");
    TrySuccessor();
    return;
  }
  if (mPhase != phase::Running) {
    return;
  }
  if (mIsRunning && aNow - mRunSince > mHost.StallAllowance(mRunPrefillStages > 0, mOpen.prompt_tokens())) {
    Lose(mHost.Instance().Str(), false, true, "the engine has stalled");
    return;
  }
  if (mWaitingSince == instant{} || !mSuccessor || aNow - mWaitingSince < mHost.StallFloor() / 2) {
    return;
  }
  mHost.Probe(mSuccessor);
  const bool isSilent = mSuccessorLink && mSuccessorLink->TimeSinceLastReceive() > mHost.StallFloor();
  if (isSilent || aNow - mWaitingSince > kLongestWait) {
    Lose(mSuccessor->Instance().Str(), false, true, "sidecar \"" + mSuccessor->Instance().Str() + "\" is silent");
  }
}

/// The successor serves a newer attempt, which another stage has opened there.
void stage_stream::Fenced(const link::refusal& aRefusal)
{
  mWork.clear();
  mWaitingSince = {};
  LeaveSuccessor("it serves a newer attempt");
  Refuse(aRefusal);
}

void stage_stream::End()
{
  if (mPhase == phase::Ended) {
    return;
  }
  LeaveSuccessor("the request has ended");
  mPhase = phase::Ended;
  mEndedAt = Now();
  mWork.clear();
  mProgress.LoseState();
  mUpstream = nullptr;
  mHost.CancelAtEngine(mRequest);
  GiveBackPlace();
}

void stage_stream::GiveBackPlace()
{
  if (mTicket && mHost.CancelWaiting(*mTicket)) {
    mTicket.reset();
  }
  if (std::exchange(mHasPlace, false)) {
    mHost.Finished(request_digest(mOpen.digest()), mIsComplete);
    mHost.GiveBackPlace();
  }
}

void stage_stream::SendUp(link::frame aFrame)
{
  link::SendFrame(mUpstream.get(), mHost.Board(), std::move(aFrame));
}

void stage_stream::SendDown(link::frame aFrame)
{
  // Over the link that the attempt was opened on: what went over an earlier one may be lost.
  if (mSuccessor) {
    link::SendFrame(mSuccessorLink.get(), mHost.Board(), std::move(aFrame));
  }
}

link::stream_state stage_stream::State(const std::string& aWorkspace, token_position aNext) const
{
  std::lock_guard lock(mMutex);
  link::stream_state state;
  const bool isKept = mPhase != phase::Idle && (mPhase != phase::Ended || mIsComplete);
  const bool isKnown = isKept && IsHead();
  if (!isKnown || mOpen.workspace() != aWorkspace || aNext.Value() > mTokens.size()) {
    return state;
  }
  state.set_found(true);
  state.set_attempt(static_cast<std::uint32_t>(mProgress.Current().mNumber.Value()));
  *state.mutable_open() = mOpen;
  state.mutable_open()->mutable_delivered()->Assign(mTokens.begin(), mTokens.end());
  state.set_finish_reason(mFinishReason);
  state.mutable_chain()->Assign(mChain.begin(), mChain.end());
  return state;
}

bool stage_stream::IsActive() const
{
  std::lock_guard lock(mMutex);
  return mHasPlace;
}

bool stage_stream::IsForgotten(instant aNow) const
{
  std::lock_guard lock(mMutex);
  if (mPhase == phase::Idle) {
    return true;
  }
  return mPhase == phase::Ended && !mIsRunning && aNow - mEndedAt > mHost.StreamGrace();
}

} // namespace chervilpulley::sidecar
