#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Decides whether the configuration is recent enough for API keys to be trusted. Guards against a platform that is
/// unreachable and against a process that was suspended: times come from a clock that keeps running while the machine
/// is suspended.
namespace chervilpulley::policy {

/// Keys are no longer trusted after this fraction of the maximum age, as a request takes time to reach its backend
/// server.
inline constexpr double kTrustedAgeShare = 0.8;
/// An instance reports itself as not ready for new callers after this fraction of the maximum age.
inline constexpr double kReadyAgeShare = 0.6;

/// The age of the configuration in force.
class key_freshness
{
public:
  /// @param aMaxAge age after which the configuration must not be used to check keys.
  explicit key_freshness(duration aMaxAge)
    : mMaxAge(aMaxAge)
  {
  }

  /// Records that the current configuration was the newest one at some time after aRequestedAt, when the query was
  /// sent.
  void Confirmed(instant aRequestedAt)
  {
    if (!mConfirmedAt || aRequestedAt > *mConfirmedAt) {
      mConfirmedAt = aRequestedAt;
    }
  }
  bool MayTrustKeys(instant aNow) const { return IsAgeBelow(aNow, kTrustedAgeShare); }
  bool MayAcceptRequests(instant aNow) const { return IsAgeBelow(aNow, kReadyAgeShare); }
  /// Time since the last confirmation; nullopt before the first one.
  std::optional<duration> Age(instant aNow) const
  {
    return mConfirmedAt ? std::optional<duration>(aNow - *mConfirmedAt) : std::nullopt;
  }

private:
  bool IsAgeBelow(instant aNow, double aShare) const
  {
    const auto age = Age(aNow);
    return age && static_cast<double>(age->count()) < aShare * static_cast<double>(mMaxAge.count());
  }

  duration mMaxAge;
  std::optional<instant> mConfirmedAt;
};

} // namespace chervilpulley::policy
