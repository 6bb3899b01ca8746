#pragma once

#include <boost/asio/steady_timer.hpp>

#include "gateway/request_context.h"
#include "policy/capacity_wait.h"
#include "policy/event_cursor.h"
#include "policy/stall_detector.h"

/// Streaming requests, which a path of engines answers with a stream of events. When an engine fails, stalls or leaves,
/// the request is retried, resumed or moved to another path until all events have arrived or the deadline has passed.
namespace chervilpulley::gateway {

/// One streaming request. The caller gets each event once and in order, whichever engines produce it.
class stream_request
  : public request_handler
  , public call_handler
  , public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  stream_request(request_environment& aEnvironment, admitted_request aRequest);

  /// Ends the request, because the process stops: with a response, or by aborting the one that has begun.
  void Stop(instant aNow);
  /// Sends the request, or queues it for capacity.
  void Start();
  /// Checks for the deadline, a stall and engines that leave; called every kStreamTick.
  void TimePassed(instant aNow);
  bool IsWaiting() const { return mPhase == phase::Waiting; }
  bool IsRunning() const { return mPhase == phase::Running; }
  policy::waiting_request ToWaitingRequest(instant aNow) const;
  const pool_name& Pool() const { return mRequest.mPool; }
  /// Whether overload control decides about this request.
  bool IsRanked() const { return mIsRanked; }
  /// This request as overload control sees it.
  stream_demand Demand(instant aNow) const;
  /// Whether a waiting request is still admitted now that it may have become late.
  bool StaysAdmitted(instant aNow);
  /// Time until this request gets a permit for a server at which it can begin, behind those that wait and are served
  /// before it; zero when it needs none.
  duration PermitWait(instant aNow) const;
  /// Sends the request when a path has capacity and the retry budget allows it; otherwise returns false.
  bool SendIfCapacity(instant aNow);
  /// Ends the request with a refusal because no path has capacity for it.
  void RefuseForCapacity(instant aNow);
  const std::string& Id() const { return mRequest.mMetadata.mId.Str(); }
  /// Handles a report that aEngine has stalled this stream: resumes it elsewhere if that is the first engine of its
  /// path, otherwise replaces the engine.
  void OnStall(const backend_id& aEngine, instant aNow);

  /// Bytes of an incomplete failure response or event.
  std::size_t HeldBytes() const { return mFailureBody.size() + mCursor.PartialBytes(); }
  /// Drops these bytes and ends the attempt, if one is running. If the head of a failure response says that the request
  /// did not run, that holds however long the body is.
  void HandleOversized(instant aNow);

