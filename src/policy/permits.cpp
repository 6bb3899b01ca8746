#include "policy/permits.h"

#include <algorithm>
#include <cmath>

namespace chervilpulley::policy {

namespace {

/// Share of a limit that is granted. The rest covers permits of two coordinators that exist beside each other while
/// gateways disagree on which of them are live.
constexpr double kGrantedShare = 0.9;
/// Rate that is granted whatever a server names, per second: the end of a limit shows only in responses.
constexpr double kMinRate = 0.2;
/// Permits that may accumulate while none are asked for, in seconds at the granted rate.
constexpr double kBurstSeconds = 0.5;
/// A gateway that has not asked for this time has no share in the limit.
constexpr duration kAskerTime = std::chrono::milliseconds(1500);
/// Time after its last request for which a gateway goes on asking.
constexpr duration kDemandTime = std::chrono::milliseconds(1500);
/// Permits asked for, in multiples of the expected requests until the next ask: arrivals are uneven.
constexpr double kWantedFactor = 1.5;
/// Smoothing factors: weight of the latest value.
constexpr double kDemandGain = 0.5;
constexpr double kGrantGain = 0.3;

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

double permit_source::TotalDemand(instant aNow)
{
  std::erase_if(mAskers, [&](const auto& aAsker) { return aNow - aAsker.second.mAskedAt > kAskerTime; });
  double total = 0;
  for (const auto& [gateway, each] : mAskers) {
    total += each.mPerSecond;
  }
  return total;
}

std::uint32_t permit_source::Grant(const instance_id& aGateway,
                                   const permit_demand& aDemand,
                                   double aLimit,
                                   instant aNow)
{
  const double rate = std::max(kGrantedShare * aLimit, kMinRate);
  const double capacity = std::max(1.0, rate * kBurstSeconds);
  mAvailable = std::min(capacity, mAvailable + rate * Seconds(aNow - mFilledAt.value_or(aNow)));
  mFilledAt = aNow;
  TotalDemand(aNow);
  const auto [found, isNew] = mAskers.try_emplace(aGateway);
  asker& own = found->second;
  const instant askedBefore = isNew ? aNow : own.mAskedAt;
  own.mPerSecond = std::max(0.0, aDemand.mPerSecond);
  own.mAskedAt = aNow;
  const double share = own.mPerSecond / std::max(TotalDemand(aNow), 1e-9);
  own.mCredit = std::min(std::max(1.0, capacity), own.mCredit + rate * share * Seconds(aNow - askedBefore));
  double granted = std::floor(std::max(0.0, own.mCredit));
  if (mAvailable >= capacity) {
    // Nobody else has asked for what has accumulated.
    granted = std::max(granted, 1.0);
  }
  granted = std::min({ granted, std::floor(mAvailable), static_cast<double>(aDemand.mWanted) });
  own.mCredit -= granted;
  mAvailable -= granted;
  return static_cast<std::uint32_t>(granted);
}

void held_permits::Received(std::uint32_t aCount, instant aNow)
{
  for (std::uint32_t each = 0; each < aCount; ++each) {
    mExpiries.push_back(aNow + kPermitTime);
  }
  if (mReceivedAt && aNow - *mReceivedAt < kPermitTime * 2) {
    const double rate = aCount / std::max(Seconds(aNow - *mReceivedAt), Seconds(kPermitMissInterval));
    const double known = mGrantedPerSecond.value_or(rate);
    mGrantedPerSecond = known + kGrantGain * (rate - known);
  }
  mReceivedAt = aNow;
}

std::uint32_t held_permits::Count(instant aNow) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mExpiries.begin(), mExpiries.end(), [&](instant aExpiry) { return aExpiry > aNow; }));
}

bool held_permits::Has(instant aNow) const
{
  return !mExpiries.empty() && mExpiries.back() > aNow;
}

void held_permits::Use(instant aNow)
{
  while (!mExpiries.empty() && mExpiries.front() <= aNow) {
    mExpiries.pop_front();
  }
  if (!mExpiries.empty()) {
    mExpiries.pop_front();
  }
  while (!mUsed.empty() && mUsed.front() + kPermitTime <= aNow) {
    mUsed.pop_front();
  }
  mUsed.push_back(aNow);
  ++mRequests;
  mDemandAt = aNow;
}

void held_permits::Missed(bool aIsNew, instant aNow)
{
  mHasMissed = true;
  mRequests += aIsNew ? 1 : 0;
  mDemandAt = aNow;
}

std::optional<permit_demand> held_permits::DueAsk(instant aNow)
{
  const bool hasDemand = mDemandAt && aNow - *mDemandAt < kDemandTime;
  const duration interval = mHasMissed ? kPermitMissInterval : kPermitAskInterval;
  if (!hasDemand || (mAskedAt && aNow - *mAskedAt < interval)) {
    return std::nullopt;
  }
  const bool isFirst = !mAskedAt || aNow - *mAskedAt > kDemandTime;
  const double time = isFirst ? Seconds(kPermitAskInterval) : Seconds(aNow - *mAskedAt);
  const double measured = mRequests / time;
  mDemandPerSecond = isFirst ? measured : mDemandPerSecond + kDemandGain * (measured - mDemandPerSecond);
  mAskedAt = aNow;
  mRequests = 0;
  mHasMissed = false;
  const double needed = std::ceil(mDemandPerSecond * Seconds(kPermitAskInterval) * kWantedFactor + 1);
  const auto wanted = static_cast<std::uint32_t>(std::max(1.0, needed));
  const std::uint32_t held = Count(aNow);
  return permit_demand{ std::max(mDemandPerSecond, 1 / Seconds(kDemandTime)), wanted > held ? wanted - held : 0 };
}

std::optional<double> held_permits::GrantedPerSecond() const
{
  return mGrantedPerSecond;
}

std::size_t held_permits::UsedLately(instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mUsed.begin(), mUsed.end(), [&](instant aAt) { return aAt + kPermitTime > aNow; }));
}

} // namespace chervilpulley::policy
