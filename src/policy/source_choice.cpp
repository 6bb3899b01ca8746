#include "policy/source_choice.h"

#include <algorithm>

namespace chervilpulley::policy {

duration RetryBackoff(unsigned aFailures)
{
  duration pause = kInitialRetryBackoff;
  for (unsigned failure = 1; failure < aFailures && pause < kMaxRetryBackoff; ++failure) {
    pause *= 2;
  }
  return std::min(pause, kMaxRetryBackoff);
}

void source_choice::SetRelays(std::vector<instance_id> aRelays, bool aReadsStore)
{
  mRelays = std::move(aRelays);
  mReadsStore = aReadsStore;
}

std::optional<instance_id> source_choice::Next(bool aStoreFails, instant aNow) const
{
  const bool readsItself = mReadsStore && !aStoreFails;
  // Where the store fails as well, there is nothing to be gained by reading it for a while.
  const bool hasJustFailed = !aStoreFails && mLastFailure && aNow - *mLastFailure < kDirectReadTime;
  if (readsItself || hasJustFailed) {
    return std::nullopt;
  }
  for (const instance_id& relay : mRelays) {
    const auto failed = mFailed.find(relay);
    if (failed == mFailed.end() || aNow - failed->second >= kRelayBackoff) {
      return relay;
    }
  }
  return std::nullopt;
}

void source_choice::Failed(const instance_id& aRelay, instant aNow)
{
  std::erase_if(mFailed, [&](const auto& aEntry) { return aNow - aEntry.second >= kRelayBackoff; });
  mFailed[aRelay] = aNow;
  mLastFailure = aNow;
}

} // namespace chervilpulley::policy
