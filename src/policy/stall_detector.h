#pragma once

#include <unordered_map>

#include "chervilpulley/policy_types.h"

/// Tells a stalled stream from one that is merely slow, by the usual gaps of its kind.
namespace chervilpulley::policy {

/// Streams that are expected to have alike gaps, such as those of one model version and accelerator.
using stream_kind = strong_name<struct stream_kind_tag>;

/// Smoothed mean and mean deviation of a series of times.
class gap_statistics
{
public:
  void Observed(duration aGap);
  /// A gap longer than this is not usual; 0 while nothing was observed.
  duration OutlierThreshold() const;
  duration Mean() const { return duration(static_cast<duration::rep>(mMean)); }

private:
  float mMean = 0.0F;      ///< in microseconds
  float mDeviation = 0.0F; ///< in microseconds
};

/// Statistics of all kinds that one entry serves.
class stall_detector
{
public:
  /// aFloor is the shortest gap that counts as a stall.
  explicit stall_detector(duration aFloor);

  /// A token came aGap after the one before it.
  void TokenObserved(const stream_kind& aKind, duration aGap);
  /// A first token came aTime after its attempt was opened, with aUncached prompt tokens to prefill.
  void FirstTokenObserved(const stream_kind& aKind, token_count aUncached, duration aTime);
  /// Longest wait for the next token of a stream; aOwn are the gaps of the stream itself.
  duration TokenAllowance(const stream_kind& aKind, const gap_statistics& aOwn) const;
  /// Longest wait for the first token of an attempt. aPrefillPerToken is what the servers of the chain report together,
  /// aQueueWait what they predict; what was observed is used where it is longer.
  duration FirstTokenAllowance(const stream_kind& aKind,
                               token_count aUncached,
                               duration aPrefillPerToken,
                               duration aQueueWait) const;

private:
  struct kind_statistics
  {
    gap_statistics mGaps;
    gap_statistics mPrefill; ///< for kPrefillUnit tokens
  };

  duration mFloor;
  std::unordered_map<stream_kind, kind_statistics> mKinds;
};

} // namespace chervilpulley::policy
