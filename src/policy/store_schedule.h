#pragma once

#include <algorithm>
#include <chrono>

#include "chervilpulley/policy_types.h"
#include "policy/source_choice.h"

/// Divides the bounds within which a change in the platform's store has to take effect at an instance into the waits
/// and timeouts of the reads in between, and adds them up again for each way that a change can take.
namespace chervilpulley::policy {

/// Maximum delays until changes in the store take effect at an instance.
struct store_bounds
{
  duration mConfiguration{ 0 }; ///< from acceptance of a configuration until it is in force
  duration mKeys{ 0 };          ///< from acceptance of a key's removal until the key is refused
  duration mDrain{ 0 };         ///< from a backend server's leaving until it receives no more requests
};

/// Time that a read takes while the store is slow, including the delay on the way to it.
inline constexpr duration kSlowStoreRead = std::chrono::milliseconds(200);
/// Time by which the response of a watch may be late.
inline constexpr duration kWatchSlack = std::chrono::milliseconds(250);
/// Maximum wait of a watch. A connection may go silent without an error, and changes are then missed until it ends.
inline constexpr duration kMaxWatchWait = std::chrono::milliseconds(1500);
inline constexpr duration kMinWatchWait = std::chrono::milliseconds(100);
inline constexpr duration kMaxChangesPause = std::chrono::milliseconds(300);
/// Share of the bound for keys after which a relay's data counts as stale, whatever the other bounds are.
inline constexpr double kMaxRelayedKeyShare = 0.45;
inline constexpr duration kMaxReadTimeout = std::chrono::milliseconds(900);

/// Waits and timeouts for one set of bounds. One read may fail within each bound.
struct store_schedule
{
  duration mReadInterval;        ///< from one read of the configuration to the next
  duration mReadTimeout;         ///< of a read of the configuration that follows a successful one
  duration mMaxRelayedAge;       ///< time since the last confirmation after which a reader of a relay reads the store
  duration mChangesPause;        ///< after changes of the list, so that servers that register in turn need few calls
  duration mWatchWait;           ///< maximum wait of a watch of the list
  duration mWatchWaitAfterPause; ///< of one that follows such a pause

  explicit constexpr store_schedule(const store_bounds& aBounds)
    : mReadInterval(std::min(Share(aBounds.mConfiguration, 0.5), Share(aBounds.mKeys, 0.28)))
    , mReadTimeout(std::min(Share(aBounds.mConfiguration, 0.2), kMaxReadTimeout))
    , mMaxRelayedAge(std::clamp(duration(aBounds.mConfiguration - mReadTimeout - kInitialRetryBackoff - kSlowStoreRead),
                                duration::zero(),
                                Share(aBounds.mKeys, kMaxRelayedKeyShare)))
    , mChangesPause(std::min(Share(aBounds.mDrain, 0.15), kMaxChangesPause))
    , mWatchWait(WatchWait(aBounds.mDrain))
    , mWatchWaitAfterPause(WatchWait(aBounds.mDrain - mChangesPause))
  {
  }

  /// Longest time until a configuration is in force at an instance that reads the store.
  constexpr duration ConfigurationFromStore() const
  {
    return mReadInterval + mReadTimeout + kInitialRetryBackoff + kSlowStoreRead;
  }
  /// Longest time until a configuration is in force at a reader of relays, however many are between it and the store:
  /// ages are passed on, so that each reader counts from the read of the store.
  constexpr duration ConfigurationFromRelay() const
  {
    return std::max(mMaxRelayedAge, mReadInterval) + mReadTimeout + kInitialRetryBackoff + kSlowStoreRead;
  }
  /// Longest time until a change of the list takes effect at an instance that reads the store and whose connection goes
  /// silent.
  constexpr duration ListFromStore() const
  {
    return std::max<duration>(mWatchWait, mChangesPause + mWatchWaitAfterPause) + kWatchSlack + kSlowStoreRead;
  }
  /// Longest time until a change of the list takes effect at a reader of a relay, which is told when the relay's watch
  /// fails, or leaves a relay that confirms nothing.
  constexpr duration ListFromRelay() const { return std::max(ListFromStore(), mMaxRelayedAge + kSlowStoreRead); }

  /// Whether a relay that reads in time stays in use between two of its reads.
  constexpr bool HasRoomForRelay() const { return mReadInterval + kSlowStoreRead <= mMaxRelayedAge; }
  constexpr bool Keeps(const store_bounds& aBounds) const
  {
    return ConfigurationFromStore() <= aBounds.mConfiguration && ConfigurationFromRelay() <= aBounds.mConfiguration &&
           ListFromStore() <= aBounds.mDrain && ListFromRelay() <= aBounds.mDrain && HasRoomForRelay();
  }

private:
  static constexpr duration WatchWait(duration aTime)
  {
    return std::clamp(duration(aTime - kWatchSlack - kSlowStoreRead), kMinWatchWait, kMaxWatchWait);
  }
  static constexpr duration Share(duration aBound, double aShare)
  {
    return std::chrono::duration_cast<duration>(aBound * aShare);
  }
};

} // namespace chervilpulley::policy
