#include "policy/source_choice.h"

#include <algorithm>

namespace chervilpulley::policy {

duration RetryBackoff(unsigned aFailures)
{
  duration backoff = kInitialRetryBackoff;
  for (unsigned failure = 1; failure < aFailures && backoff < kMaxRetryBackoff; ++failure) {
    backoff *= 2;
  }
  return std::min(backoff, kMaxRetryBackoff);
}

void source_choice::SetRelays(std::vector<instance_id> aRelays, bool aReadsStore)
{
  mRelays = std::move(aRelays);
  mReadsStore = aReadsStore;
}

std::optional<instance_id> source_choice::Next(bool aStoreFails, instant aNow) const
{
  const bool prefersStore = mReadsStore && !aStoreFails;
  // When the store fails as well, reading it for a while gains nothing.
  const bool hasRecentRelayFailure = !aStoreFails && mLastFailure && aNow - *mLastFailure < kDirectReadTime;
  if (prefersStore || hasRecentRelayFailure) {
    return std::nullopt;
  }
  for (const instance_id& relay : mRelays) {
    const auto failed = mFailedAt.find(relay);
    if (failed == mFailedAt.end() || aNow - failed->second >= kRelayBackoff) {
      return relay;
    }
  }
  return std::nullopt;
}

void source_choice::Failed(const instance_id& aRelay, instant aNow)
{
  std::erase_if(mFailedAt, [&](const auto& aEntry) { return aNow - aEntry.second >= kRelayBackoff; });
  mFailedAt[aRelay] = aNow;
  mLastFailure = aNow;
}

} // namespace chervilpulley::policy
