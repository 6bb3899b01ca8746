#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "base/ref_counted.h"
#include "base/sharded_map.h"
#include "policy/crash_suspects.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"

/// What an entry lets pass: rate limits, retries, and requests that end engines.
namespace chervilpulley::entry {

/// Whether a request may run, as far as it is suspected of ending engines.
enum class guard_verdict
{
  Run,
  RunAsSuspect, ///< only where no other suspect runs
  PeerTrial,    ///< another entry is finding out about it now
  Refused       ///< it ended two engines; final
};

/// Thread-safe.
class request_guard : public ref_counted
{
public:
  /// Called when other entries must know of a crash; must not block.
  using crash_callback = std::function<void(request_digest, std::uint32_t aCrashes)>;
  explicit request_guard(crash_callback aOnCrash);

  /// A request of the workspace asks to pass its rate limit. Returns the time to come back after when it may not.
  /// @param aPerSecond limit of the workspace over all entries; 0 is none.
  std::optional<duration> ConsumeRate(const workspace_id& aWorkspace, std::uint32_t aPerSecond, instant aNow);
  /// Number of entries that share the limits.
  void SetEntryCount(std::size_t aCount) { mEntryCount = aCount; }

  void RequestArrived(instant aNow);
  /// Asks to run a request again of which the caller has nothing yet.
  bool TryRetry(instant aNow);
  /// A stream goes on elsewhere.
  void Recovered(instant aNow);

  guard_verdict Check(request_digest aDigest, instant aNow);
  /// An engine ended while it ran the request. Returns the verdict that holds now.
  guard_verdict Crashed(request_digest aDigest, instant aNow);
  /// A suspect's answer was whole.
  void Cleared(request_digest aDigest, instant aNow);
  /// Another entry saw the request end an engine.
  void CrashedAtPeer(request_digest aDigest, std::uint32_t aCrashes, instant aNow);

private:
  guard_verdict VerdictOf(policy::suspicion aLevel) const;

  crash_callback mOnCrash;
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
  std::unordered_map<request_digest, instant> mPeerTrials; ///< until when
};

} // namespace chervilpulley::entry
