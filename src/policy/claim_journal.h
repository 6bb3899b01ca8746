#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "policy/claim_segment.h"

/// Claims on idempotency keys in one partition of a route's journal. The decision only: no I/O, clock or lock.
///
/// The partition has one open segment, changed by conditional update and never deleted, and sealed segments that it
/// lists. An update that succeeds at a version proves that no claim was made since that version was read, so a key that
/// no listed segment holds is claimed at most once. Claims never lapse while their key may come again.
namespace chervilpulley::policy {

/// Sizes in encoded bytes. Their sum is below the largest object of the platform.
struct claim_limits
{
  std::size_t mSegmentBytes = 128U << 10U;  ///< entries after which the open segment is sealed
  std::size_t mBatchBytes = 256U << 10U;    ///< entries that one update adds, unless a single one is larger
  std::size_t mResponseBytes = 512U << 10U; ///< largest answer that is kept, with its headers
};

/// Time for which claims are refused at once after the platform failed.
inline constexpr std::chrono::milliseconds kPlatformBackoff{ 500 };
/// Time for which a result or release that can't be written is tried again.
inline constexpr std::chrono::milliseconds kWriteRetryTime = std::chrono::minutes(10);
/// Lost races after which a claim is given up.
inline constexpr unsigned kMaxClaimConflicts = 32;

/// A claim that a process wants to make.
struct claim_request
{
  claim_key mKey;
  claim_id mId;
  body_digest mBody;
  claim_lifetime mLifetime;
};

/// What became of a claim.
enum class claim_status
{
  Won,         ///< the claim is in the journal: run the call
  HasResult,   ///< another claim has a result
  NoResult,    ///< another claim has no result: it may have run
  KeyReused,   ///< the key was claimed with another body
  TooOld,      ///< the key is older than the retention
  Unavailable, ///< the claim could not be made: nothing was run under it
};

struct claim_decision
{
  claim_id mId;
  claim_status mStatus = claim_status::Unavailable;
  std::optional<journal::answer> mResponse; ///< with HasResult
};

/// What became of a result or a release that was to be written.
enum class write_state
{
  Written,
  Deferred, ///< the platform failed; it is tried again
  GivenUp
};

struct write_report
{
  claim_id mId;
  write_state mState = write_state::Written;
};

/// What the journal asks of the object API next.
enum class journal_action
{
  Idle,         ///< nothing to do
  Wait,         ///< ask again at mUntil
  ReadOpen,     ///< get the open segment
  CreateOpen,   ///< create the open segment
  UpdateOpen,   ///< update the open segment at mVersion
  ReadSealed,   ///< get sealed segment mSealed
  CreateSealed, ///< create sealed segment mSealed
  UpdateSealed, ///< update sealed segment mSealed at mVersion
  DeleteSealed  ///< delete sealed segment mSealed, whatever its version
};

struct journal_step
{
  journal_action mAction = journal_action::Idle;
  segment_version mSealed;
  segment_version mVersion;
  std::string mBody;
  calendar_time mUntil;
};

/// What the object API answered to a step.
enum class store_response
{
  Ok,
  NotFound,
  Conflict,    ///< the condition did not hold; no effect
  Unknown,     ///< a write may have taken effect, or may still
  Unavailable, ///< no effect
};

struct journal_reply
{
  store_response mResponse = store_response::Unavailable;
  segment_version mVersion; ///< of the object read or written
  std::string mBody;        ///< of the object read
};

/// The entry that frees a claim's key.
journal::entry MakeRelease(const claim_request& aClaim);

/// The claims of one process in one partition. Next() and HandleReply() alternate; the other calls may come at any
/// time.
class claim_journal
{
public:
  explicit claim_journal(claim_limits aLimits = {})
    : mLimits(aLimits)
  {
  }
  /// Asks for a claim; its decision comes from TakeDecisions().
  void Claim(claim_request aRequest);
  /// Writes the answer to the call that ran under a claim that was won.
  void WriteResult(const claim_request& aClaim, journal::answer aResponse, calendar_time aNow);
  /// Frees the key of a claim that was won and whose call surely was not handed over.
  void Release(const claim_request& aClaim, calendar_time aNow);

  /// The next step. Read the clock after the last step's reply.
  journal_step Next(calendar_time aNow);
  /// Takes the reply to the last step, unless that was Idle or Wait.
  void HandleReply(journal_reply aReply, calendar_time aNow);

