#include "policy/drain_rate.h"

#include <cmath>

namespace chervilpulley::policy {

namespace {

/// Busy time after which the weight of a measurement has decayed to 1/e.
constexpr double kDecaySeconds = 2.0;
/// Minimum measured busy time; below it the rate is unknown.
constexpr double kMinBusySeconds = 0.2;

} // namespace

void drain_rate::Drained(double aCost, instant aNow)
{
  if (!mBusy) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(aNow - mLast).count();
  const double decay = std::exp(-elapsed / kDecaySeconds);
  mCost = mCost * decay + aCost;
  mSeconds = mSeconds * decay + elapsed;
  mLast = aNow;
}

void drain_rate::Emptied()
{
  mBusy = false;
}

void drain_rate::Restarted(instant aNow)
{
  mBusy = true;
  mLast = aNow;
}

double drain_rate::PerSecond() const
{
  return mSeconds < kMinBusySeconds ? 0.0 : mCost / mSeconds;
}

} // namespace chervilpulley::policy
