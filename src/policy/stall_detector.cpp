#include "policy/stall_detector.h"

#include <algorithm>
#include <cmath>

namespace chervilpulley::policy {

namespace {

/// Smoothing factor: weight of a new observation.
constexpr float kGain = 0.05F;
/// Number of mean deviations above the mean up to which a gap is typical.
constexpr float kDeviationFactor = 6.0F;
/// Multiple of the mean up to which a gap is typical.
constexpr float kMeanFactor = 4.0F;
/// An observation is clipped to this multiple of the outlier threshold, so that one stall does not hide the next.
constexpr float kOutlierFactor = 2.0F;
/// Number of prompt tokens to which prefill times are normalised.
constexpr std::uint64_t kPrefillUnit = 1000;
/// Minimum number of uncached tokens; shorter prompts say little about the prefill speed.
constexpr std::uint64_t kMinPrefillTokens = 64;
/// Factor by which reported prefill and queue times may be exceeded.
constexpr int kReportTolerance = 3;

} // namespace

void gap_statistics::Observed(duration aGap)
{
  auto gap = static_cast<float>(aGap.count());
  if (mMean == 0.0F) {
    mMean = std::max(1.0F, gap);
    mDeviation = gap / 2.0F;
    return;
  }
  gap = std::min(gap, kOutlierFactor * static_cast<float>(OutlierThreshold().count()));
  const float difference = gap - mMean;
  mMean += kGain * difference;
  mDeviation += kGain * (std::abs(difference) - mDeviation);
}

duration gap_statistics::OutlierThreshold() const
{
  const float limit = std::max(kMeanFactor * mMean, mMean + kDeviationFactor * mDeviation);
  return duration(static_cast<duration::rep>(limit));
}

stall_detector::stall_detector(duration aFloor)
  : mFloor(aFloor)
{
}

void stall_detector::TokenObserved(const stream_kind& aKind, duration aGap)
{
  mKinds[aKind].mGaps.Observed(aGap);
}

void stall_detector::FirstTokenObserved(const stream_kind& aKind, token_count aUncached, duration aTime)
{
  if (aUncached.Value() >= kMinPrefillTokens) {
    mKinds[aKind].mPrefill.Observed(aTime * kPrefillUnit / aUncached.Value());
  }
}

duration stall_detector::TokenAllowance(const stream_kind& aKind, const gap_statistics& aOwn) const
{
  auto found = mKinds.find(aKind);
  const duration kind = found == mKinds.end() ? duration(0) : found->second.mGaps.OutlierThreshold();
  return std::max({ mFloor, kind, aOwn.OutlierThreshold() });
}

duration stall_detector::FirstTokenAllowance(const stream_kind& aKind,
                                             token_count aUncached,
                                             duration aPrefillPerToken,
                                             duration aQueueWait) const
{
  const duration reported = kReportTolerance * (aPrefillPerToken * aUncached.Value() + aQueueWait);
  auto found = mKinds.find(aKind);
  duration observed{ 0 };
  if (found != mKinds.end()) {
    observed = found->second.mPrefill.OutlierThreshold() * aUncached.Value() / kPrefillUnit;
  }
  return TokenAllowance(aKind, gap_statistics()) + std::max(reported, observed);
}

} // namespace chervilpulley::policy
