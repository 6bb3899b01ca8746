#pragma once

#include <map>
#include <optional>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Chooses where an instance reads the contents of the platform's store: from the store itself, or from a relay, which
/// is another instance of its failure domain that has read them. Relays keep the load within the store's rate limits,
/// which grow more slowly than the fleet. Handles relays that are lost, partitioned or behind: after a relay fails, an
/// instance reads the store at once and later tries the next relay.
namespace chervilpulley::policy {

/// Time for which an instance reads the store itself after a relay has failed, so that it does not lose more time on a
/// second relay that fails at the same time.
inline constexpr duration kDirectReadTime = std::chrono::milliseconds(1500);
/// A relay that has failed is not tried again for this time.
inline constexpr duration kRelayBackoff = std::chrono::seconds(6);

/// Backoff after the first failed read of the store; it doubles with each further one. The store's rate limit counts
/// rejected calls too.
inline constexpr duration kInitialRetryBackoff = std::chrono::milliseconds(100);
/// Maximum backoff; it is a fraction of the time for which keys are trusted without the store.
inline constexpr duration kMaxRetryBackoff = std::chrono::milliseconds(800);

/// Delay before the next read of the store after this many consecutive failures.
duration RetryBackoff(unsigned aFailures);

/// The relays of an instance, and which of them have failed recently.
class source_choice
{
public:
  /// @param aRelays relays in order of preference.
  /// @param aReadsStore whether this instance reads the store for its failure domain; it then uses relays only when the
  /// store fails.
  void SetRelays(std::vector<instance_id> aRelays, bool aReadsStore);
  /// The relay to read from; nullopt means to read the store.
  std::optional<instance_id> Next(bool aStoreFails, instant aNow) const;
  /// Records that a read from a relay failed.
  void Failed(const instance_id& aRelay, instant aNow);
  bool ReadsStore() const { return mReadsStore; }

private:
  std::vector<instance_id> mRelays;
  bool mReadsStore = true;
  std::map<instance_id, instant> mFailedAt;
  std::optional<instant> mLastFailure;
};

} // namespace chervilpulley::policy
