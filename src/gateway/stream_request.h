#pragma once

#include <boost/asio/steady_timer.hpp>

#include "gateway/request_context.h"
#include "policy/capacity_wait.h"
#include "policy/event_cursor.h"
#include "policy/stall_detector.h"

/// A request that is answered with events by a path of engines. It is sent, repaired and resumed until its events are
/// all there or its time is over; the caller gets each event once and in order.
namespace chervilpulley::gateway {

class stream_request
  : public request_work
  , public call_owner
  , public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  stream_request(request_tools& aTools, admitted_request aRequest);

  void Start();
  /// Looks for a stall; called every kStreamTick.
  void TimePassed(instant aNow);
  bool IsWaiting() const { return mPhase == phase::Waiting; }
  bool IsRunning() const { return mPhase == phase::Running; }
  policy::waiting_request AsWaiting() const;
  /// False when no engines have room for it.
  bool SendIfRoom(instant aNow);
  void RefuseForRoom(instant aNow);
  const std::string& Id() const { return mAsked.mWish.mId.Str(); }
  /// The first engine says that this stream waits for another one.
  void Stalled(const backend_id& aEngine, instant aNow);

  void OnCallerGone() override;
  void OnTaken() override;
  void OnHead(unsigned aStatus, net::http_headers aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnEnd(call_end aEnd, const std::string& aReason) override;

private:
  enum class phase
  {
    Waiting, ///< for an engine
    Running,
    Ended
  };

  enum class repath_reason
  {
    Lost,   ///< the stream stands still
    Leaving ///< the stream goes on meanwhile
  };

  struct repath_cause
  {
    backend_id mEngine;
    repath_reason mReason;
    int mTries = 0; ///< new paths that were refused
  };

  void TryPath(instant aNow);
  void LogSupply(instant aNow);
  duration ComeBack(instant aNow);
  void Wait(duration aTime, void (*aGoOn)(stream_request&));
  void Send(chosen_path aPath, instant aNow);
  void Drop();
  void TakeRefusal(instant aNow);
  void TakeEndlessFailure(instant aNow);
  void TakeFailure(const std::string& aReason, instant aNow);
  void Retry(const std::string& aReason, instant aNow);
  void GiveUp(const std::string& aReason, instant aNow);
  void HandOnFailure(instant aNow);
  void Repath(const repath_cause& aCause, instant aNow);
  void MoveFromLeaving(instant aNow);
  void RepathAnswered(std::uint64_t aPathNumber,
                      const chosen_path& aFormer,
                      const repath_cause& aCause,
                      const std::optional<net::http_reply>& aReply);
  void TakePathRefusal(const chosen_path& aFormer, std::string_view aAnswer, instant aNow);
  void TakePath(const chosen_path& aPath);
  bool JoinsNewPath(const backend_id& aEngine, instant aNow) const;
  std::optional<chosen_path> Replace(const backend_id& aLost, instant aNow);
  void Inquire(instant aNow);
  std::optional<backend_id> EngineAt(const std::string& aAddress) const;
  void TakeSilenceOf(const backend_id& aFirst, instant aNow);
  void TakeStalledAt(const backend_id& aEngine, instant aNow);
  void CheckPath();
  duration Allowance() const;
  double AnswerGuess() const;
  double TokensLeft() const;
  void End(request_end aEnd, unsigned aStatus, const std::string& aReason);
  duration TimeLeft(instant aNow) const { return mAsked.mDeadline - aNow; }
  bool MayRunAgain() const { return mAsked.mRoute->mIsResumable; }
  std::size_t LiveRuns() const;
  /// Whether the route allows another engine to run it.
  bool MayStartElsewhere() const { return LiveRuns() < mAsked.mRoute->mMaxAttempts; }
  void ForgetLastRun();
  void Exclude(const backend_id& aEngine, instant aNow);

  request_tools& mTools;
  admitted_request mAsked;
  boost::asio::steady_timer mTimer;
  phase mPhase = phase::Waiting;
  policy::event_cursor mCursor;
  std::optional<chosen_path> mPath;
  std::uint64_t mPathNumber = 0;
  ref<worker_call> mCall;
  std::set<backend_id> mExcluded; ///< engines that failed or refused it
  instant mExcludedAt;            ///< the last of them
  /// Engines that run it or may have run it. Those that have ended do not count for the route's bound on attempts.
  std::vector<policy::backend_member> mRanAt;
  bool mMayHaveRun = false; ///< somewhere, also on an engine that is lost
  unsigned mSends = 0;
  bool mOwesRepeat = false;   ///< the next sending must be allowed by the budget for repeats
  bool mHasBegun = false;     ///< the caller has the head of an answer
  bool mSourceIsGood = false; ///< the present answer is a stream of events
  unsigned mStatus = 0;
  net::http_headers mHeaders;
  wire::answer_note mNote;
  std::string mFailureBody;
  instant mSentAt;
  instant mLastEvent;
  instant mQuietUntil; ///< no stall is looked for before
  duration mInquiryPause{ 0 };
  bool mIsAsking = false;
  bool mIsRepathing = false;
  policy::gap_statistics mGaps;
  duration mLongestGap{ 0 };
  duration mFirstEventAfter{ 0 };
  bool mIsPaused = false;
  instant mNextMove;
  instant mNextRepath; ///< no new path is looked for before
};

/// Time between two looks at all streams.
inline constexpr duration kStreamTick = std::chrono::milliseconds(40);

} // namespace chervilpulley::gateway
