#include "policy/drain_rate.h"

#include <cmath>

namespace chervilpulley::policy {

namespace {

/// Busy time after which a measurement counts 1/e.
constexpr double kMemorySeconds = 2.0;
/// Busy time below which the rate is unknown.
constexpr double kLeastSeconds = 0.2;

} // namespace

void drain_rate::Drained(double aCost, instant aNow)
{
  if (!mBusy) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(aNow - mLast).count();
  const double kept = std::exp(-elapsed / kMemorySeconds);
  mCost = mCost * kept + aCost;
  mSeconds = mSeconds * kept + elapsed;
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
  return mSeconds < kLeastSeconds ? 0.0 : mCost / mSeconds;
}

} // namespace chervilpulley::policy
