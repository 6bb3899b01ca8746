#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "base/ref_counted.h"
#include "base/sharded_map.h"
#include "policy/crash_record.h"
#include "policy/crash_suspects.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"

/// Admission checks of an entry: rate limits of workspaces, the retry budget, and requests that crash engines. They
/// keep floods, retry storms and faulty requests from overloading or crashing the engines.
namespace chervilpulley::entry {

/// Whether a request may run, given how strongly it is suspected of crashing engines.
enum class guard_verdict
{
  Run,
  RunAsSuspect, ///< may run only where no other suspect runs
  PeerTrial,    ///< wait: another entry is retrying it, which shows whether it crashes an engine again
  Refused       ///< it crashed two engines; final
};

/// The admission checks of one entry. Thread-safe.
class request_guard : public ref_counted
{
public:
  /// Called to report a crash to the other entries; must not block.
  using crash_callback = std::function<void(request_digest, std::uint32_t aCrashes)>;
  /// Called to report the traits of a request under which an engine crashed to the other entries; must not block.
  using traits_callback = std::function<void(const std::vector<run_trait>&)>;
  explicit request_guard(crash_callback aOnCrash, traits_callback aOnTraits = {});

  /// Counts a request against the rate limit of its workspace. Returns the retry-after time if the limit is exceeded,
  /// nullopt if the request may pass.
  /// @param aPerSecond limit of the workspace across all entries; 0 means no limit.
  std::optional<duration> ConsumeRate(const workspace_id& aWorkspace, std::uint32_t aPerSecond, instant aNow);
  /// Sets the number of entries that share the limits.
  void SetEntryCount(std::size_t aCount) { mEntryCount = aCount; }

  /// Credits the retry budget for a new request.
  void RequestArrived(instant aNow);
  /// Charges the retry of a request that has delivered nothing to the caller yet. False: it must not be retried.
  bool TryRetry(instant aNow);
  /// Charges the resumption of a stream on other sidecars; it is never refused.
  void Recovered(instant aNow);

  /// Decides whether a request may run now.
  guard_verdict Check(request_digest aDigest, instant aNow);
  /// Records that an engine crashed while it ran the request, and reports it to the other entries. Returns the new
  /// verdict.
  guard_verdict Crashed(request_digest aDigest, instant aNow);
  /// Clears a suspect: it ran past the position at which the engine crashed. A refused request stays refused.
  void Cleared(request_digest aDigest, instant aNow);
  /// Records a crash that another entry reported, with the number of crashes that it counts for the request.
  void CrashedAtPeer(request_digest aDigest, std::uint32_t aCrashes, instant aNow);

  /// Returns the time for which requests with one of these traits are blocked, because several engines crashed under
  /// it; nothing when the request may run.
  std::optional<duration> BlockedFor(const std::vector<run_trait>& aTraits, instant aNow);
  /// Records that an engine crashed under a request that had no output, and reports it to the other entries. Returns
  /// whether the request must not be retried, because one of its traits is blocked or would be by another crash.
  bool EngineCrashed(const std::vector<run_trait>& aTraits, const std::string& aEngine, instant aNow);
  /// Clears the traits of a request that has output.
  void Produced(const std::vector<run_trait>& aTraits, instant aNow);
  /// Records a crash that another entry reported with the traits of its request.
  void EngineCrashedAtPeer(const std::vector<run_trait>& aTraits, instant aNow);

private:
  guard_verdict VerdictOf(policy::suspicion aLevel) const;

  crash_callback mOnCrash;
  traits_callback mOnTraits;
  std::atomic<std::size_t> mEntryCount{ 1 };
  struct locked_bucket : ref_counted
  {
    std::mutex mMutex;
    policy::rate_bucket mBucket;
  };
  sharded_map<workspace_id, ref<locked_bucket>> mBuckets;
  std::mutex mRetryMutex;
  policy::retry_budget mRetryBudget;
  std::mutex mSuspectMutex;
  policy::crash_suspects mSuspects;
  policy::crash_record mCrashRecord;
  std::unordered_map<request_digest, instant> mPeerTrials; ///< end of the wait for the other entry
};

} // namespace chervilpulley::entry
