#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "engine/engine_client.h"
#include "link/frames.h"
#include "link/provider_links.h"
#include "policy/crash_suspects.h"
#include "policy/stage_progress.h"
#include "sidecar/admission_gate.h"

/// One request at one stage of a pipeline.
namespace chervilpulley::sidecar {

/// What a stream asks of the process that it runs in. Calls do not block and may come with the stream's lock held.
class stage_host
{
public:
  virtual ~stage_host() = default;
  virtual const instance_id& Instance() const = 0;
  virtual const link::local_revision& Board() const = 0;
  virtual bool IsLeaving() const = 0;
  /// The engine's state; nothing while it can't be reached.
  virtual std::optional<engine::engine_state> Engine() const = 0;
  /// Asks for a place at the engine. A stream that has to wait is told by its OnAdmitted().
  virtual gate_answer Enter(const ref<class stage_stream>& aStream, const link::open_attempt& aOpen) = 0;
  virtual void GiveBackPlace() = 0;
  virtual bool CancelWaiting(policy::admission_ticket aTicket) = 0;
  /// Whether the request may start here, as far as it is suspected of ending engines.
  virtual policy::start_verdict CheckSuspect(const link::open_attempt& aOpen) = 0;
  /// It runs here from now on.
  virtual void Started(request_digest aDigest) = 0;
  /// It runs here no longer.
  virtual void Finished(request_digest aDigest, bool aIsComplete) = 0;
  /// Chooses a successor that holds the first layer, other than those excluded.
  virtual ref<link::provider> ChooseSuccessor(const link::open_attempt& aOpen,
                                              const std::set<std::string>& aExcluded) = 0;
  virtual void Probe(const ref<link::provider>& aProvider) = 0;
  /// Starts a run at the engine; the stream's OnRunDone is called later from another thread.
  virtual void StartRun(ref<class stage_stream> aStream, engine::run_request aRequest) = 0;
  virtual void CancelAtEngine(const request_id& aRequest) = 0;
  /// The engine ended during a run: its state is to be read at once.
  virtual void EngineFailed() = 0;
  /// Time in which a step, and a prefill of so many tokens, must be done before the engine counts as stalled.
  virtual duration StallAllowance(bool aIsPrefill, std::uint32_t aPromptTokens) const = 0;
  virtual duration StreamGrace() const = 0;
  virtual duration StallFloor() const = 0;
};

/// One request at this stage. Thread-safe; each call is one short step under the stream's own lock.
class stage_stream : public ref_counted
{
public:
  stage_stream(stage_host& aHost, request_id aRequest);

  void OnOpen(ref<link::connection> aUpstream, policy::attempt_key aAttempt, const link::open_attempt& aOpen);
  /// A place at the engine was given to it, or its time to wait has passed.
  void OnAdmitted(bool aIsExpired);
  void OnActivation(const ref<link::connection>& aFrom,
                    const policy::attempt_key& aAttempt,
                    const link::activation& aActivation);
  void OnDelivered(const policy::attempt_key& aAttempt, token_position aNext);
  void OnCancel(const policy::attempt_key& aAttempt);
  /// A frame from the successor.
  void OnSuccessorFrame(const ref<link::provider>& aSuccessor, const link::frame& aFrame);
  void OnSuccessorLost(const ref<link::provider>& aSuccessor);
  void OnUpstreamLost(const link::connection& aUpstream);
  void OnRunDone(const engine::run_request& aRequest, const engine::engine_result<engine::run_reply>& aReply);
  void OnTick(instant aNow);
  /// What another entry needs to go on with the stream, with all tokens so far; found is false when it isn't the
  /// workspace's, is not kept, or has fewer tokens than aNext.
  link::stream_state State(const std::string& aWorkspace, token_position aNext) const;

  const request_id& Request() const { return mRequest; }
  /// Whether it takes a place at the engine.
  bool IsActive() const;
  /// Whether nothing of it needs to be kept any more.
  bool IsForgotten(instant aNow) const;

private:
  enum class phase
  {
    Idle,    ///< no attempt is open
    Waiting, ///< for a place at the engine
    Opening, ///< waiting for the successor
    Running,
    Lost, ///< the attempt can't go on; state is kept for the next one
    Ended
  };
  struct work_item
  {
    bool mIsPrefill = false;
    token_position mPosition;
    std::string mInput;
    std::uint32_t mPrefillStages = 0; ///< from this stage on
  };

  bool IsHead() const { return mOpen.first_layer() == 0; }
  bool IsLast() const { return mLastLayer + 1 == mOpen.layer_count(); }
  std::optional<link::refusal> CheckOpen(const policy::attempt_key& aAttempt, const link::open_attempt& aOpen) const;
  link::refusal Refusal(link::refusal_reason aReason, const std::string& aMessage) const;
  void RefuseTo(const ref<link::connection>& aUpstream,
                const policy::attempt_key& aAttempt,
                const link::refusal& aRefusal);
  void Refuse(const link::refusal& aRefusal);
  void AskForPlace();
  void Proceed();
  void SendUp(link::frame aFrame);
  void SendDown(link::frame aFrame);
  link::frame Frame() const { return link::AttemptFrame(mRequest, mProgress.Current()); }
  void TrySuccessor();
  void LoseSuccessor();
  void LeaveSuccessor(const std::string& aReason);
  void Opened(std::uint32_t aDownstreamPrefill, const std::vector<std::string>& aChain);
  void StartHead(std::uint32_t aPrefillStages);
  void QueueHeadStep(token_position aPosition);
  void Pump();
  void PumpStep(const work_item& aItem);
  void Run(const work_item& aItem);
  void PrefillDone(const std::string& aOutput, token_position aStart);
  void StepDone(token_position aPosition, policy::stage_output aOutput);
  void RunFailed(const engine::engine_error& aError);
  void Emit(token_position aPosition);
  void TakeToken(const link::token& aToken);
  void Fenced(const link::refusal& aRefusal);
  void Lose(const std::string& aInstance, bool aCrashed, bool aStalled, const std::string& aMessage);
  void End();
  void GiveBackPlace();

  stage_host& mHost;
  const request_id mRequest;
  mutable std::mutex mMutex;
  phase mPhase = phase::Idle;
  policy::stage_progress mProgress;
  link::open_attempt mOpen;
  std::uint32_t mLastLayer = 0;
  ref<link::connection> mUpstream;
  ref<link::provider> mSuccessor;
  ref<link::connection> mSuccessorLink; ///< that the attempt was opened on
  std::vector<std::string> mChain;
  std::set<std::string> mTried;
  std::deque<work_item> mWork;
  bool mHasPlace = false;
  std::optional<policy::admission_ticket> mTicket;
  bool mIsComplete = false; ///< the last token has passed
  bool mIsRunning = false;
  std::uint32_t mRunPrefillStages = 0;
  instant mRunSince{};
  instant mWaitingSince{}; ///< for the successor; zero when nothing is awaited
  instant mUpstreamLostAt{};
  instant mEndedAt{};
  std::vector<std::string> mTokens; ///< at the head: all tokens so far
  std::string mFinishReason;        ///< at the head: of the last token, once the answer is whole
  token_position mDelivered;
  std::optional<token_position> mBlockedAt;
};

} // namespace chervilpulley::sidecar
