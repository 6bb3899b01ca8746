#pragma once

#include <optional>
#include <string>

#include "chervilpulley/policy_types.h"

/// Who carries out a duty that one instance at a time has: the holder renews an object of the platform's store, and
/// whoever sees it unchanged for the length of the lease may take it, by a conditional write. The holder's own time
/// counts from when it sent the renewal, on a clock that runs on while the machine is suspended, so that it stops
/// before another one starts.
namespace chervilpulley::policy {

class duty_lease
{
public:
  /// @param aLength time that an unchanged lease lasts.
  explicit duty_lease(duration aLength)
    : mLength(aLength)
  {
  }

  /// The lease object was seen with this revision.
  void Seen(std::uint64_t aRevision, instant aNow)
  {
    if (mSeenRevision != aRevision) {
      mSeenRevision = aRevision;
      mSeenAt = aNow;
    }
  }
  /// There is no lease object.
  void SeenNone() { mSeenRevision.reset(); }
  /// A write of ours made this revision; it was sent at aSent.
  void Written(std::uint64_t aRevision, instant aSent, bool aIsNew)
  {
    mHeldSince = aSent;
    if (aIsNew || !mFence) {
      mFence = aRevision;
    }
    mHeldRevision = aRevision;
    Seen(aRevision, aSent);
  }
  /// Another instance has it.
  void Lost()
  {
    mFence.reset();
    mHeldRevision.reset();
  }

  /// Whether the duty is ours; a part of the length is kept as a distance to the next holder.
  bool IsHeld(instant aNow) const { return mFence && aNow - mHeldSince < mLength * 2 / 3; }
  bool MayTake(instant aNow) const { return !mSeenRevision || aNow - mSeenAt >= mLength; }
  /// Number of this holding; greater than those of all earlier ones.
  std::uint64_t Fence() const { return mFence.value_or(0); }
  std::optional<std::uint64_t> HeldRevision() const { return mHeldRevision; }
  std::optional<std::uint64_t> SeenRevision() const { return mSeenRevision; }

private:
  duration mLength;
  std::optional<std::uint64_t> mSeenRevision;
  instant mSeenAt;
  std::optional<std::uint64_t> mFence;
  std::optional<std::uint64_t> mHeldRevision;
  instant mHeldSince;
};

} // namespace chervilpulley::policy
