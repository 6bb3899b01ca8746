#pragma once

#include <algorithm>
#include <optional>

#include "chervilpulley/policy_types.h"

/// Longest of the recent values of a series, for decisions that a mean would get wrong for values with a long tail.
namespace chervilpulley::policy {

/// A value counts for this time at least, and for twice as long at most.
inline constexpr duration kMaximumWindow = std::chrono::seconds(30);

/// The maximum over the current window and the one before.
class recent_maximum
{
public:
  void Observed(duration aValue, instant aNow)
  {
    Advance(aNow);
    mCurrent = std::max(mCurrent.value_or(aValue), aValue);
  }
  /// Nothing when there was no recent value.
  std::optional<duration> Longest(instant aNow) const
  {
    recent_maximum now = *this;
    now.Advance(aNow);
    return std::max(now.mCurrent, now.mFormer);
  }

private:
  void Advance(instant aNow)
  {
    if (aNow - mBegin < kMaximumWindow) {
      return;
    }
    mFormer = aNow - mBegin < kMaximumWindow * 2 ? mCurrent : std::nullopt;
    mCurrent.reset();
    mBegin = aNow;
  }

  instant mBegin;
  std::optional<duration> mCurrent;
  std::optional<duration> mFormer;
};

} // namespace chervilpulley::policy
