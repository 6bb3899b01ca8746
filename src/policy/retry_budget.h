#pragma once

#include "chervilpulley/policy_types.h"

namespace chervilpulley::policy {

/// Retries that the traffic allows, per request.
inline constexpr double kRetryFraction = 0.1;
/// Retries that may be saved up.
inline constexpr double kRetryReserve = 10.0;
/// Retries a second that are allowed without traffic.
inline constexpr double kRetryFloorPerSecond = 0.2;

/// Budget of one process for sending requests again, so that a failure is not followed by a storm of retries.
/// Retries never exceed kRetryReserve + kRetryFraction x requests + kRetryFloorPerSecond x seconds.
class retry_budget
{
public:
  /// A request arrived.
  void RequestArrived(instant aNow);
  /// Asks to send a request again that has yielded nothing yet; false: answer it finally.
  bool TryRetry(instant aNow);
  /// A stream that is under way is taken up elsewhere. It is never refused, as there are at most as many as streams,
  /// but it is charged, so that other retries wait.
  void Recovered(instant aNow);
  double Balance() const { return mBalance; }

private:
  void Refill(instant aNow);

  double mBalance = kRetryReserve;
  instant mLast;
  bool mStarted = false;
};

} // namespace chervilpulley::policy
