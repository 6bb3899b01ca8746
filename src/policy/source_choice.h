#pragma once

#include <map>
#include <optional>
#include <vector>

#include "chervilpulley/policy_types.h"

/// Where an instance takes what the platform's store says: from the store itself, or from a relay, another instance of
/// its failure domain that has read it. It answers to the store's rates, which grow more slowly than the fleet, and to
/// relays that are lost, cut off or behind: whoever finds one failing reads the store itself at once, and later asks
/// the next relay.
namespace chervilpulley::policy {

/// Time for which an instance reads the store itself after a relay has failed it: a second relay that was about to fail
/// as well is not waited for.
inline constexpr duration kDirectReadTime = std::chrono::milliseconds(1500);
/// Time for which a relay that has failed is not asked.
inline constexpr duration kRelayBackoff = std::chrono::seconds(6);

/// Pause after the first failed reading of the store; each further one doubles it. The store counts refused calls too.
inline constexpr duration kInitialRetryBackoff = std::chrono::milliseconds(100);
/// Longest pause: a part of the time for which keys are trusted without the store.
inline constexpr duration kMaxRetryBackoff = std::chrono::milliseconds(800);

/// Pause before the store is read again after so many failures in a row.
duration RetryBackoff(unsigned aFailures);

class source_choice
{
public:
  /// @param aRelays the best one first.
  /// @param aReadsStore this instance is the one that reads the store for its failure domain: it asks others only when
  /// the store fails it.
  void SetRelays(std::vector<instance_id> aRelays, bool aReadsStore);
  /// The relay to be asked; nothing: the store is to be read.
  std::optional<instance_id> Next(bool aStoreFails, instant aNow) const;
  void Failed(const instance_id& aRelay, instant aNow);
  bool ReadsStore() const { return mReadsStore; }

private:
  std::vector<instance_id> mRelays;
  bool mReadsStore = true;
  std::map<instance_id, instant> mFailed;
  std::optional<instant> mLastFailure;
};

} // namespace chervilpulley::policy
