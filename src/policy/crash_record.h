#pragma once

#include <map>
#include <set>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Requests that end the servers which begin to run them. It answers to a request that comes again and again through
/// any gateway and takes a server with it each time. A request is held against only when its run was cut off before
/// anything came of it and that server is then seen to have started anew, or to be gone; a good answer to the same
/// request clears it, so that one which only happened to be there when a server crashed is not condemned.
namespace chervilpulley::policy {

/// Servers that a request ends before it reaches no more; given by the users' rules.
inline constexpr std::size_t kMaxCrashes = 3;
/// Time for which a request is remembered after the last server that it ended.
inline constexpr duration kCrashMemory = std::chrono::minutes(10);
/// Time within which a server that crashed is listed anew or not at all: it is back after some seconds.
inline constexpr duration kCrashConfirmed = std::chrono::seconds(10);
/// Requests that are remembered at most.
inline constexpr std::size_t kMaxCrashRecords = 1024;

/// One start of a server.
struct server_start
{
  backend_id mId;
  std::uint64_t mStartedAt = 0;

  auto operator<=>(const server_start&) const =
    default; // NOLINT(modernize-use-nullptr): taken wrongly by clang-tidy 14
};

/// A request that ended a server.
struct crash_finding
{
  request_digest mDigest;
  server_start mServer;
};

class crash_record
{
public:
  /// A run was cut off before anything came of it.
  void RunInterrupted(request_digest aDigest, const server_start& aServer, instant aNow);
  /// @param aIsUp whether that start of a server is still listed.
  /// @return findings that are new, to be passed on to other gateways.
  template<class IsUp>
  std::vector<crash_finding> TimePassed(IsUp aIsUp, instant aNow)
  {
    std::vector<crash_finding> found;
    std::erase_if(mOpen, [&](const open_run& aRun) {
      if (!aIsUp(aRun.mFinding.mServer)) {
        if (Crashed(aRun.mFinding, aNow)) {
          found.push_back(aRun.mFinding);
        }
        return true;
      }
      return aNow - aRun.mCutAt > kCrashConfirmed;
    });
    std::erase_if(mRecords, [&](const auto& aEntry) { return aNow - aEntry.second.mLast > kCrashMemory; });
    return found;
  }
  /// A finding, of this gateway or of another one; false when it was known.
  bool Crashed(const crash_finding& aFinding, instant aNow);
  /// A good answer came; true when something was held against the request.
  bool Cleared(request_digest aDigest);
  bool IsBlocked(request_digest aDigest) const;

private:
  struct open_run
  {
    crash_finding mFinding;
    instant mCutAt;
  };
  struct record
  {
    std::set<server_start> mServers;
    instant mLast;
  };

  void MakeRoom();

  std::vector<open_run> mOpen;
  std::map<request_digest, record> mRecords;
};

} // namespace chervilpulley::policy