  void OnCallerGone() override;
  void OnWritten() override;
  void OnHead(unsigned aStatus, net::http_headers aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(call_end aEnd, const std::string& aReason) override;

private:
  enum class phase
  {
    Waiting, ///< for capacity or a retry
    Running,
    Ended
  };

  enum class repath_reason
  {
    Lost,   ///< an engine is lost, and the stream has stalled
    Leaving ///< an engine is leaving, and the stream continues until the path is replaced
  };

  /// Why a running stream gets a new path.
  struct repath_cause
  {
    backend_id mEngine;
    repath_reason mReason;
    int mTries = 0; ///< new paths that the first engine has refused
  };

  bool IsAdmitted(instant aNow);
  bool HasQuota() const;
  overload_control* Overload() const;
  bool CanBeOnTime(instant aNow) const;
  void TryPath(instant aNow);
  void LogAvailability(instant aNow);
  void LogCut(instant aNow) const;
  duration RetryAfter(instant aNow);
  void Wait(duration aTime, void (*aContinue)(stream_request&));
  void Send(chosen_path aPath, instant aNow);
  void LeaveEngineQueue();
  void EndAttempt();
  void HandleRefusal(instant aNow);
  void HandleFailure(const std::string& aReason, instant aNow);
  void Retry(const std::string& aReason, instant aNow);
  void GiveUp(const std::string& aReason, instant aNow, std::optional<duration> aRetryAfter = std::nullopt);
  void BeginResponse(std::string_view aEvents);
  bool IsWholeStream(call_end aEnd) const;
  void RunInterrupted(instant aNow);
  void ProducedEvents();
  void ForwardFailure(instant aNow);
  void Repath(const repath_cause& aCause, instant aNow);
  void MoveOffLeavingEngines(instant aNow);
  void OnRepathResponse(std::uint64_t aPathNumber,
                        const chosen_path& aFormer,
                        const repath_cause& aCause,
                        const std::optional<net::http_reply>& aReply);
  void HandlePathRefusal(const chosen_path& aFormer, std::string_view aResponse, instant aNow);
  void SwitchToPath(const chosen_path& aPath);
  bool CanJoinNewPath(const backend_id& aEngine, instant aNow) const;
  std::optional<chosen_path> FindReplacementPath(const backend_id& aLost, instant aNow);
  void ProbeFirstEngine(instant aNow);
  std::optional<backend_id> EngineAt(const std::string& aAddress) const;
  void HandleSilence(const backend_id& aFirst, instant aNow);
  void HandleStallAt(const backend_id& aEngine, instant aNow);
  void ProbeStages();
  duration StallThreshold() const;
  double EstimatedOutputTokens() const;
  policy::stream_pace Pace() const;
  duration ExpectedTime(const chosen_path* aPath) const;
  bool MayContinue(const chosen_path* aPath, instant aNow) const;
  double TokensLeft() const;
  void End(request_end aEnd, unsigned aStatus, const std::string& aReason);
  duration TimeLeft(instant aNow) const { return mRequest.mDeadline - aNow; }
  bool MayRunAgain() const { return mRequest.mRoute->mIsResumable; }
  /// Number of engines in mRanOn that may still be alive.
  std::size_t LiveRuns() const;
  /// Whether the route allows another engine to run the request.
  bool MayStartElsewhere() const { return LiveRuns() < mRequest.mRoute->mMaxAttempts; }
  void ForgetLastRun();
  retry_ask RetryAsk() const { return { mRequest.mPool, Id(), mIsRetryDenied }; }
  bool MaySendByBudget();
  bool ChargeRetry();
  void Exclude(const backend_id& aEngine, instant aNow);

  request_environment& mEnvironment;
  admitted_request mRequest;
  boost::asio::steady_timer mTimer;
  phase mPhase = phase::Waiting;
  policy::event_cursor mCursor;
  std::optional<chosen_path> mPath;
  std::uint64_t mPathNumber = 0; ///< grows with each change of the path, so that late responses can be ignored
  ref<backend_call> mCall;
  std::set<backend_id> mExcluded; ///< engines that failed or refused the request
  instant mExcludedAt;            ///< when the last engine was added to mExcluded
  std::set<backend_id> mSentTo;   ///< all first engines so far
  /// Engines that run the request or may have run it. Those that have terminated do not count towards the route's
  /// maximum number of attempts.
  std::vector<policy::backend_member> mRanOn;
  bool mMayHaveRun = false; ///< on any engine, including one that is lost
  unsigned mSends = 0;
  unsigned mFruitlessRuns = 0;   ///< runs that were interrupted before they produced output
  bool mHasSearchedPath = false; ///< for the current send
  bool mIsRetry = false;         ///< the next send is a retry, which the retry budget must allow
  bool mIsRetryDenied = false;   ///< the next retry was denied before
  bool mHasBegun = false;        ///< the caller has received the head of a response
  bool mHasProduced = false;     ///< a run has produced enough output to show that it crashes no engine
  bool mIsEventStream = false;   ///< the current response is a valid stream of events
  unsigned mStatus = 0;
  bool mIsWhole = false; ///< the response has arrived completely
  net::http_headers mHeaders;
  wire::response_metadata mResponseMetadata;
  std::string mFailureBody;
  instant mSentAt;
  bool mIsQueued = false; ///< sent, and without an event from the current attempt
  instant mLastEvent;
  instant mNextStallCheck;   ///< no stall is suspected before this time
  duration mProbePause{ 0 }; ///< time until the first engine is probed again; doubles while the stream is silent
  bool mIsProbing = false;
  bool mIsRepathing = false;
  policy::gap_statistics mGaps;
  duration mLongestGap{ 0 };
  duration mFirstEventAfter{ 0 };
  bool mIsRanked = false;      ///< new stream of a pool under overload control
  bool mIsCallerRetry = false; ///< its caller was rejected before, by what it gives as its timeout
  bool mIsLate = false;        ///< was admitted as a late request
  bool mIsPaused = false;      ///< reading is paused because the caller reads slowly
  instant mNextMove;           ///< the stream is not moved off leaving engines before this time
  instant mNextRepath;         ///< no new path is searched for before this time
};

/// Interval at which all streams are checked.
inline constexpr duration kStreamTick = std::chrono::milliseconds(40);

} // namespace chervilpulley::gateway
