#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <unordered_map>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Identifies requests that crash backend servers, so that a retried faulty request does not crash one backend server
/// after another. Harmless requests that merely shared a batch with a faulty one are not blocked.
namespace chervilpulley::policy {

/// How strongly a request is suspected of crashing backend servers. The values are exchanged between processes; when
/// two differ, the greater one holds.
enum class suspicion : std::uint8_t
{
  None = 0,
  Suspect = 1,  ///< ran on a server that crashed: may run only where no other suspect runs
  Isolated = 2, ///< ran on a server that crashed again: may run only where nothing else runs
  Refused = 3,  ///< crashed a server on which it ran alone: fails for good
};

/// The suspicion of one request, as reported to other processes.
struct suspect_report
{
  request_digest mDigest;
  suspicion mLevel = suspicion::None;
  duration mTimeLeft{ 0 }; ///< until it expires
};

/// Whether a request may start on this backend server.
enum class start_verdict
{
  Start,
  Deferred, ///< `not_run`: may start on another server, or here later
  Refused,  ///< `failed`: final
};

/// Time for which a request is suspected after its last crash.
inline constexpr duration kSuspicionTime = std::chrono::minutes(10);
/// Maximum time for which a busy backend server accepts no other requests while an isolated request waits for it.
inline constexpr duration kIsolationReserveTime = std::chrono::seconds(30);

/// The suspected requests that one process knows of, and the requests that run on its own backend server. A request
/// that shared a batch with others in one crash may be harmless, and so may one with two such crashes, if another
/// faulty request ran beside it. Therefore only a crash while it runs alone blocks a request.
class crash_suspects
{
public:
  /// aCapacity is the maximum number of suspected requests; beyond it those of the lowest level are dropped first.
  explicit crash_suspects(std::size_t aCapacity = 4096);
  crash_suspects(const crash_suspects&) = delete;
  crash_suspects& operator=(const crash_suspects&) = delete;
  ~crash_suspects();

  /// Current suspicion of a request.
  suspicion Level(request_digest aDigest, instant aNow);
  /// Decides whether a request may start here now. aSuspect: the sender reports it as a suspect. An isolated request
  /// that finds the server busy keeps others from starting until the server is free for it, for at most
  /// kIsolationReserveTime.
  start_verdict Check(request_digest aDigest, bool aSuspect, instant aNow);
  /// Records that a request runs on this backend server. The same digest may run several times at once.
  void Started(request_digest aDigest, instant aNow);
  /// Records that a request no longer runs. aCompleted: its output was complete, which clears it of suspicion.
  void Finished(request_digest aDigest, bool aCompleted);
  /// Clears a request of suspicion, because its output was complete here or elsewhere. A refused request stays refused.
  void Cleared(request_digest aDigest);
  /// Records that the backend server crashed, so that nothing runs on it now. Returns the reports for other processes.
  std::vector<suspect_report> BackendCrashed(instant aNow);
  /// Records that a request was running on another backend server when that crashed (an entry detects this on its
  /// stream). Returns the new level. aAlone is false where the entry cannot know.
  suspicion CrashedElsewhere(request_digest aDigest, bool aAlone, instant aNow);
  /// Merges a report of another process.
  void Merge(const suspect_report& aReport, instant aNow);
  /// Reports of all suspected requests, for a process that requests them.
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
  void Forget(suspect_entry& aSuspectEntry);
  void EvictIfFull();
  void Set(request_digest aDigest, suspicion aLevel, instant aUntil);
  bool IsReservedFor(request_digest aDigest, instant aNow) const;
  bool IsSuspectRunning(instant aNow);
  start_verdict CheckIsolated(request_digest aDigest, instant aNow);

  std::size_t mCapacity;
  std::unordered_map<request_digest, suspect_entry> mSuspects;
  std::array<suspect_list, 3> mByLevel; ///< by level, each in order of mUntil
  std::unordered_map<request_digest, std::uint32_t> mRunning;
  std::size_t mRunningCount = 0;
  request_digest mReservedFor; ///< the isolated request for which the server is reserved
  instant mReservedUntil;
  request_digest mIsolatedDigest; ///< the isolated request that runs, while mIsolatedRuns
  bool mIsolatedRuns = false;
};

} // namespace chervilpulley::policy
