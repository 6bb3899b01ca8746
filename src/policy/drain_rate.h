#pragma once

#include "chervilpulley/policy_types.h"

namespace chervilpulley::policy {

/// Rate at which a queue drains. It is measured only while the queue is not empty, over the last two seconds of such
/// time, so that idle time does not lower the rate on which wait forecasts under load are based.
class drain_rate
{
public:
  /// Records that work of cost aCost left the queue.
  void Drained(double aCost, instant aNow);
  /// Records that the queue is empty; time until the next Restarted() does not count.
  void Emptied();
  /// Records that the queue has work again.
  void Restarted(instant aNow);
  /// Drained cost per second; 0 while unknown.
  double PerSecond() const;

private:
  double mCost = 0.0;
  double mSeconds = 0.0;
  instant mLast;
  bool mBusy = false;
};

} // namespace chervilpulley::policy
