#pragma once

#include "chervilpulley/policy_types.h"

namespace chervilpulley::policy {

/// Rate at which a queue is worked off, measured while it is not empty, over the last two seconds of such time.
class drain_rate
{
public:
  /// Work left the queue.
  void Drained(double aCost, instant aNow);
  /// The queue is empty: the time up to the next Restarted() does not count.
  void Emptied();
  /// Work waits again.
  void Restarted(instant aNow);
  /// Cost per second; 0 while unknown.
  double PerSecond() const;

private:
  double mCost = 0.0;
  double mSeconds = 0.0;
  instant mLast;
  bool mBusy = false;
};

} // namespace chervilpulley::policy
