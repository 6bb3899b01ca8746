#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Whether the configuration is known to be recent enough for a key to be trusted. It answers to a platform that is out
/// of reach, and to a process that was suspended: times are of a clock that runs on while the machine is suspended.
namespace chervilpulley::policy {

/// Part of the bound after which keys are no longer trusted: a request takes time to reach its backend server.
inline constexpr double kTrustedShare = 0.8;
/// Part of the bound after which an instance asks for no new callers.
inline constexpr double kReadyShare = 0.6;

class key_freshness
{
public:
  explicit key_freshness(duration aBound)
    : mBound(aBound)
  {
  }

  /// The configuration in force was the newest one at some time after aAsked, when the question was sent.
  void Confirmed(instant aAsked)
  {
    if (!mConfirmed || aAsked > *mConfirmed) {
      mConfirmed = aAsked;
    }
  }
  bool MayTrustKeys(instant aNow) const { return IsYounger(aNow, kTrustedShare); }
  bool MayAcceptRequests(instant aNow) const { return IsYounger(aNow, kReadyShare); }
  /// Time since the last confirmation; nothing before the first.
  std::optional<duration> Age(instant aNow) const
  {
    return mConfirmed ? std::optional<duration>(aNow - *mConfirmed) : std::nullopt;
  }

private:
  bool IsYounger(instant aNow, double aShare) const
  {
    const auto age = Age(aNow);
    return age && static_cast<double>(age->count()) < aShare * static_cast<double>(mBound.count());
  }

  duration mBound;
  std::optional<instant> mConfirmed;
};

} // namespace chervilpulley::policy
