#include "base/clock.h"
#include "base/random.h"
#include "chervilpulley/config.h"
#include "sidecar/stage_stream.h"

/// The work of a stream: passes inputs to the engine in order, and outputs to the next stage or back to the caller.
namespace chervilpulley::sidecar {

void stage_stream::StartFirstStage(std::uint32_t aPrefillStages)
{
  const token_position start(mTokens.size());
  if (aPrefillStages > 0) {
    mWork.push_back({ true, start, "", aPrefillStages });
  }
  QueueFirstStageStep(start);
  RunQueuedWork();
}

void stage_stream::QueueFirstStageStep(token_position aPosition)
{
  if (aPosition.Value() >= mDelivered.Value() + kDeliveryWindow) {
    mWindowFullAt = aPosition;
    return;
  }
  const std::string input = aPosition.Value() == 0 ? "" : mTokens[aPosition.Value() - 1];
  mWork.push_back({ false, aPosition, input, 0 });
}

void stage_stream::OnActivation(const ref<link::connection>& aFrom,
                                const policy::attempt_key& aAttempt,
                                const link::activation& aActivation)
{
  std::lock_guard lock(mMutex);
  const bool isEnded = mPhase == phase::Ended || aAttempt > mProgress.Current();
  if (isEnded && aAttempt >= mProgress.Current()) {
    // Without this frame the preceding stage would wait for a response that never comes.
    link::frame lost = AttemptLostFrame(
      link::AttemptFrame(mRequest, aAttempt), mHost.Instance().Str(), "the request has ended at this stage");
    link::SendFrame(aFrom.get(), mHost.LocalRevision(), std::move(lost));
    return;
  }
  if (!mProgress.IsCurrent(aAttempt) || mPhase != phase::Running || IsFirst()) {
    return;
  }
  mWork.push_back({ aActivation.prefill(),
                    token_position(aActivation.position()),
                    aActivation.data(),
                    aActivation.prefill_stages() });
  RunQueuedWork();
}

void stage_stream::RunQueuedWork()
{
  while (!mIsRunning && !mWork.empty() && mPhase == phase::Running) {
    const work_item item = std::move(mWork.front());
    mWork.pop_front();
    if (item.mIsPrefill) {
      Run(item);
    } else {
      ProcessStep(item);
    }
  }
}

void stage_stream::ProcessStep(const work_item& aItem)
{
  const auto action = mProgress.OnInput(mProgress.Current(), aItem.mPosition, StableHash(aItem.mInput));
  switch (action) {
    case policy::stage_action::Run:
      Run(aItem);
      return;
    case policy::stage_action::Replay:
      ForwardOutput(aItem.mPosition);
      return;
    case policy::stage_action::Wait:
    case policy::stage_action::Fenced:
      return;
    case policy::stage_action::Gap:
      FailAttempt(mHost.Instance().Str(),
                  false,
                  false,
                  "position " + std::to_string(aItem.mPosition.Value()) + " is not the next one here");
      return;
  }
}

void stage_stream::Run(const work_item& aItem)
{
  mIsRunning = true;
  mRunSince = Now();
  mRunPrefillStages = aItem.mPrefillStages;
  engine::run_request run;
  run.mRequest = mRequest;
  run.mAttempt = mProgress.Current().mNumber;
  run.mPosition = aItem.mPosition;
  run.mFirstLayer = mOpen.first_layer();
  run.mLastLayer = mLastLayer;
  run.mIsPrefill = aItem.mIsPrefill;
  run.mPriority = mOpen.priority();
  run.mMaxTokens = mOpen.max_tokens();
  run.mInput = aItem.mInput;
  if (aItem.mIsPrefill && IsFirst()) {
    run.mPrompt = mOpen.prompt();
    run.mDelivered.assign(mOpen.delivered().begin(), mOpen.delivered().end());
  }
  mHost.StartRun(ref<stage_stream>(this), std::move(run));
}

void stage_stream::OnRunDone(const engine::run_request& aRequest,
                             const engine::engine_result<engine::run_reply>& aReply)
{
  std::lock_guard lock(mMutex);
  mIsRunning = false;
  if (mPhase == phase::Ended) {
    mHost.CancelAtEngine(mRequest);
    return;
  }
  if (aReply.has_error()) {
    OnRunFailed(aReply.error());
    return;
  }
  const engine::run_reply& reply = aReply.value();
  if (aRequest.mIsPrefill) {
    mProgress.Prefilled(aRequest.mPosition);
    if (aRequest.mAttempt == mProgress.Current().mNumber) {
      OnPrefillDone(reply.mOutput, aRequest.mPosition);
    }
  } else {
    OnStepDone(aRequest.mPosition, { reply.mOutput, reply.mToken, reply.mIsLast, reply.mFinishReason });
  }
  RunQueuedWork();
}

void stage_stream::OnPrefillDone(const std::string& aOutput, token_position aStart)
{
  if (mRunPrefillStages <= 1 || IsLast()) {
    return;
  }
  link::frame next = Frame();
  next.mutable_activation()->set_position(aStart.Value());
  next.mutable_activation()->set_prefill(true);
  next.mutable_activation()->set_prefill_stages(mRunPrefillStages - 1);
  next.mutable_activation()->set_data(aOutput);
  mWaitingSince = Now();
  SendDownstream(std::move(next));
}

void stage_stream::OnStepDone(token_position aPosition, policy::stage_output aOutput)
{
  if (mProgress.OnOutput(aPosition, std::move(aOutput)) && mPhase == phase::Running) {
    ForwardOutput(aPosition);
  }
}

void stage_stream::OnRunFailed(const engine::engine_error& aError)
{
  mProgress.OnFailure();
  const bool hasCrashed = aError.mCode == engine::engine_errc::ConnectionLost;
  const bool isDown = hasCrashed || aError.mCode == engine::engine_errc::Unreachable;
  if (isDown) {
    mHost.EngineFailed();
  }
  if (isDown || aError.mCode == engine::engine_errc::NoState) {
    mProgress.LoseState();
  }
  FailAttempt(mHost.Instance().Str(), hasCrashed, aError.mCode == engine::engine_errc::Timeout, aError.mMessage);
}

void stage_stream::ForwardOutput(token_position aPosition)
{
  const policy::stage_output* output = mProgress.FindOutput(aPosition);
  if (output == nullptr) {
    return;
  }
  if (!IsLast()) {
    link::frame next = Frame();
    next.mutable_activation()->set_position(aPosition.Value());
    next.mutable_activation()->set_data(output->mData);
    mWaitingSince = Now();
    SendDownstream(std::move(next));
    return;
  }
  link::token token;
  token.set_position(aPosition.Value());
  token.set_text(output->mToken);
  token.set_last(output->mIsLast);
  token.set_finish_reason(output->mFinishReason);
  HandleToken(token);
}

void stage_stream::HandleToken(const link::token& aToken)
{
  mWaitingSince = {};
  mIsComplete |= aToken.last();
  link::frame up = Frame();
  *up.mutable_token() = aToken;
  if (IsFirst()) {
    if (aToken.position() != mTokens.size()) {
      return;
    }
    mTokens.push_back(aToken.text());
    mFinishReason = aToken.finish_reason();
  }
  SendUpstream(std::move(up));
  if (IsFirst() && !aToken.last()) {
    QueueFirstStageStep(token_position(aToken.position()).Next());
    RunQueuedWork();
  }
}

void stage_stream::OnDelivered(const policy::attempt_key& aAttempt, token_position aNext)
{
  std::lock_guard lock(mMutex);
  if (!mProgress.IsCurrent(aAttempt) || aNext <= mDelivered) {
    return;
  }
  mDelivered = aNext;
  mProgress.Delivered(aNext);
  if (mSuccessor) {
    link::frame down = Frame();
    down.mutable_delivered()->set_next_position(aNext.Value());
    SendDownstream(std::move(down));
  }
  if (mWindowFullAt && IsFirst()) {
    const token_position blocked = *mWindowFullAt;
    mWindowFullAt.reset();
    QueueFirstStageStep(blocked);
    RunQueuedWork();
  }
}

} // namespace chervilpulley::sidecar
