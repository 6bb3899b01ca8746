#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <unordered_map>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Finds the request that crashes backend servers, without condemning those that shared a batch with it.
namespace chervilpulley::policy {

/// What is held against a request. The values travel between processes and are merged by the greatest.
enum class suspicion : std::uint8_t
{
  None = 0,
  Suspect = 1,  ///< ran on a server that crashed: runs where no other suspect runs
  Isolated = 2, ///< did so again: runs where nothing else runs
  Refused = 3,  ///< crashed a server on which it ran alone: final answer
};

/// A suspect_entry that is passed on to other processes.
struct suspect_report
{
  request_digest mDigest;
  suspicion mLevel = suspicion::None;
  duration mTimeLeft{ 0 }; ///< until it is forgotten
};

/// Whether a request may start on this backend server.
enum class start_verdict
{
  Start,
  Deferred, ///< `not_run`: another server, or a later time, may take it
  Refused,  ///< `failed`: final
};

/// Time for which a suspect_entry holds after its last crash.
inline constexpr duration kSuspicionTime = std::chrono::minutes(10);
/// Time for which a backend server is kept free for an isolated request that waits for it.
inline constexpr duration kIsolationReserveTime = std::chrono::seconds(30);

/// Findings of one process, and what runs on its own backend server. A request with one crash in company may be
/// innocent, and so may one with two, if a second faulty request ran beside it; so only a crash alone condemns.
class crash_suspects
{
public:
  explicit crash_suspects(std::size_t aCapacity = 4096);
  crash_suspects(const crash_suspects&) = delete;
  crash_suspects& operator=(const crash_suspects&) = delete;
  ~crash_suspects();

  /// What is held against a request.
  suspicion Level(request_digest aDigest, instant aNow);
  /// Whether it may start here now. aSuspect: the sender holds it for a suspect. An isolated request that finds the
  /// server busy keeps others from starting until the server is free for it, for kIsolationReserveTime at most.
  start_verdict Check(request_digest aDigest, bool aSuspect, instant aNow);
  /// It runs on this backend server. The same digest may run several times.
  void Started(request_digest aDigest, instant aNow);
  /// It runs no longer. aCompleted: its answer was whole, which clears it.
  void Finished(request_digest aDigest, bool aCompleted);
  /// Its answer was whole, here or elsewhere: it is no suspect any more, unless it is refused.
  void Cleared(request_digest aDigest);
  /// The backend server crashed: nothing runs on it now. Returns what others should know.
  std::vector<suspect_report> BackendCrashed(instant aNow);
  /// A request was running elsewhere when a backend server crashed (an entry learns it from its stream). Returns the
  /// level that now holds. aAlone is false where the entry can't know.
  suspicion CrashedElsewhere(request_digest aDigest, bool aAlone, instant aNow);
  /// A suspect_entry of another process.
  void Merge(const suspect_report& aReport, instant aNow);
  /// All findings, for a process that asks.
  std::vector<suspect_report> Reports(instant aNow);
  std::size_t Size() const { return mSuspects.size(); }

private:
  struct suspect_entry : boost::intrusive::list_base_hook<>
  {
    request_digest mDigest;
    suspicion mLevel = suspicion::None;
    instant mUntil;
  };
  using suspect_list = boost::intrusive::list<suspect_entry>;

  suspect_list& ListOf(suspicion aLevel) { return mByLevel[static_cast<std::size_t>(aLevel) - 1]; }
  void Expire(instant aNow);
  void Forget(suspect_entry& aFinding);
  void EvictIfFull();
  void Set(request_digest aDigest, suspicion aLevel, instant aUntil);
  bool IsReservedFor(request_digest aDigest, instant aNow) const;
  bool IsSuspectRunning(instant aNow);
  start_verdict CheckIsolated(request_digest aDigest, instant aNow);

  std::size_t mCapacity;
  std::unordered_map<request_digest, suspect_entry> mSuspects;
  std::array<suspect_list, 3> mByLevel; ///< each in order of mUntil, as far as findings of others allow
  std::unordered_map<request_digest, std::uint32_t> mRunning;
  std::size_t mRunningCount = 0;
  request_digest mReservedFor; ///< the isolated request that waits for the server
  instant mReservedUntil;
  request_digest mIsolatedDigest; ///< the isolated request that runs
  bool mIsolatedRuns = false;
};

} // namespace chervilpulley::policy
