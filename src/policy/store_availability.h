#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Tells since when the platform's store has served without interruption, from the calls of this instance and from what
/// other instances that read it say. Guards against taking a partition of this instance for an outage of the store, in
/// which entries of the list lapse.
namespace chervilpulley::policy {

/// What is known of the store's latest outage.
class store_availability
{
public:
  /// Records a response of the store.
  void Responded(instant aNow);
  /// Records a call without a response, or one that the store refused.
  void Failed() { mIsFailing = mHasFailed = true; }
  /// Records that the store has come back from a copy, which implies an outage.
  void Restored(instant aNow);
  /// Records that the store has served another instance for this long without interruption.
  void Witnessed(duration aServedFor, instant aNow);

  /// When the latest outage that this instance can't exclude ended; nullopt if no call has ever failed. An outage that
  /// still lasts ends now.
  std::optional<instant> ReturnedAt(instant aNow) const;
  /// For how long the store has served without interruption; nullopt if it does not respond, or was not asked lately.
  std::optional<duration> ServedFor(instant aNow) const;

private:
  bool mHasFailed = false;
  bool mIsFailing = false;
  std::optional<instant> mServingSince;
  instant mLastResponse;
};

} // namespace chervilpulley::policy
