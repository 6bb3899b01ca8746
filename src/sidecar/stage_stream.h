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

/// Runs one stage of a pipeline for one request. Keeps the request's state when a successor, an engine or a link fails,
/// so that the next attempt resumes where this one stopped.
namespace chervilpulley::sidecar {

/// Interface of a stream to its process. Calls must not block and may be made with the stream's lock held.
class stage_host
{
public:
  virtual ~stage_host() = default;
  virtual const instance_id& Instance() const = 0;
  virtual const link::local_revision& LocalRevision() const = 0;
  virtual bool IsLeaving() const = 0;
  /// The engine's state; nullopt while it can't be reached.
  virtual std::optional<engine::engine_state> Engine() const = 0;
  /// Requests a slot at the engine. If the stream has to wait, its OnAdmitted() is called later.
  virtual gate_response Enter(const ref<class stage_stream>& aStream, const link::open_attempt& aOpen) = 0;
  virtual void ReleaseSlot() = 0;
  virtual bool CancelWaiting(policy::admission_ticket aTicket) = 0;
  /// Whether the request may start here, given that it may be suspected of crashing engines.
  virtual policy::start_verdict CheckSuspect(const link::open_attempt& aOpen) = 0;
  /// Records that the request starts here.
  virtual void Started(request_digest aDigest) = 0;
  /// Records that the request has finished here.
  /// @param aIsComplete whether its last token has passed.
  virtual void Finished(request_digest aDigest, bool aIsComplete) = 0;
  /// Chooses a successor that has the first layer of aOpen loaded and is not excluded.
  virtual ref<link::provider> ChooseSuccessor(const link::open_attempt& aOpen,
                                              const std::set<std::string>& aExcluded) = 0;
  virtual void Probe(const ref<link::provider>& aProvider) = 0;
  /// Starts a run at the engine; the stream's OnRunDone() is called later, possibly on another thread.
  virtual void StartRun(ref<class stage_stream> aStream, engine::run_request aRequest) = 0;
  virtual void CancelAtEngine(const request_id& aRequest) = 0;
  /// Marks the engine as down because it crashed or disappeared during a run.
  virtual void EngineFailed() = 0;
  /// Longest time that a step, or a prefill of aPromptTokens tokens, may take before the engine counts as stalled.
  virtual duration StallAllowance(bool aIsPrefill, std::uint32_t aPromptTokens) const = 0;
  /// How long a stream is kept after it has ended or lost its upstream link.
  virtual duration StreamGrace() const = 0;
  /// Longest silence of a probed successor before it counts as stalled.
  virtual duration StallFloor() const = 0;
};

/// One request at this stage. Thread-safe; each call is a short step under the stream's own lock.
class stage_stream : public ref_counted
{
public:
  stage_stream(stage_host& aHost, request_id aRequest);

  /// Handles a new attempt; an older one is fenced.
  void OnOpen(ref<link::connection> aUpstream, policy::attempt_key aAttempt, const link::open_attempt& aOpen);
  /// The stream got a slot at the engine, or its deadline passed while it waited.
  void OnAdmitted(bool aIsExpired);
  /// Handles an input from the preceding stage.
  void OnActivation(const ref<link::connection>& aFrom,
                    const policy::attempt_key& aAttempt,
                    const link::activation& aActivation);
  /// Handles an acknowledgement: all tokens before aNext have reached the caller.
  void OnDelivered(const policy::attempt_key& aAttempt, token_position aNext);
  void OnCancel(const policy::attempt_key& aAttempt);
  /// Handles a frame from the successor.
  void OnSuccessorFrame(const ref<link::provider>& aSuccessor, const link::frame& aFrame);
  void OnSuccessorLost(const ref<link::provider>& aSuccessor);
  void OnUpstreamLost(const link::connection& aUpstream);
  /// Handles the result of a run at the engine.
  void OnRunDone(const engine::run_request& aRequest, const engine::engine_result<engine::run_reply>& aReply);
  /// Checks the timeouts of the successor, the engine and the upstream link.
  void OnTick(instant aNow);
  /// State that another entry needs to resume the stream, with all tokens so far. found is false if the stream belongs
  /// to another workspace, is not kept, or has fewer tokens than aNext.
  link::stream_state State(const std::string& aWorkspace, token_position aNext) const;

