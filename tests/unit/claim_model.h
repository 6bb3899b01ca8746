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

/// Several claimants of one partition over one store, driven by a script of bytes, and the judge of what they do.
namespace chervilpulley::policy::model {

/// Ways to break a claimant; the judge must see each of them.
enum class mutation
{
  None,
  ClaimWithoutResultIgnored, ///< a claim without result counts for nothing once it was read
  NoResultRunsAgain,         ///< a claim without result is run again
  ResultIgnored,             ///< a claim with a result is run again
  LostResponseIsSuccess,     ///< an update whose answer was lost counts as made
  ConflictIsSuccess,         ///< an update that lost the race counts as made
  ReleasedAfterDispatch,     ///< a claim is released although its call ran
  DispatchedAfterPause,      ///< a call is handed over without asking whether its claim still stands
  SealedSegmentsIgnored,     ///< sealed segments are taken for empty
};

/// How a fault ends that names a second run.
inline constexpr std::string_view kRanTwice = "ran twice";

struct object
{
  std::string mBody;
  std::uint64_t mVersion = 0;
};

/// The object API for one partition: "open" and sealed segments by number.
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

/// What was asked of a claimant, and what became of it.
struct call
{
  claim_request mRequest;
  std::optional<claim_status> mStatus;
  bool mRan = false;
};

class simulation
{
public:
  static constexpr std::size_t kClaimants = 3;

  explicit simulation(mutation aMutation);
  /// Runs a script, then lets all claimants finish without faults. False when a promise was broken.
  bool Run(const std::vector<std::uint8_t>& aScript);
  const std::string& Fault() const { return mFault; }
  std::size_t Runs() const { return mRuns.size(); }

private:
  struct claimant
  {
    claim_journal mJournal;
    std::optional<journal_step> mInFlight;
    bool mIsIdle = false;
    std::vector<std::uint64_t> mWonClaims; ///< claims that were won and not yet run
  };
  struct run
  {
    std::uint64_t mClaim = 0;
    calendar_time mClaimExpires;
    bool mIsKeyRefusedForever = false;
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
  std::deque<journal_step> mDelayedWrites; ///< writes that may still take effect
  calendar_time mNow{ std::chrono::hours(24 * 365 * 56) };
  std::uint64_t mNextClaim = 1;
  std::string mFault;
};

} // namespace chervilpulley::policy::model
