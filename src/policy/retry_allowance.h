#pragma once

#include <deque>

#include "chervilpulley/policy_types.h"

/// How often requests may be sent once more to a pool. The bound holds for all gateways together in every window; each
/// keeps to its own requests' share and an equal part of the slack, so that no message is needed.
namespace chervilpulley::policy {

struct retry_bounds
{
  double mRatio = 0; ///< repeats per request
  double mSlack = 0; ///< repeats besides, all gateways together
  duration mWindow{ 0 };
};

class retry_allowance
{
public:
  explicit retry_allowance(retry_bounds aBounds)
    : mBounds(aBounds)
  {
  }

  void RequestSent(instant aNow) { mRequests.push_back(aNow); }
  /// Asks to send a request once more; false: answer it finally.
  /// @param aGateways how many share the slack.
  bool TryRetry(instant aNow, std::size_t aGateways);

private:
  void Forget(instant aNow);

  retry_bounds mBounds;
  std::deque<instant> mRequests;
  std::deque<instant> mRepeats;
};

} // namespace chervilpulley::policy