  const request_id& Request() const { return mRequest; }
  /// Whether it occupies a slot at the engine.
  bool IsActive() const;
  /// Whether the stream can be removed: no attempt was opened, or it ended more than the grace time ago and runs
  /// nothing.
  bool IsDiscardable(instant aNow) const;

private:
  enum class phase
  {
    Idle,    ///< no attempt is open
    Waiting, ///< for a slot at the engine
    Opening, ///< waiting for the successor to open
    Running,
    Lost, ///< the attempt has failed; state is kept for the next one
    Ended
  };
  /// An input that waits for the engine.
  struct work_item
  {
    bool mIsPrefill = false;
    token_position mPosition;
    std::string mInput;
    std::uint32_t mPrefillStages = 0; ///< stages that still need the prefill, from this one on; 0 for a step
  };

  bool IsFirst() const { return mOpen.first_layer() == 0; }
  bool IsLast() const { return mLastLayer + 1 == mOpen.layer_count(); }
  std::optional<link::refusal> CheckOpen(const policy::attempt_key& aAttempt, const link::open_attempt& aOpen) const;
  link::refusal Refusal(link::refusal_reason aReason, const std::string& aMessage) const;
  void RefuseTo(const ref<link::connection>& aUpstream,
                const policy::attempt_key& aAttempt,
                const link::refusal& aRefusal);
  void Refuse(const link::refusal& aRefusal);
  /// Enters the gate and proceeds, waits or refuses the attempt.
  void RequestSlot();
  /// Opens the successor; at the last stage the attempt is open at once.
  void Proceed();
  void SendUpstream(link::frame aFrame);
  void SendDownstream(link::frame aFrame);
  link::frame Frame() const { return link::AttemptFrame(mRequest, mProgress.Current()); }
  /// Sends the attempt to a successor that was not tried yet; refuses the attempt if there is none.
  void OpenNextSuccessor();
  void HandleSuccessorLoss();
  void CancelSuccessor(const std::string& aReason);
  void OnOpened(std::uint32_t aDownstreamPrefill, const std::vector<std::string>& aChain);
  void StartFirstStage(std::uint32_t aPrefillStages);
  /// Queues the step at aPosition, or holds it back while too many tokens are not acknowledged.
  void QueueFirstStageStep(token_position aPosition);
  void RunQueuedWork();
  void ProcessStep(const work_item& aItem);
  void Run(const work_item& aItem);
  void OnPrefillDone(const std::string& aOutput, token_position aStart);
  void OnStepDone(token_position aPosition, policy::stage_output aOutput);
  void OnRunFailed(const engine::engine_error& aError);
  /// Sends the output at aPosition to the successor, or its token upstream from the last stage.
  void ForwardOutput(token_position aPosition);
  void HandleToken(const link::token& aToken);
  void OnFenced(const link::refusal& aRefusal);
  /// Ends the attempt because of a fault at aInstance and reports it upstream; the state is kept for the next attempt.
  void FailAttempt(const std::string& aInstance, bool aCrashed, bool aStalled, const std::string& aMessage);
  void End();
  void ReleaseSlot();

  stage_host& mHost;
  const request_id mRequest;
  mutable std::mutex mMutex;
  phase mPhase = phase::Idle;
  policy::stage_progress mProgress;
  link::open_attempt mOpen;
  std::uint32_t mLastLayer = 0;
  ref<link::connection> mUpstream;
  ref<link::provider> mSuccessor;
  ref<link::connection> mSuccessorLink; ///< link that the attempt was opened on
  std::vector<std::string> mChain;
  std::set<std::string> mTriedSuccessors;
  std::deque<work_item> mWork;
  bool mHasSlot = false;
  std::optional<policy::admission_ticket> mTicket;
  bool mIsComplete = false; ///< the last token has passed this stage
  bool mIsRunning = false;
  std::uint32_t mRunPrefillStages = 0;
  instant mRunSince{};
  instant mWaitingSince{}; ///< start of the wait for the successor; zero if none
  instant mUpstreamLostAt{};
  instant mEndedAt{};
  std::vector<std::string> mTokens; ///< first stage only: all tokens so far
  std::string mFinishReason;        ///< first stage only: from the last token, once the output is complete
  token_position mDelivered;
  std::optional<token_position> mWindowFullAt; ///< first stage only: next step, held back by the delivery window
};

} // namespace chervilpulley::sidecar
