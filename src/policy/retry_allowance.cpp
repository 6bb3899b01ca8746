#include "policy/retry_allowance.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Part of the bound that is used: gateways that start or end meanwhile leave a wrong count for some seconds.
constexpr double kUsedShare = 0.8;

} // namespace

bool retry_allowance::TryRetry(instant aNow, std::size_t aGateways)
{
  Forget(aNow);
  const double slack = mBounds.mSlack / static_cast<double>(std::max<std::size_t>(1, aGateways));
  const double allowed = kUsedShare * (slack + mBounds.mRatio * static_cast<double>(mRequests.size()));
  if (static_cast<double>(mRepeats.size()) + 1 > allowed) {
    return false;
  }
  mRepeats.push_back(aNow);
  return true;
}

void retry_allowance::Forget(instant aNow)
{
  const auto drop = [&](std::deque<instant>& aTimes) {
    while (!aTimes.empty() && aTimes.front() + mBounds.mWindow <= aNow) {
      aTimes.pop_front();
    }
  };
  drop(mRequests);
  drop(mRepeats);
}

} // namespace chervilpulley::policy
