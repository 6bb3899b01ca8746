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

/// One completion: attempts over chains of stages until the caller has the whole answer.
namespace chervilpulley::entry {

/// What a completion is to do.
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
  request_digest mDigest; ///< of workspace, model, prompt and length
  instant mArrived{};
  instant mDeadline{};
  duration mStallFloor = std::chrono::seconds(1);
  /// When a stream is taken up: tokens known so far, the last attempt, and the sidecars that hold its state.
  std::vector<std::string> mTokens;
  std::uint32_t mLastAttempt = 0;
  std::vector<std::string> mHolders;
  std::string mFinishReason; ///< not empty when mTokens are the whole answer
};

/// A token on its way to the caller.
struct output_token
{
  token_position mPosition;
  std::string mText;
  std::string mFinishReason; ///< with the last one
  instance_id mHead;         ///< sidecar that keeps the stream
};

/// How a completion ended.
struct completion_result
{
  bool mIsComplete = false;
  bool mCallerDisconnected = false;
  std::optional<api_error> mError;
};

/// Takes the tokens of an answer in order; false when the caller is gone.
class token_sink
{
public:
  virtual ~token_sink() = default;
  virtual boost::asio::awaitable<bool> Deliver(const output_token& aToken) = 0;
};

/// What completions share.
struct completion_context
{
  request_router& mRouter;
  request_guard& mGuard;
  metrics::process_metrics& mMetrics;
};

/// Runs one completion. All its work is on the strand of the caller's connection.
class completion_run
{
public:
  completion_run(const completion_context& aContext, ref<request_mailbox> aMailbox, completion_job aJob);
  boost::asio::awaitable<completion_result> Run(token_sink& aSink);
  /// Tokens of the answer so far.
  std::uint32_t TokenCount() const { return static_cast<std::uint32_t>(mJob.mTokens.size()); }
  /// Tells the sidecars to drop the request.
  void Cancel(const std::string& aReason);

private:
  enum class step
  {
    Continue,
    NextAttempt,
    Ended
  };

  bool CheckGuard();
  bool StartAttempt();
  bool MayWait(instant aWaitingSince) const;
  void FailWithoutRoute();
  step OnCrashed();
  step Retry(metrics::retry_cause aCause);
  boost::asio::awaitable<void> WaitForRoute();
  boost::asio::awaitable<step> RunAttempt(token_sink& aSink);
  boost::asio::awaitable<step> OnFrame(const link::frame& aFrame, token_sink& aSink);
  boost::asio::awaitable<step> OnToken(const link::token& aToken, token_sink& aSink);
  step OnRefused(const link::refusal& aRefusal);
  step OnLost(const link::attempt_lost& aLost);
  step OnHeadLost(bool aStalled);
  step OnIdle();
  step Fail(api_error aError);
  link::open_attempt OpenBody() const;
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
  std::uint32_t mOpenCount = 0;
  bool mIsSuspect = false;
  bool mMayHaveRun = false;
  ref<link::provider> mHead;
  ref<link::connection> mHeadLink;               ///< that the attempt was opened on
  std::vector<ref<link::provider>> mFormerHeads; ///< not told yet that the request has left them
  bool mIsOpened = false;
  std::vector<std::string> mChain;
  std::set<std::string> mAvoid;   ///< at fault in an earlier attempt
  std::set<std::string> mRefused; ///< refused since the last attempt that was opened
  std::optional<link::refusal> mLastRefusal;
  instant mLastProgress{};
  instant mLastToken{};
};

} // namespace chervilpulley::entry
