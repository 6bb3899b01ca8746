#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "policy/retry_allowance.h"

/// The retry limits of all pools as this gateway applies them, with a log line for each decision. Times are of the boot
/// clock. Used from a single thread.
namespace chervilpulley::gateway {

/// A retry that is about to be sent.
struct retry_ask
{
  pool_name mPool;
  std::string mRequest;
  bool mIsRepeated = false; ///< asked before for the same retry, so that a denial is not logged again
};

/// A pool's limit in this gateway, for metrics.
struct retry_limit
{
  pool_name mPool;
  policy::retry_state mState;
};

/// The limits of all pools.
class retry_limits
{
public:
  explicit retry_limits(policy::retry_bounds aBounds)
    : mBounds(aBounds)
  {
  }

  /// Sets the share of each limit's slack that this gateway holds.
  void SetShare(const policy::slack_share& aShare, instant aNow);
  /// Counts a request to a pool.
  void RequestArrived(const pool_name& aPool, instant aNow);
  /// Whether TryRetry() would permit a retry now; logs it when not.
  bool MayRetry(const retry_ask& aAsk, instant aNow);
  /// Charges a retry that is sent now; when it returns false the request must not be sent again now.
  bool TryRetry(const retry_ask& aAsk, instant aNow);
  std::vector<retry_limit> InForce(instant aNow);

private:
  static void LogDecision(const retry_ask& aAsk, const policy::retry_state& aState, bool aIsPermitted);
  policy::retry_allowance& Of(const pool_name& aPool, instant aNow);

  policy::retry_bounds mBounds;
  policy::slack_share mShare;
  std::unordered_map<pool_name, policy::retry_allowance> mPools;
};

} // namespace chervilpulley::gateway
