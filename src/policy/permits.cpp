#include "policy/permits.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
  const double refill = mFilledAt ? rate * Seconds(aNow - *mFilledAt) : capacity;
  mAvailable = std::min(capacity, mAvailable + refill);
  mFilledAt = aNow;
  TotalDemand(aNow);
  const auto [found, isNew] = mAskers.try_emplace(aGateway);
  asker& own = found->second;
  const instant askedBefore = isNew ? aNow : own.mAskedAt;
  mAvailable = std::min(capacity, mAvailable + aDemand.mExpired);
  own.mPerSecond = std::max(0.0, aDemand.mPerSecond);
  own.mAskedAt = aNow;
  const double share = own.mPerSecond / std::max(TotalDemand(aNow), 1e-9);
  own.mCredit = std::min(std::max(1.0, capacity), own.mCredit + rate * share * Seconds(aNow - askedBefore));
  // Shares matter only while more is wanted than there is.
  const bool isShort = TotalDemand(aNow) > rate && mAvailable < capacity;
  double granted = isShort ? std::floor(std::max(0.0, own.mCredit)) : mAvailable;
  granted = std::min({ granted, std::floor(mAvailable), static_cast<double>(aDemand.mWanted) });
  own.mCredit = std::max(own.mCredit - granted, -capacity);
  mAvailable -= granted;
  return static_cast<std::uint32_t>(granted);
}

void held_permits::Received(std::uint32_t aCount, instant aAskedAt, instant aNow)
{
  mExpiries.insert(mExpiries.end(), aCount, aAskedAt + kPermitTime);
  DropExpired(aNow);
  if (mReceivedAt && aNow - *mReceivedAt < kPermitTime * 2) {
    const double rate = aCount / std::max(Seconds(aNow - *mReceivedAt), Seconds(kPermitMissInterval));
    const double known = mGrantedPerSecond.value_or(rate);
    mGrantedPerSecond = known + kGrantGain * (rate - known);
  }
  mReceivedAt = aNow;
  if (aCount == 0) {
    mExhaustedAt = aNow;
  } else {
    mExhaustedAt.reset();
  }
}

void held_permits::DropExpired(instant aNow)
{
  while (!mExpiries.empty() && mExpiries.front() <= aNow) {
    mExpiries.pop_front();
    ++mExpired;
  }
}

bool held_permits::Has(instant aNow) const
{
  return !mExpiries.empty() && mExpiries.back() > aNow;
}

bool held_permits::AreExhausted(instant aNow) const
{
  return mExhaustedAt && aNow - *mExhaustedAt < kPermitMissInterval;
}

void held_permits::Use(instant aNow)
{
  DropExpired(aNow);
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
  mMissed += aIsNew || mMissed == 0 ? 1 : 0;
  mRequests += aIsNew ? 1 : 0;
  mDemandAt = aNow;
}

void held_permits::MeasureDemand(instant aNow)
{
  const duration since = mMeasuredAt ? aNow - *mMeasuredAt : duration::max();
  if (since < kPermitAskInterval) {
    return;
  }
  const bool isFirst = since > kDemandTime;
  const double measured = mRequests / Seconds(isFirst ? kPermitAskInterval : since);
  mDemandPerSecond = isFirst ? measured : mDemandPerSecond + kDemandGain * (measured - mDemandPerSecond);
  mMeasuredAt = aNow;
  mRequests = 0;
}

std::optional<permit_demand> held_permits::DueAsk(instant aNow)
{
  const bool hasDemand = mDemandAt && aNow - *mDemandAt < kDemandTime;
  const duration since = mAskedAt ? aNow - *mAskedAt : duration::max();
  const bool isInVain = AreExhausted(aNow) && since < kPermitMissInterval;
  if (!hasDemand || (since < kPermitAskInterval && (mMissed == 0 || isInVain))) {
    return std::nullopt;
  }
  DropExpired(aNow);
  MeasureDemand(aNow);
  mAskedAt = aNow;
  const auto expected = static_cast<std::uint32_t>(mDemandPerSecond * Seconds(kPermitAskInterval) * kWantedFactor);
  const std::uint32_t needed = expected + std::exchange(mMissed, 0U);
  const auto held = static_cast<std::uint32_t>(mExpiries.size());
  return permit_demand{ std::max(mDemandPerSecond, 1 / Seconds(kDemandTime)),
                        needed > held ? needed - held : 0,
                        std::exchange(mExpired, 0U) };
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
