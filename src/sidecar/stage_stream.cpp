#include "sidecar/stage_stream.h"

#include "base/clock.h"
#include "base/log.h"

namespace chervilpulley::sidecar {

namespace {

constexpr part_log kLog("stage");
constexpr duration kOpenTimeout = std::chrono::seconds(1);
/// A live successor monitors its own engine and successors; this limit covers failures that none of them detects.
constexpr duration kMaxSuccessorWait = std::chrono::seconds(30);
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
  link::frame response = link::AttemptFrame(mRequest, aAttempt);
  *response.mutable_refused() = aRefusal;
  link::SendFrame(aUpstream.get(), mHost.LocalRevision(), std::move(response));
}

void stage_stream::Refuse(const link::refusal& aRefusal)
{
  RefuseTo(mUpstream, mProgress.Current(), aRefusal);
  mPhase = phase::Lost;
  ReleaseSlot();
}

std::optional<link::refusal> stage_stream::CheckOpen(const policy::attempt_key& aAttempt,
                                                     const link::open_attempt& aOpen) const
{
  const std::string self = "sidecar \"" + mHost.Instance().Str() + "\" ";
  if (aAttempt <= mProgress.Current()) {
    return Refusal(link::REFUSAL_FENCED, self + "has a newer attempt of this request");
  }
  if (!mHasSlot && mHost.IsLeaving()) {
    return Refusal(link::REFUSAL_LEAVING, self + "is leaving");
  }
  const auto state = mHost.Engine();
  if (!state) {
    return Refusal(link::REFUSAL_BACKEND_DOWN, "the engine of " + self + "can't be reached");
  }
  const bool isLoaded = state->mModel.Str() == aOpen.model() && state->mFirstLayer <= aOpen.first_layer() &&
                        aOpen.first_layer() <= state->mLastLayer && state->mLayerCount == aOpen.layer_count();
  if (!isLoaded) {
    return Refusal(link::REFUSAL_WRONG_MODEL,
                   self + "does not hold layer " + std::to_string(aOpen.first_layer()) + " of model \"" +
                     aOpen.model() + "\"");
  }
  if (mHasSlot) {
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
  mTriedSuccessors.clear();
  mWindowFullAt.reset();
  mDelivered = start;
  mTokens.assign(aOpen.delivered().begin(), aOpen.delivered().end());
  if (mHasSlot) {
    Proceed();
  } else if (!mTicket) {
    RequestSlot();
  }
}

void stage_stream::RequestSlot()
{
  const gate_response response = mHost.Enter(ref<stage_stream>(this), mOpen);
  if (const auto* waiting = std::get_if<gate_waiting>(&response)) {
    mTicket = waiting->mTicket;
    mPhase = phase::Waiting;
  } else if (const auto* error = std::get_if<policy::admission_error>(&response)) {
    link::refusal refusal =
      Refusal(link::REFUSAL_OVERLOADED, "sidecar \"" + mHost.Instance().Str() + "\" has no room for the request");
    refusal.clear_retry_after_ms();
    if (error->mRetryAfter) {
      refusal.set_retry_after_ms(
        static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(*error->mRetryAfter).count()));
    }
    Refuse(refusal);
  } else {
    mHasSlot = true;
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
  mHasSlot = true;
  mHost.Started(request_digest(mOpen.digest()));
  if (!wasWaiting) {
    ReleaseSlot();
    return;
  }
  Proceed();
}

void stage_stream::Proceed()
{
  mPhase = phase::Opening;
  if (IsLast()) {
    CancelSuccessor("another chain was chosen");
    OnOpened(0, {});
    return;
  }
  OpenNextSuccessor();
}

void stage_stream::OpenNextSuccessor()
{
  link::open_attempt next = mOpen;
  next.set_first_layer(mLastLayer + 1);
  ref<link::provider> chosen = mHost.ChooseSuccessor(next, mTriedSuccessors);
  if (chosen != mSuccessor) {
    CancelSuccessor("another chain was chosen");
  }
  if (!chosen) {
    Refuse(Refusal(link::REFUSAL_NO_ROUTE,
                   "no sidecar that takes work holds layer " + std::to_string(mLastLayer + 1) + " of model \"" +
                     mOpen.model() + "\""));
    return;
  }
  mTriedSuccessors.insert(chosen->Instance().Str());
  if (mSuccessor != chosen) {
    mSuccessor = chosen;
    mSuccessor->Began();
  }
  mSuccessorLink = mSuccessor->Link();
  mWaitingSince = Now();
  link::frame open = Frame();
  *open.mutable_open() = std::move(next);
  SendDownstream(std::move(open));
}

void stage_stream::CancelSuccessor(const std::string& aReason)
{
  if (!mSuccessor) {
    return;
  }
  link::frame cancel = Frame();
  cancel.mutable_cancel()->set_reason(aReason);
  SendDownstream(std::move(cancel));
  mSuccessor->Ended();
  mSuccessor = nullptr;
}

void stage_stream::OnOpened(std::uint32_t aDownstreamPrefill, const std::vector<std::string>& aChain)
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
  SendUpstream(std::move(opened));
  if (IsFirst()) {
    StartFirstStage(stages);
  }
}

void stage_stream::OnCancel(const policy::attempt_key& aAttempt)
{
  std::lock_guard lock(mMutex);
  if (aAttempt < mProgress.Current()) {
    return;
  }
  End();
  // Late frames of the cancelled attempt are fenced from here on.
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
    OpenNextSuccessor();
  } else if (aFrame.has_opened() && mPhase == phase::Opening) {
    OnOpened(aFrame.opened().prefill_stages(), { aFrame.opened().chain().begin(), aFrame.opened().chain().end() });
  } else if (aFrame.has_refused() && mPhase == phase::Running) {
    OnFenced(aFrame.refused());
  } else if (aFrame.has_token() && mPhase == phase::Running) {
    HandleToken(aFrame.token());
  } else if (aFrame.has_lost() && mPhase == phase::Running) {
    FailAttempt(aFrame.lost().instance(), aFrame.lost().crashed(), aFrame.lost().stalled(), aFrame.lost().message());
  }
}

