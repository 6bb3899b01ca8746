#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Decides which requests an instance that was told to end may still begin. It guards callers against requests that are
/// begun and interrupted at the end of the grace period: a caller that is rejected at once is served by another
/// instance.
namespace chervilpulley::policy {

/// Expected times of new requests are multiplied by this: they are often exceeded, and an interruption costs the caller
/// more than a rejection.
inline constexpr double kNewRequestFactor = 1.5;

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
