#pragma once

#include <map>
#include <set>
#include <vector>

#include "policy/member_table.h"

/// Detects requests that crash the backend servers that start to run them. Guards against a request that is retried
/// through any gateway and crashes a backend server each time. A crash counts against a request only if its run was
/// interrupted before it produced any output and that server then restarts or disappears from the list. A successful
/// response to the same request clears its record, so that a request that merely ran on a server when it crashed is not
/// blocked.
namespace chervilpulley::policy {

/// A request that has crashed this many servers is blocked; the users' rules set this limit.
inline constexpr std::size_t kMaxCrashes = 3;
/// A request is forgotten this long after the last server that it crashed.
inline constexpr duration kCrashRecordLife = std::chrono::minutes(10);
/// Time within which a crashed server is listed anew or drops off the list: it restarts within some seconds.
inline constexpr duration kCrashConfirmationTime = std::chrono::seconds(10);
/// Maximum number of requests with a record.
inline constexpr std::size_t kMaxCrashRecords = 1024;

/// A request that crashed a backend server.
struct crash_finding
{
  request_digest mDigest;
  server_start mServer;
};

/// The crashes that each request caused, and interrupted runs that may turn out to be crashes.
class crash_record
{
public:
  /// Records that a run was interrupted before it produced any output.
  void RunInterrupted(request_digest aDigest, const server_start& aServer, instant aNow);
  /// Confirms or drops interrupted runs and forgets old records.
  /// @param aIsUp returns whether that process of a server is still listed.
  /// @return new findings, to be sent to other gateways.
  template<class IsUp>
  std::vector<crash_finding> TimePassed(IsUp aIsUp, instant aNow)
  {
    std::vector<crash_finding> found;
    std::erase_if(mUnconfirmedRuns, [&](const interrupted_run& aRun) {
      if (!aIsUp(aRun.mFinding.mServer)) {
        if (Crashed(aRun.mFinding, aNow)) {
          found.push_back(aRun.mFinding);
        }
        return true;
      }
      return aNow - aRun.mInterruptedAt > kCrashConfirmationTime;
    });
    std::erase_if(mRecords, [&](const auto& aEntry) { return aNow - aEntry.second.mLastCrashAt > kCrashRecordLife; });
    return found;
  }
  /// Records a finding of this or another gateway; returns false when it was already known.
  bool Crashed(const crash_finding& aFinding, instant aNow);
  /// Clears the record after a successful response; returns true when there was one.
  bool Cleared(request_digest aDigest);
  /// Whether the request has crashed too many servers to be run again.
  bool IsBlocked(request_digest aDigest) const;

private:
  struct interrupted_run
  {
    crash_finding mFinding;
    instant mInterruptedAt;
  };
  struct record
  {
    std::set<server_start> mServers;
    instant mLastCrashAt;
  };

  void EvictRecord();

  std::vector<interrupted_run> mUnconfirmedRuns;
  std::map<request_digest, record> mRecords;
};

} // namespace chervilpulley::policy