void stage_stream::OnSuccessorLost(const ref<link::provider>& aSuccessor)
{
  std::lock_guard lock(mMutex);
  if (aSuccessor == mSuccessor) {
    HandleSuccessorLoss();
  }
}

void stage_stream::HandleSuccessorLoss()
{
  const std::string name = mSuccessor->Instance().Str();
  mSuccessor = nullptr;
  if (mPhase == phase::Opening) {
    OpenNextSuccessor();
  } else if (mPhase == phase::Running) {
    FailAttempt(name, false, false, "the link to sidecar \"" + name + "\" closed");
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

void stage_stream::FailAttempt(const std::string& aInstance, bool aCrashed, bool aStalled, const std::string& aMessage)
{
  kLog.Request(
    mRequest.Str(), "Attempt {} failed at {}: {}.", mProgress.Current().mNumber.Value(), aInstance, aMessage);
  mPhase = phase::Lost;
  mWork.clear();
  mWaitingSince = {};
  link::frame lost = link::AttemptLostFrame(Frame(), aInstance, aMessage);
  lost.mutable_lost()->set_crashed(aCrashed);
  lost.mutable_lost()->set_stalled(aStalled);
  SendUpstream(std::move(lost));
  if (mSuccessor && mSuccessor->Instance().Str() == aInstance) {
    CancelSuccessor("it is at fault");
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
    HandleSuccessorLoss();
    return;
  }
  if (mPhase == phase::Opening && mWaitingSince != instant{} && aNow - mWaitingSince > kOpenTimeout) {
    CancelSuccessor("it did not answer in time");
    OpenNextSuccessor();
    return;
  }
  if (mPhase != phase::Running) {
    return;
  }
  if (mIsRunning && aNow - mRunSince > mHost.StallAllowance(mRunPrefillStages > 0, mOpen.prompt_tokens())) {
    FailAttempt(mHost.Instance().Str(), false, true, "the engine has stalled");
    return;
  }
  if (mWaitingSince == instant{} || !mSuccessor || aNow - mWaitingSince < mHost.StallFloor() / 2) {
    return;
  }
  mHost.Probe(mSuccessor);
  const bool isSilent = mSuccessorLink && mSuccessorLink->TimeSinceLastReceive() > mHost.StallFloor();
  if (isSilent || aNow - mWaitingSince > kMaxSuccessorWait) {
    FailAttempt(
      mSuccessor->Instance().Str(), false, true, "sidecar \"" + mSuccessor->Instance().Str() + "\" is silent");
  }
}

/// Ends the attempt because the successor serves a newer one, which another stage opened there.
void stage_stream::OnFenced(const link::refusal& aRefusal)
{
  mWork.clear();
  mWaitingSince = {};
  CancelSuccessor("it serves a newer attempt");
  Refuse(aRefusal);
}

void stage_stream::End()
{
  if (mPhase == phase::Ended) {
    return;
  }
  CancelSuccessor("the request has ended");
  mPhase = phase::Ended;
  mEndedAt = Now();
  mWork.clear();
  mProgress.LoseState();
  mUpstream = nullptr;
  mHost.CancelAtEngine(mRequest);
  ReleaseSlot();
}

void stage_stream::ReleaseSlot()
{
  if (mTicket && mHost.CancelWaiting(*mTicket)) {
    mTicket.reset();
  }
  if (std::exchange(mHasSlot, false)) {
    mHost.Finished(request_digest(mOpen.digest()), mIsComplete);
    mHost.ReleaseSlot();
  }
}

void stage_stream::SendUpstream(link::frame aFrame)
{
  link::SendFrame(mUpstream.get(), mHost.LocalRevision(), std::move(aFrame));
}

void stage_stream::SendDownstream(link::frame aFrame)
{
  // Uses the link that the attempt was opened on, because frames sent over an earlier one may be lost.
  if (mSuccessor) {
    link::SendFrame(mSuccessorLink.get(), mHost.LocalRevision(), std::move(aFrame));
  }
}

link::stream_state stage_stream::State(const std::string& aWorkspace, token_position aNext) const
{
  std::lock_guard lock(mMutex);
  link::stream_state state;
  const bool isKept = mPhase != phase::Idle && (mPhase != phase::Ended || mIsComplete);
  const bool isKnown = isKept && IsFirst();
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
  return mHasSlot;
}

bool stage_stream::IsDiscardable(instant aNow) const
{
  std::lock_guard lock(mMutex);
  if (mPhase == phase::Idle) {
    return true;
  }
  return mPhase == phase::Ended && !mIsRunning && aNow - mEndedAt > mHost.StreamGrace();
}

} // namespace chervilpulley::sidecar
