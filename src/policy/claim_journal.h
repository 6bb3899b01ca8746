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

/// Claims on idempotency keys in one partition of a route's journal, so that a request which is retried, also through
/// another instance, runs at most once. A state machine without I/O, clock or lock.
///
/// A partition has one open segment, which is changed by conditional update and never deleted, and the sealed segments
/// that the open one lists. An update that succeeds at a version proves that no claim was added since that version was
/// read, so a key that no listed segment contains is claimed at most once. A claim is kept for as long as its key may
/// be used again.
namespace chervilpulley::policy {

/// Size limits, in encoded bytes. Their sum stays below the largest object that the platform stores.
struct claim_limits
{
  std::size_t mSegmentBytes = 128U << 10U;  ///< size at which the open segment is sealed
  std::size_t mBatchBytes = 256U << 10U;    ///< added by one update, unless a single entry is larger
  std::size_t mResponseBytes = 512U << 10U; ///< largest response that is stored, with its headers
};

/// Time after a failure of the platform during which claims are refused without a call to it.
inline constexpr std::chrono::milliseconds kPlatformBackoff{ 500 };
/// Time for which the write of a result or release is retried.
inline constexpr std::chrono::milliseconds kWriteRetryTime = std::chrono::minutes(10);
/// Update conflicts after which a claim is refused as unavailable.
inline constexpr unsigned kMaxClaimConflicts = 32;

/// A claim that a process requests.
struct claim_request
{
  claim_key mKey;
  claim_id mId;
  body_digest mBody;
  claim_lifetime mLifetime;
};

/// Outcome of a claim request.
enum class claim_status
{
  Won,         ///< the claim is in the journal; the call may run
  HasResult,   ///< another claim of the key has a result
  NoResult,    ///< another claim of the key has no result; its call may have run
  KeyReused,   ///< the key was claimed with another body
  TooOld,      ///< the key is older than the retention
  Unavailable, ///< the claim could not be made; no call ran under it
};

/// The outcome of one claim request.
struct claim_decision
{
  claim_id mId;
  claim_status mStatus = claim_status::Unavailable;
  std::optional<journal::answer> mResponse; ///< set with HasResult only
};

/// Progress of the write of a result or a release.
enum class write_state
{
  Written,
  Deferred, ///< the platform failed; the write is retried
  GivenUp   ///< kWriteRetryTime has passed
};

/// Report on a write; a deferred one is reported again when it ends.
struct write_report
{
  claim_id mId;
  write_state mState = write_state::Written;
};

/// The next operation on the object API.
enum class journal_action
{
  Idle,         ///< nothing to do
  Wait,         ///< call Next() again at mUntil
  ReadOpen,     ///< get the open segment
  CreateOpen,   ///< create the open segment
  UpdateOpen,   ///< update the open segment at mVersion
  ReadSealed,   ///< get sealed segment mSealed
  CreateSealed, ///< create sealed segment mSealed
  UpdateSealed, ///< update sealed segment mSealed at mVersion
  DeleteSealed  ///< delete sealed segment mSealed at any version
};

/// An operation for the caller to carry out, with its arguments.
struct journal_step
{
  journal_action mAction = journal_action::Idle;
  segment_version mSealed;
  segment_version mVersion;
  std::string mBody;
  calendar_time mUntil;
};

/// Outcome of an operation on the object API.
enum class store_response
{
  Ok,
  NotFound,
  Conflict,    ///< the condition did not hold; no effect
  Unknown,     ///< a write may have taken effect, or may do so later
  Unavailable, ///< no effect
};

/// The object API's reply to a step.
struct journal_reply
{
  store_response mResponse = store_response::Unavailable;
  segment_version mVersion; ///< of the object read or written
  std::string mBody;        ///< of the object read
};

/// Makes the journal entry that releases a claim, so that its key can be claimed again.
journal::entry MakeRelease(const claim_request& aClaim);

/// The claims of one process in one partition. Calls of Next() and HandleReply() alternate; the other methods may be
/// called at any time.
class claim_journal
{
public:
  explicit claim_journal(claim_limits aLimits = {})
    : mLimits(aLimits)
  {
  }
  /// Requests a claim; TakeDecisions() returns the decision later.
  void Claim(claim_request aRequest);
  /// Writes the response to the call that ran under a won claim.
  void WriteResult(const claim_request& aClaim, journal::answer aResponse, calendar_time aNow);
  /// Releases a won claim whose call was certainly not dispatched.
  void Release(const claim_request& aClaim, calendar_time aNow);

  /// Returns the next step. aNow must be read after the reply to the last step arrived.
  journal_step Next(calendar_time aNow);
  /// Handles the reply to the last step. Not called after Idle or Wait.
  void HandleReply(journal_reply aReply, calendar_time aNow);