  std::vector<claim_decision> TakeDecisions() { return std::exchange(mDecisions, {}); }
  std::vector<write_report> TakeReports() { return std::exchange(mReports, {}); }
  /// Tells whether claims are refused at once because the platform has just failed.
  bool IsBackingOff(calendar_time aNow) const;
  /// Memory that the open segment and the filters take, in bytes and roughly.
  std::size_t MemoryBytes() const;

private:
  struct pending_claim
  {
    claim_request mRequest;
    std::uint64_t mAddedAtStep = 0; ///< mOpenSteps when it was added
    unsigned mConflicts = 0;
    std::optional<segment_version> mUncertainAt;       ///< condition of a write with it that may have taken effect
    bool mIsInJournal = false;                         ///< it was seen in the journal
    claim_entries mSealedEntries;                      ///< entries of its key in sealed segments
    std::unordered_set<segment_version> mReadSegments; ///< sealed segments that were read for it
  };
  struct pending_write
  {
    journal::entry mEntry;
    calendar_time mDeadline;
    bool mIsReported = false;
  };
  struct sealed_info
  {
    claim_filter mFilter;
    bool mResultsDropped = false;
  };
  /// A claim that was refused while a write with it was uncertain; released if it is ever seen.
  struct abandoned_claim
  {
    journal::entry mRelease;
    segment_version mVersion; ///< that the uncertain write was conditional on
    calendar_time mDeadline;
  };
  /// An update of the open segment.
  struct batch
  {
    std::vector<journal::entry> mEntries;
    std::vector<journal::sealed_segment> mSealed; ///< the list that it leaves
    bool mIsSealing = false;                      ///< the entries before it are in a sealed copy
  };

  void Decide(const pending_claim& aClaim, claim_status aVerdict, const journal::entry* aResult = nullptr);
  /// Reads again, after a rest, what other processes keep changing: a read costs less than an update that fails.
  void RefreshContended();
  void AddWrite(journal::entry aEntry, calendar_time aNow);
  journal_step BackoffStep() const;
  std::optional<journal_step> NextActive(calendar_time aNow);
  bool HasWork() const { return !mClaims.empty() || !mWrites.empty() || !mAbandoned.empty(); }
  /// What updates are conditional on; 0 while the open segment does not exist.
  segment_version Condition() const { return mVersion.value_or(segment_version()); }
  claim_entries FindEntries(const pending_claim& aClaim) const;
  bool HasExpiredResults(segment_version aVersion, calendar_time aNow) const;
  void HandleRewrite(const journal_reply& aReply, calendar_time aNow);
  void GiveUpWrites(calendar_time aNow);
  void Abandon(const pending_claim& aClaim, calendar_time aNow);
  void FailPending(calendar_time aNow);
  void StartBackoff(calendar_time aNow);

  std::optional<journal_step> NextRead(calendar_time aNow);
  std::optional<journal_step> DecideAll(calendar_time aNow);
  std::optional<journal_step> DecideOne(const pending_claim& aClaim, calendar_time aNow, bool& aDecided);
  std::optional<journal_step> DecideHeldKey(const pending_claim& aClaim, const claim_state& aState);
  std::optional<segment_version> UncheckedSegment(const pending_claim& aClaim, calendar_time aNow) const;
  bool IsFresh(const pending_claim& aClaim) const { return mConfirmedAtStep > aClaim.mAddedAtStep; }
  bool NeedsFencingWrite() const;
  std::vector<journal::entry> GatherEntries() const;
  std::vector<journal::sealed_segment> GatherSealed(calendar_time aNow) const;
  std::optional<journal_step> NextWrite(calendar_time aNow);
  journal_step CopyStep() const;
  journal_step UpdateStep(std::vector<journal::entry> aEntries, bool aIsSealing, calendar_time aNow);
  std::optional<journal_step> NextCleanup(calendar_time aNow);

  void HandleOpen(const journal_reply& aReply, calendar_time aNow);
  void HandleSealed(const journal_reply& aReply, calendar_time aNow);
  void CollectForPending(const std::vector<journal::entry>& aEntries);
  void HandleUpdate(const journal_reply& aReply, calendar_time aNow);
  void HandleCopy(const journal_reply& aReply, calendar_time aNow);
  void CommitBatch(segment_version aVersion);
  void ReplaceSealed();
  void HandleConflict();
  void Observe(const std::vector<journal::entry>& aEntries, calendar_time aNow);
  void ReportWritten(const std::vector<journal::entry>& aEntries);
  void ResolveUncertain();
  void ForgetUnlisted();
  bool IsListed(segment_version aVersion) const;

  claim_limits mLimits;
  std::vector<pending_claim> mClaims;
  std::deque<pending_write> mWrites;
  std::vector<abandoned_claim> mAbandoned;
  std::vector<claim_decision> mDecisions;
  std::vector<write_report> mReports;

  open_segment mOpen;
  std::optional<segment_version> mVersion; ///< of mOpen; nothing while the object does not exist
  bool mIsOpenCurrent = false;             ///< mOpen was read and nothing speaks against it
  bool mIsContended = false;               ///< another process wrote since this one did; read before writing
  std::uint64_t mOpenSteps = 0;            ///< of the last step on the open segment
  std::uint64_t mConfirmedAtStep = 0;      ///< of the last such step that showed mOpen to be current
  std::unordered_map<segment_version, sealed_info> mSealed;
  std::optional<segment_version> mCopiedVersion;  ///< version of the open segment whose sealed copy exists
  std::optional<segment_version> mMissingSegment; ///< a listed segment that was not found
  std::vector<segment_version> mGarbage;          ///< sealed segments that no list names any more
  std::optional<journal_step> mRewrite;           ///< of a sealed segment, without its expired results
  journal_action mAction = journal_action::Idle;  ///< of the last step
  segment_version mActionSealed;                  ///< segment of the last step
  batch mBatch;
  calendar_time mBackoffUntil;
};

} // namespace chervilpulley::policy
