#pragma once

#include "policy/stall_detector.h"

/// Measures how long the output of streams takes, to predict it for new ones.
namespace chervilpulley::policy {

/// Weight of a stream that has ended in the measured number of events per token.
inline constexpr double kEventsPerTokenGain = 0.05;

class stream_pace
{
public:
  /// Records the time between two events of a stream.
  void GapObserved(duration aGap) { mGaps.Observed(aGap); }
  /// Records the number of events of a stream that has ended, for the tokens that were estimated at its beginning. An
  /// event may hold several tokens, and estimates may be wrong in the same way for most callers.
  void Ended(std::uint64_t aEvents, double aEstimatedTokens)
  {
    const double ratio = static_cast<double>(aEvents) / aEstimatedTokens;
    mEventsPerToken = mHasEnded ? mEventsPerToken + kEventsPerTokenGain * (ratio - mEventsPerToken) : ratio;
    mHasEnded = true;
  }
  bool IsMeasured() const { return mGaps.Mean() > duration::zero(); }
  /// Predicted time of an output of at most aTokens, with an event for each token.
  duration LongestOutputTime(double aTokens) const
  {
    return std::chrono::duration_cast<duration>(mGaps.Mean() * aTokens);
  }
  /// Predicted time of an output; zero while nothing was measured.
  duration OutputTime(double aEstimatedTokens) const
  {
    return std::chrono::duration_cast<duration>(mGaps.Mean() * (aEstimatedTokens * mEventsPerToken));
  }

private:
  gap_statistics mGaps;
  double mEventsPerToken = 1;
  bool mHasEnded = false;
};

} // namespace chervilpulley::policy
