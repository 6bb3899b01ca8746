#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "policy/claim_journal.h"

/// Simulation of several claimants of one partition over one store, driven by a script of bytes, with a checker of the
/// invariants: a call runs at most once per key, and a retry gets the response of a run of its key.
namespace chervilpulley::policy::model {

/// Faults injected into a claimant; the checker must detect each of them.
enum class mutation
{
  None,
  ClaimWithoutResultIgnored, ///< a claim without a result is dropped when it is read
  NoResultRunsAgain,         ///< the call of a claim without a result is run again
  ResultIgnored,             ///< the call of a claim with a result is run again
  LostResponseIsSuccess,     ///< an update whose response was lost counts as successful
  ConflictIsSuccess,         ///< an update that had a conflict counts as successful
  ReleasedAfterDispatch,     ///< a claim is released although its call ran
  DispatchedAfterPause,      ///< a call is dispatched without checking that its claim is still valid
  SealedSegmentsIgnored,     ///< sealed segments are treated as empty
};

/// End of the fault message for a second run of a key.
inline constexpr std::string_view kRanTwice = "ran twice";

/// A stored object.
struct object
{
  std::string mBody;
  std::uint64_t mVersion = 0;
};

/// In-memory object API for one partition. Names: "open", and the version of each sealed segment.
class store
{
public:
  journal_reply Apply(const journal_step& aStep);
  std::size_t LargestBody() const { return mLargestBody; }

private:
  journal_reply Read(const std::string& aKey) const;
  journal_reply Write(const std::string& aKey, const std::string& aBody, std::uint64_t aCondition);

  std::map<std::string, object> mObjects;
  std::uint64_t mSequence = 0;
  std::size_t mLargestBody = 0;
};

/// A call that a claimant requested a claim for, and its progress.
struct call
{
  claim_request mRequest;
  std::optional<claim_status> mStatus;
  bool mRan = false;
};

/// Claimants, their calls and the store, with delayed and lost writes, crashes and jumps of the clock.
class simulation
{
public:
  static constexpr std::size_t kClaimants = 3;

  explicit simulation(mutation aMutation);
  /// Runs a script, then lets all claimants finish without further faults. Returns false if an invariant was violated.
  bool Run(const std::vector<std::uint8_t>& aScript);
  /// The first violation; empty if there is none.
  const std::string& Fault() const { return mFault; }
  std::size_t Runs() const { return mRuns.size(); }

private:
  struct claimant
  {
    claim_journal mJournal;
    std::optional<journal_step> mInFlight;
    bool mIsIdle = false;
    std::vector<std::uint64_t> mWonClaims; ///< claims whose calls may run and have not run yet
  };
  /// A call that ran.
  struct run
  {
    std::uint64_t mClaim = 0;
    calendar_time mClaimExpires;
    bool mIsKeyRefusedForever = false; ///< the key must never run again, even after the claim has expired
  };

  void RunEvent(std::uint8_t aAction, claimant& aClaimant, std::uint8_t aValue);
  void AdvanceClock(std::uint8_t aValue);
  void SubmitClaim(claimant& aClaimant, std::uint8_t aValue);
  void StartStep(claimant& aClaimant);
  void DeliverReply(claimant& aClaimant, journal_reply aReply);
  void CompleteStep(claimant& aClaimant);
  void LoseResponse(claimant& aClaimant, bool aIsLate);
  void ApplyDelayed();
  void Crash(claimant& aClaimant);
  void RunOne(claimant& aClaimant);
  void ReleaseOne(claimant& aClaimant);
  void TakeDecisions(claimant& aClaimant);
  void CheckDecision(claimant& aClaimant, call& aCall, const claim_decision& aDecision);
  void RunCall(claimant& aClaimant, call& aCall);
  void CheckResponse(const call& aCall, const journal::answer& aResponse);
  bool AreAllIdle() const;
  void Finish();
  void Fail(const std::string& aFault);
  static claim_journal MakeJournal();

  mutation mMutation;
  store mStore;
  std::deque<claimant> mClaimants;
  std::map<std::uint64_t, call> mCalls;
  std::multimap<std::string, run> mRuns;   ///< by key
  std::deque<journal_step> mDelayedWrites; ///< writes without a response that may still take effect
  calendar_time mNow{ std::chrono::hours(24 * 365 * 56) };
  std::uint64_t mNextClaim = 1;
  std::string mFault;
};

} // namespace chervilpulley::policy::model
