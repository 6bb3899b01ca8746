#include "policy/rate_share.h"

#include <algorithm>

#include "base/random.h"

namespace chervilpulley::policy {

namespace {

/// Burst size of a bucket, in seconds at its rate.
constexpr double kBurstSeconds = 2.0;
/// Lower limit of the burst size of a bucket, in requests.
constexpr double kMinBurst = 3.0;
/// Time without a response after which the coordinator counts as unreachable.
constexpr duration kCoordinatorTimeout = std::chrono::seconds(1);
/// Minimum rate for the computation of a wait, per second.
constexpr double kMinRate = 1e-3;
/// Smoothing factor: weight of the latest demand report.
constexpr double kDemandGain = 0.5;

std::uint64_t Score(member_key aEntry, std::uint64_t aWorkspace)
{
  std::uint64_t value = (aEntry.Value() ^ aWorkspace) * 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33U);
}

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

std::size_t RateCoordinatorOf(std::span<const subset_member> aEntries, const workspace_id& aWorkspace)
{
  const std::uint64_t workspace = StableHash(aWorkspace.Str());
  auto best = std::max_element(aEntries.begin(), aEntries.end(), [&](const auto& aLeft, const auto& aRight) {
    return Score(aLeft.mInstance, workspace) < Score(aRight.mInstance, workspace);
  });
  return static_cast<std::size_t>(best - aEntries.begin());
}

void rate_bucket::Refill(double aFallback, instant aNow)
{
  if (aNow < mGrantedUntil) {
    mNoGrantSince = instant();
  } else if (mNoGrantSince == instant()) {
    mNoGrantSince = aNow;
  }
  if (aNow <= mLast) {
    return;
  }
  const duration granted = std::min(aNow, mGrantedUntil) - mLast;
  if (granted > duration(0)) {
    mTokens += mGrant * Seconds(granted);
  }
  const bool neverGranted = mGrantedUntil == instant();
  if (neverGranted || (mNoGrantSince != instant() && aNow - mNoGrantSince >= kCoordinatorTimeout)) {
    mTokens += aFallback * Seconds(aNow - std::max(mLast, mNoGrantSince));
  }
  const double rate = std::max<double>(aFallback, aNow < mGrantedUntil ? mGrant : 0.0);
  mTokens = std::min(mTokens, std::max(kMinBurst, rate * kBurstSeconds));
  mLast = aNow;
}

std::optional<duration> rate_bucket::Take(request_rate aLimit, std::size_t aEntries, instant aNow)
{
  ++mRequests;
  const double fallback = aLimit.mPerSecond / static_cast<double>(std::max<std::size_t>(1, aEntries));
  if (mLast == instant()) {
    mTokens = std::max(1.0, fallback);
    mLast = aNow;
  }
  Refill(fallback, aNow);
  if (mTokens >= 1.0) {
    mTokens -= 1.0;
    return std::nullopt;
  }
  const double rate = aNow < mGrantedUntil ? mGrant : fallback;
  const double wait = (1.0 - mTokens) / std::max(rate, kMinRate);
  return std::chrono::ceil<duration>(std::chrono::duration<double>(wait));
}

void rate_bucket::Granted(request_rate aShare, instant aNow)
{
  Refill(0.0, aNow);
  mGrant = static_cast<float>(aShare.mPerSecond);
  mGrantedUntil = aNow + kRateGrantTime;
  mNoGrantSince = instant();
}

std::optional<request_rate> rate_bucket::DueReport(instant aNow)
{
  if (mRequests == 0 || aNow - mReported < kRateReportInterval) {
    return std::nullopt;
  }
  const bool first = mReported == instant();
  const double time = first ? Seconds(kRateReportInterval) : Seconds(aNow - mReported);
  const request_rate demand{ mRequests / time };
  mRequests = 0;
  mReported = aNow;
  return demand;
}

rate_coordinator::~rate_coordinator()
{
  mByExpiry.clear();
  for (auto& entry : mWorkspaces) {
    entry.second.mByExpiry.clear();
  }
}

void rate_coordinator::ExpireWorkspaces(instant aNow)
{
  while (!mByExpiry.empty() && mByExpiry.front().mUntil <= aNow) {
    shared_limit& limit = mByExpiry.front();
    limit.mByExpiry.clear();
    mByExpiry.pop_front();
    mWorkspaces.erase(workspace_id(limit.mWorkspace));
  }
}

void rate_coordinator::ExpireShares(shared_limit& aLimit, instant aNow)
{
  while (!aLimit.mByExpiry.empty() && aLimit.mByExpiry.front().mUntil <= aNow) {
    entry_share& oldest = aLimit.mByExpiry.front();
    aLimit.mDemand -= oldest.mDemand;
    aLimit.mGranted -= oldest.mGranted;
    aLimit.mByExpiry.pop_front();
    aLimit.mShares.erase(member_key(oldest.mEntry));
  }
}

rate_coordinator::shared_limit& rate_coordinator::Renew(const workspace_id& aWorkspace, instant aNow)
{
  ExpireWorkspaces(aNow);
  auto [found, created] = mWorkspaces.try_emplace(aWorkspace);
  shared_limit& limit = found->second;
  if (created) {
    limit.mWorkspace = aWorkspace;
  } else {
    mByExpiry.erase(mByExpiry.iterator_to(limit));
  }
  limit.mUntil = aNow + kRateGrantTime;
  mByExpiry.push_back(limit);
  ExpireShares(limit, aNow);
  return limit;
}

request_rate rate_coordinator::Report(member_key aEntry,
                                      const workspace_id& aWorkspace,
                                      request_rate aDemand,
                                      request_rate aLimit,
                                      instant aNow)
{
  shared_limit& limit = Renew(aWorkspace, aNow);
  auto [found, created] = limit.mShares.try_emplace(aEntry);
  entry_share& own = found->second;
  if (!created) {
    limit.mByExpiry.erase(limit.mByExpiry.iterator_to(own));
    limit.mDemand -= own.mDemand;
    limit.mGranted -= own.mGranted;
  }
  own.mEntry = aEntry;
  own.mDemand = created ? aDemand.mPerSecond : own.mDemand + kDemandGain * (aDemand.mPerSecond - own.mDemand);
  limit.mDemand += own.mDemand;
  const double wanted = aLimit.mPerSecond * own.mDemand / std::max(limit.mDemand, 1e-9);
  own.mGranted = std::clamp(wanted, 0.0, std::max(0.0, aLimit.mPerSecond - limit.mGranted));
  limit.mGranted += own.mGranted;
  own.mUntil = aNow + kRateGrantTime;
  limit.mByExpiry.push_back(own);
  return { own.mGranted };
}

} // namespace chervilpulley::policy