  std::vector<claim_decision> TakeDecisions() { return std::exchange(mDecisions, {}); }
  std::vector<write_report> TakeReports() { return std::exchange(mReports, {}); }
  /// Whether claims are refused immediately because the platform failed within kPlatformBackoff.
  bool IsBackingOff(calendar_time aNow) const;
  /// Approximate memory use of the open segment and the filters, in bytes.
  std::size_t MemoryBytes() const;

private:
  /// A claim request without a decision.
  struct pending_claim
  {
    claim_request mRequest;
    std::uint64_t mAddedAtStep = 0; ///< mOpenSteps when the request was added
    unsigned mConflicts = 0;
    std::optional<segment_version> mUncertainAt;       ///< condition of its write that may have taken effect
    bool mIsInJournal = false;                         ///< the claim was read back from the journal
    claim_entries mSealedEntries;                      ///< entries of the key in sealed segments
    std::unordered_set<segment_version> mReadSegments; ///< sealed segments already read for this claim
  };
  /// A result or release that is not yet in the journal.
  struct pending_write
  {
    journal::entry mEntry;
    calendar_time mDeadline;  ///< after it, the write is given up
    bool mIsReported = false; ///< as deferred
  };
  /// What is kept in memory of a sealed segment.
  struct sealed_info
  {
    claim_filter mFilter;
    bool mResultsDropped = false; ///< its expired results are removed from the stored object
  };
  /// A claim that was refused while the effect of its write was unknown. It is released if it appears in the journal.
  struct abandoned_claim
  {
    journal::entry mRelease;
    segment_version mVersion; ///< condition of the write whose effect is unknown
    calendar_time mDeadline;
  };
  /// An update of the open segment.
  struct batch
  {
    std::vector<journal::entry> mEntries;
    std::vector<journal::sealed_segment> mSealed; ///< list of sealed segments after the update
    bool mIsSealing = false;                      ///< the update drops the entries that the sealed copy contains
  };

  void Decide(const pending_claim& aClaim, claim_status aStatus, const journal::entry* aResult = nullptr);
  /// Requires a read of the open segment after an idle time if other processes keep changing it: a read costs less than
  /// an update that fails.
  void RefreshContended();
  void AddWrite(journal::entry aEntry, calendar_time aNow);
  journal_step BackoffStep() const;
  std::optional<journal_step> NextActive(calendar_time aNow);
  bool HasPending() const { return !mClaims.empty() || !mWrites.empty() || !mAbandoned.empty(); }
  /// The version that updates are conditional on; 0 while the open segment does not exist.
  segment_version Condition() const { return mVersion.value_or(segment_version()); }
  claim_entries FindEntries(const pending_claim& aClaim) const;
  bool HasExpiredResults(segment_version aVersion, calendar_time aNow) const;
  void HandleRewrite(const journal_reply& aReply, calendar_time aNow);
  void GiveUpWrites(calendar_time aNow);
  /// Remembers a refused claim whose write may have taken effect, to release it if it appears in the journal.
  void Abandon(const pending_claim& aClaim, calendar_time aNow);
  /// Refuses the pending claims as unavailable, except those found in the journal, and reports the writes as deferred.
  void FailPending(calendar_time aNow);
  void StartBackoff(calendar_time aNow);

  std::optional<journal_step> NextRead(calendar_time aNow);
  std::optional<journal_step> DecideAll(calendar_time aNow);
  /// Decides a claim. Returns a step if a read is needed first; aDecided stays false if the key is free, so that the
  /// claim has to be written.
  std::optional<journal_step> DecideOne(const pending_claim& aClaim, calendar_time aNow, bool& aDecided);
  /// Decides a claim whose key is held by another claim.
  std::optional<journal_step> DecideHeldKey(const pending_claim& aClaim, const claim_state& aState);
  /// A sealed segment that may contain the key and was not read for this claim yet.
  std::optional<segment_version> FindUnreadSegment(const pending_claim& aClaim, calendar_time aNow) const;
  /// Whether mOpen was shown to be current after the claim was requested.
  bool IsConfirmedSinceAdded(const pending_claim& aClaim) const { return mConfirmedAtStep > aClaim.mAddedAtStep; }
  /// Whether a write of an abandoned claim may still take effect. Any update of the open segment prevents that, since
  /// it changes the version that the write is conditional on.
  bool NeedsFencingWrite() const;
  std::vector<journal::entry> CollectBatchEntries() const;
  std::vector<journal::sealed_segment> CollectListedSegments(calendar_time aNow) const;
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
  /// Another process updated the open segment first.
  void HandleConflict();
  /// Finds the own claims, results and releases among entries that were read.
  void ObserveEntries(const std::vector<journal::entry>& aEntries, calendar_time aNow);
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
  bool mIsOpenCurrent = false;             ///< mOpen was read and is not known to be out of date
  bool mIsContended = false;               ///< another process wrote after this one; read before writing
  std::uint64_t mOpenSteps = 0;            ///< number of steps on the open segment so far
  std::uint64_t mConfirmedAtStep = 0;      ///< value of mOpenSteps when a step last showed mOpen to be current
  std::unordered_map<segment_version, sealed_info> mSealed;
  std::optional<segment_version> mCopiedVersion;  ///< version of the open segment whose sealed copy exists
  std::optional<segment_version> mMissingSegment; ///< a listed segment that was not found
  std::vector<segment_version> mGarbage;          ///< sealed segments that are no longer listed; to be deleted
  std::optional<journal_step> mRewrite;           ///< update of a sealed segment that drops its expired results
  journal_action mAction = journal_action::Idle;  ///< action of the last step
  segment_version mActionSealed;                  ///< segment of the last step
  batch mBatch;
  calendar_time mBackoffUntil;
};

} // namespace chervilpulley::policy
