#include "policy/store_availability.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Time without a response after which an outage may have begun.
constexpr duration kMaxResponseAge = std::chrono::milliseconds(1500);

} // namespace

void store_availability::Responded(instant aNow)
{
  if (mIsFailing || !mServingSince) {
    mIsFailing = false;
    mServingSince = aNow;
  }
  mLastResponse = aNow;
}

void store_availability::Restored(instant aNow)
{
  Failed();
  Responded(aNow);
}

void store_availability::Witnessed(duration aServedFor, instant aNow)
{
  const instant since = aNow - aServedFor;
  mServingSince = mIsFailing || !mServingSince ? since : std::min(*mServingSince, since);
  mIsFailing = false;
  mLastResponse = aNow;
}

std::optional<instant> store_availability::ReturnedAt(instant aNow) const
{
  if (!mHasFailed) {
    return std::nullopt;
  }
  return mIsFailing ? aNow : mServingSince.value_or(aNow);
}

std::optional<duration> store_availability::ServedFor(instant aNow) const
{
  if (mIsFailing || !mServingSince || aNow - mLastResponse > kMaxResponseAge) {
    return std::nullopt;
  }
  return aNow - *mServingSince;
}

} // namespace chervilpulley::policy
