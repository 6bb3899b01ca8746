#include "policy/retry_budget.h"

#include <algorithm>

namespace chervilpulley::policy {

void retry_budget::Refill(instant aNow)
{
  if (mStarted && aNow > mLast) {
    const double elapsed = std::chrono::duration<double>(aNow - mLast).count();
    mBalance = std::min(kRetryReserve, mBalance + kRetryFloorPerSecond * elapsed);
  }
  mLast = mStarted ? std::max(mLast, aNow) : aNow;
  mStarted = true;
}

void retry_budget::RequestArrived(instant aNow)
{
  Refill(aNow);
  mBalance = std::min(kRetryReserve, mBalance + kRetryFraction);
}

bool retry_budget::TryRetry(instant aNow)
{
  Refill(aNow);
  if (mBalance < 1.0) {
    return false;
  }
  mBalance -= 1.0;
  return true;
}

void retry_budget::Recovered(instant aNow)
{
  Refill(aNow);
  mBalance = std::max(-kRetryReserve, mBalance - 1.0);
}

} // namespace chervilpulley::policy
