#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/member_table.h"

/// Finds out what makes requests crash the backend servers that start to run them: the request itself, which is retried
/// through any gateway, or a part of its prompt that many different requests share. Innocent parts occur in the same
/// requests and run on the same servers, and servers also end for other reasons.
///
/// Each run has traits: the parts of its prompt that other requests may share, and the request as a whole. A crash
/// counts against all traits of a run that was interrupted before it produced output, once its server is known to have
/// ended. Output of any run with a trait clears it, since no run with a harmful one ever produces output. A trait with
/// several crashes in a row is blocked, unless a more specific one, which comes later in the prompts, may explain them.
/// Crashes that a blocked part explains count against nothing else.
namespace chervilpulley::policy {

/// A trait that has crashed this many servers in a row is blocked; the users' rules set this limit.
inline constexpr std::size_t kMaxCrashes = 3;
/// A trait is forgotten this long after the last server that it crashed, or after the end of its block.
inline constexpr duration kCrashRecordLife = std::chrono::minutes(10);
/// Time within which a crashed server is found lost, listed anew or drops off the list: it restarts within some
/// seconds.
inline constexpr duration kCrashConfirmationTime = std::chrono::seconds(10);
/// Servers that end within this time of each other, such as those of a rack, count as one crash against a part of a
/// prompt: a popular part runs on all of them.
inline constexpr duration kSameEventTime = std::chrono::milliseconds(100);
/// Length of the first block of a trait; each further one is twice as long.
inline constexpr duration kFirstBlockTime = std::chrono::minutes(2);
inline constexpr duration kMaxBlockTime = std::chrono::minutes(30);
/// After a block, one run with the trait may start in this time until one of them crashes a server or produces output.
inline constexpr duration kTrialInterval = std::chrono::seconds(2);
/// Maximum number of traits with a record.
inline constexpr std::size_t kMaxCrashRecords = 1024;
/// Minimum number of traits that are remembered to have had output; at most twice as many are.
inline constexpr std::size_t kOutputsRemembered = 4096;
/// Maximum number of servers that are remembered for a trait.
inline constexpr std::size_t kMaxCrashedServers = 64;

/// A run that was interrupted before it produced output, on a server that may have crashed.
struct interrupted_run
{
  std::vector<run_trait> mTraits; ///< parts of the prompt from first to last, then the request as a whole
  server_start mServer;
  instant mAt;          ///< when it was interrupted
  std::string mRequest; ///< id, for logs; empty when another gateway ran it
};

/// A trait that is blocked.
struct trait_block
{
  run_trait mTrait;
  std::size_t mCrashes = 0;
  duration mTimeLeft{ 0 }; ///< until a request with it may run again
  instant mSince;          ///< its first crash; output after that shows that the trait is harmless
};

/// What became of another gateway's block.
enum class block_verdict
{
  Adopted,
  Known,
  Contradicted ///< runs with the trait have had output since its first crash
};

/// The crashes that count against each trait, and interrupted runs that may turn out to be crashes.
class crash_record
{
public:
  /// @param aJitter fraction from 0 to 1 that spreads the ends of blocks over gateways, so that one of them tries a
  /// blocked trait again before the others.
  explicit crash_record(double aJitter = 0)
    : mJitter(aJitter)
  {
  }

  /// Records an interrupted run.
  void RunInterrupted(interrupted_run aRun);
  /// Returns the interrupted runs whose server has ended, and drops those whose server has not after
  /// kCrashConfirmationTime.
  /// @param aIsUp returns whether that process of a server may still be running.
  template<class IsUp>
  std::vector<interrupted_run> Confirm(IsUp aIsUp, instant aNow)
  {
    std::vector<interrupted_run> found;
    std::erase_if(mUnconfirmedRuns, [&](const interrupted_run& aRun) {
      if (!aIsUp(aRun.mServer)) {
        found.push_back(aRun);
        return true;
      }
      return aNow - aRun.mAt > kCrashConfirmationTime;
    });
    return found;
  }
  /// Counts a confirmed crash, found by this or another gateway. Returns the trait that is blocked because of it.
  std::optional<trait_block> Crashed(const interrupted_run& aRun, instant aNow);
  /// Blocks a trait that another gateway has blocked, unless that is a mistake.
  block_verdict Blocked(const trait_block& aBlock, instant aNow);
  /// Clears the traits of a run that has produced output at aAt; returns those that were suspected or blocked.
  std::vector<run_trait> Cleared(const std::vector<run_trait>& aTraits, instant aAt);
  /// When a run with a trait has last had output, as far as is remembered.
  std::optional<instant> LastOutput(run_trait aTrait) const;
  /// Returns the trait for which a new request must be refused now. After a block, lets single requests pass as trials.
  std::optional<trait_block> Admit(const std::vector<run_trait>& aTraits, instant aNow);
  /// Whether a request has a trait that is blocked, or that one more crash would block; such a request is not retried.
  bool IsSuspect(const std::vector<run_trait>& aTraits, instant aNow) const;
  /// Returns the blocked trait of a request that was admitted earlier.
  std::optional<trait_block> FindBlock(const std::vector<run_trait>& aTraits, instant aNow) const;
  /// Ends blocks and forgets old records.
  void TimePassed(instant aNow);
  /// All blocked traits.
  std::vector<trait_block> Blocks(instant aNow) const;

private:
  struct record
  {
    std::map<server_start, bool> mServers; ///< whether the crash counts; one at the same moment as another does not
    std::size_t mEarlierCrashes = 0;       ///< on other servers, or before the end of a block
    bool mIsPart = false;
    std::size_t mDepth = 0; ///< position in the prompt; the first parts are the most general ones
    instant mFirstCrashAt;
    instant mLastCrashAt;
    instant mLastCountedAt;
    std::optional<instant> mBlockedUntil;
    unsigned mBlocks = 0;
    instant mLastTrialAt;

    std::size_t Crashes() const;
    bool IsBlocked(instant aNow) const { return mBlockedUntil && *mBlockedUntil > aNow; }
  };
  using record_map = std::map<run_trait, record>;

  void Count(std::size_t aDepth, const interrupted_run& aRun);
  bool HasRival(run_trait aTrait, const record& aRecord) const;
  void Block(record& aRecord, instant aNow);
  void Explain(run_trait aPart);
  bool IsExplained(const server_start& aServer, instant aNow) const;
  trait_block ToBlock(run_trait aTrait, const record& aRecord, instant aNow) const;
  void EvictRecord();

  double mJitter;
  std::vector<interrupted_run> mUnconfirmedRuns;
  record_map mRecords;
  std::unordered_map<run_trait, instant> mOutputs; ///< last output by trait
  std::unordered_map<run_trait, instant> mOlderOutputs;
};

} // namespace chervilpulley::policy
