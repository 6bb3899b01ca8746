#pragma once

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/api_error.h"
#include "entry/request_guard.h"
#include "entry/request_router.h"
#include "metrics/metrics.h"
#include "policy/stage_progress.h"

/// Runs one completion: attempts over chains of sidecars until the caller has received the complete output. When a
/// stage is lost, stalls or crashes, the next attempt continues after the tokens delivered so far.
namespace chervilpulley::entry {

/// The request of one completion and its state when it is resumed.
struct completion_job
{
  request_id mRequest;
  workspace_id mWorkspace;
  pool_name mPool;
  std::string mModel;
  std::uint32_t mLayerCount = 0;
  std::string mPrompt;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxTokens = 0;
  std::uint32_t mPriority = 0;
  request_digest mDigest;         ///< of workspace, model, prompt and maximum length
  std::vector<run_trait> mTraits; ///< see PromptTraits()
  instant mArrived{};
  instant mDeadline{};
  duration mStallFloor = std::chrono::seconds(1); ///< a sidecar that is silent for longer counts as lost
  /// For a resumed stream: the tokens known so far, the last attempt, and the sidecars that hold its state.
  std::vector<std::string> mTokens;
  std::uint32_t mLastAttempt = 0;
  std::vector<std::string> mHolders;
  std::string mFinishReason; ///< not empty if mTokens is the complete output
  /// Whether the caller can resume the output at another entry, so that the sidecars have to keep its state.
  bool mIsResumable = false;
};

/// One token of the output.
struct output_token
{
  token_position mPosition;
  std::string mText;
  std::string mFinishReason; ///< set with the last token
  instance_id mHead;         ///< first sidecar of the chain; it keeps the state of the stream
};

/// How a completion ended: complete, interrupted by the caller, or failed.
struct completion_result
{
  bool mIsComplete = false;
  bool mCallerDisconnected = false;
  std::optional<api_error> mError;
};

/// Receives the output tokens of a completion in order.
class token_sink
{
public:
  virtual ~token_sink() = default;
  /// False: the caller has disconnected.
  virtual boost::asio::awaitable<bool> Deliver(const output_token& aToken) = 0;
};

/// The components that all completions of an entry share.
struct completion_context
{
  request_router& mRouter;
  request_guard& mGuard;
  metrics::process_metrics& mMetrics;
};

/// Runs one completion on the strand of the caller's connection.
class completion_run
{
public:
  completion_run(const completion_context& aContext, ref<request_mailbox> aMailbox, completion_job aJob);
  /// Runs attempts until the output is complete, the completion fails or the caller disconnects.
  boost::asio::awaitable<completion_result> Run(token_sink& aSink);
  /// Number of output tokens so far.
  std::uint32_t TokenCount() const { return static_cast<std::uint32_t>(mJob.mTokens.size()); }
  /// Requests the sidecars to stop the current attempt.
  void Cancel(const std::string& aReason);

private:
  enum class step
  {
    Continue,
    NextAttempt,
    Ended
  };

  /// Whether the request guard lets the request run; otherwise sets the error.
  bool CheckGuard();
  bool CheckBlock();
  /// Opens a new attempt at a sidecar; false if none accepts it or the maximum number of attempts is reached.
  bool StartAttempt();
  /// Whether a request that may have run already can wait longer for a route.
  bool MayWait(instant aWaitingSince) const;
  void FailWithoutRoute();
  step OnCrashed(const std::string& aEngine);
  step Retry(metrics::retry_cause aCause);
  boost::asio::awaitable<void> WaitForRoute();
  boost::asio::awaitable<step> RunAttempt(token_sink& aSink);
  boost::asio::awaitable<step> OnFrame(const link::frame& aFrame, token_sink& aSink);
  boost::asio::awaitable<step> OnToken(const link::token& aToken, token_sink& aSink);
  step OnRefused(const link::refusal& aRefusal);
  step OnStopping();
  step OnLost(const link::attempt_lost& aLost);
  step OnHeadLost(bool aStalled);
  /// Checks for a stalled sidecar when no event has arrived for a while.
  step OnIdle();
  step Fail(api_error aError);
  link::open_attempt OpenBody() const;
  /// Cancels the request at former heads that are not part of the current chain.
  void CancelFormerHeads();
  void SendToHead(link::frame aFrame);
  link::frame Frame() const;

  request_router& mRouter;
  request_guard& mGuard;
  metrics::process_metrics& mMetrics;
  ref<request_mailbox> mMailbox;
  completion_job mJob;
  completion_result mEnd;
  policy::attempt_key mAttempt;
  std::uint32_t mOpenCount = 0;                  ///< attempts sent to a sidecar
  bool mIsSuspect = false;                       ///< an engine crashed while it ran this request
  bool mMayHaveRun = false;                      ///< changes the outcome "not run" of an error to "failed"
  ref<link::provider> mHead;                     ///< first sidecar of the current chain
  ref<link::connection> mHeadLink;               ///< link over which the attempt was opened
  std::vector<ref<link::provider>> mFormerHeads; ///< heads of earlier attempts, not cancelled yet
  bool mIsOpened = false;
  bool mIsLeftToResume = false;    ///< the sidecars keep the state for a caller who resumes the output elsewhere
  std::vector<std::string> mChain; ///< sidecars of the last opened attempt that are not lost
  std::set<std::string> mAvoid;    ///< sidecars that failed in an earlier attempt
  std::set<std::string> mRefused;  ///< sidecars that refused since an attempt was last opened
  std::optional<link::refusal> mLastRefusal;
  instant mLastProgress{};
  instant mLastToken{};
};

} // namespace chervilpulley::entry
