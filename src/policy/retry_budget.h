#pragma once

#include "chervilpulley/policy_types.h"

namespace chervilpulley::policy {

/// Retries allowed per request.
inline constexpr double kRetryFraction = 0.1;
/// Maximum number of unused retries that accumulate.
inline constexpr double kRetryReserve = 10.0;
/// Retries per second that are allowed without any traffic.
inline constexpr double kRetryFloorPerSecond = 0.2;

/// Retry budget of one process; it prevents a failure from turning into a retry storm. Retries never exceed
/// kRetryReserve + kRetryFraction x requests + kRetryFloorPerSecond x seconds.
class retry_budget
{
public:
  /// Credits the budget for a new request.
  void RequestArrived(instant aNow);
  /// Charges the retry of a request that has produced no output yet. False: the request must not be retried and fails.
  bool TryRetry(instant aNow);
  /// Charges the resumption of a running stream on another backend server. It is never refused, because there are at
  /// most as many as there are streams, but it is charged so that other retries wait.
  void Recovered(instant aNow);
  /// Number of retries available now; negative after many resumed streams.
  double Balance() const { return mBalance; }

private:
  void Refill(instant aNow);

  double mBalance = kRetryReserve;
  instant mLast;
  bool mStarted = false;
};

} // namespace chervilpulley::policy
