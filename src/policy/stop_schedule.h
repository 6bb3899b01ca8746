#pragma once

#include <algorithm>
#include <optional>

#include "chervilpulley/policy_types.h"

/// Decides which requests an instance that was told to end may still begin. It guards callers against requests that are
/// begun and interrupted at the end of the grace period: a caller that is rejected at once is served by another
/// instance.
namespace chervilpulley::policy {

/// Expected times of new requests are multiplied by this: they are often exceeded, and an interruption costs the caller
/// more than a rejection.
inline constexpr double kNewRequestFactor = 1.5;

/// An instance stops this long before the end of the grace period if it always gets processor time at once.
inline constexpr duration kMinStopMargin = std::chrono::milliseconds(300);
/// Share of the grace period by which the margin grows at most.
inline constexpr int kMaxMarginDivisor = 12;

/// Requests that still run are ended this long before the instance stops, so that their responses reach the callers.
inline constexpr duration kLastResponseTime = std::chrono::milliseconds(200);
/// Share of the grace period that this time takes at most.
inline constexpr int kLastResponseDivisor = 15;
/// No running request should be interrupted before this last share of the grace period.
inline constexpr int kLastPartDivisor = 6;

/// Time before the stop at which running requests are ended.
inline duration LastResponseTime(duration aGrace)
{
  return std::min<duration>(kLastResponseTime, aGrace / kLastResponseDivisor);
}

/// Time before the end of the grace period at which an instance stops.
/// @param aDelay longest recent time by which the instance got processor time late.
inline duration StopMargin(duration aGrace, duration aDelay)
{
  const duration margin = kMinStopMargin + std::min<duration>(aDelay * 2, aGrace / kMaxMarginDivisor);
  return std::min<duration>(margin, aGrace / kLastPartDivisor - LastResponseTime(aGrace));
}

/// The time at which a leaving instance stops.
class stop_schedule
{
public:
  /// The instance is leaving, and requests that still run at aTime are ended then. Requests that arrive after aLateFrom
  /// must not be interrupted by that.
  void StopAt(instant aTime, instant aLateFrom)
  {
    mStop = aTime;
    mLateFrom = aLateFrom;
  }
  /// Whether a request that arrived at aArrived may begin only if it ends before the instance stops even when it takes
  /// as long as it can.
  bool IsLate(instant aArrived) const { return mStop && aArrived > mLateFrom; }
  /// Whether a request that is expected to take aExpected ends before the instance stops. Always true for an instance
  /// that is not leaving.
  bool EndsInTime(duration aExpected, instant aNow) const { return !mStop || aNow + aExpected <= *mStop; }
  /// Whether a new request that is expected to take aExpected may begin.
  bool MayBegin(duration aExpected, instant aNow) const
  {
    return EndsInTime(std::chrono::duration_cast<duration>(aExpected * kNewRequestFactor), aNow);
  }

private:
  std::optional<instant> mStop;
  instant mLateFrom;
};

} // namespace chervilpulley::policy
