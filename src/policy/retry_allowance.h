#pragma once

#include <deque>

#include "chervilpulley/policy_types.h"
#include "policy/slack_share.h"

/// Limits how many requests to a pool may be retried, so that retries do not amplify an overload. The limit holds for
/// all processes together that run in a window, also when some are killed, start or leave in it: each has a bucket of
/// tokens that starts empty, so nothing needs to be known of what earlier processes have spent. Requests fill it, and
/// time does in a gateway that holds a share of the slack. What a bucket may hold and what it earns in a window add up
/// to its share of the limit.
namespace chervilpulley::policy {

/// Limits of the retries in a window.
struct retry_bounds
{
  double mRatio = 0; ///< retries per request
  double mSlack = 0; ///< additional retries of all gateways together
  duration mWindow{ 0 };
};

/// What a gateway may retry now, and on what account.
struct retry_state
{
  double mAvailable = 0;     ///< retries
  double mCapacity = 0;      ///< maximum of mAvailable
  double mSlackShare = 0;    ///< of the slack, 0 to 1
  std::size_t mRequests = 0; ///< in the current window

  bool MayRetry() const;
};

/// The retry limit of one pool in one gateway. Times are of a clock that also runs while the machine is suspended.
class retry_allowance
{
public:
  explicit retry_allowance(retry_bounds aBounds)
    : mBounds(aBounds)
  {
  }

  /// Counts a request, which earns a part of a retry.
  void RequestArrived(instant aNow);
  /// Charges one retry that is sent now; when it returns false the request must not be retried.
  bool TryRetry(instant aNow);
  /// Sets the share of the slack that this gateway holds.
  void SetShare(const slack_share& aShare, instant aNow);
  retry_state State(instant aNow);

private:
  void Refill(instant aNow);
  double Capacity() const;

  retry_bounds mBounds;
  std::deque<instant> mRequests; ///< of the current window
  double mTokens = 0;
  slack_share mShare;
  instant mRefilledAt;
};

} // namespace chervilpulley::policy
