#pragma once

#include <unordered_map>

#include "chervilpulley/policy_types.h"

/// Distinguishes a stalled stream from one that is merely slow, by the typical gaps between tokens of its kind. A
/// stalled stream is detected early, while slow but healthy streams are left alone under load.
namespace chervilpulley::policy {

/// Names a group of streams that are expected to have similar gaps, such as those of one model version and accelerator.
using stream_kind = strong_name<struct stream_kind_tag>;

/// Exponentially smoothed mean and mean deviation of a series of durations.
class gap_statistics
{
public:
  /// Adds a duration to the series.
  void Observed(duration aGap);
  /// Longest gap that is still typical; 0 while nothing was observed.
  duration OutlierThreshold() const;
  duration Mean() const { return duration(static_cast<duration::rep>(mMean)); }

private:
  float mMean = 0.0F;      ///< in microseconds
  float mDeviation = 0.0F; ///< in microseconds
};

/// Gap and prefill statistics of all kinds of streams that one entry serves, and the waits they allow.
class stall_detector
{
public:
  /// aFloor is the minimum gap that counts as a stall.
  explicit stall_detector(duration aFloor);

  /// Records that a token arrived aGap after the previous one.
  void TokenObserved(const stream_kind& aKind, duration aGap);
  /// Records that a first token arrived aTime after its attempt was opened, with aUncached prompt tokens to prefill.
  void FirstTokenObserved(const stream_kind& aKind, token_count aUncached, duration aTime);
  /// Maximum wait for the next token of a stream; aOwn are the statistics of the stream itself.
  duration TokenAllowance(const stream_kind& aKind, const gap_statistics& aOwn) const;
  /// Maximum wait for the first token of an attempt. aPrefillPerToken is the total prefill time per token that the
  /// servers of the chain report, aQueueWait the wait that they predict; observed times are used where they are longer.
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
