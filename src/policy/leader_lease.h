#pragma once

#include <optional>
#include <string>

#include "chervilpulley/policy_types.h"

/// Who carries out a duty that one instance at a time has: the holder renews an object of the platform's store, and
/// whoever sees it unchanged for the length of the lease may take it, by a conditional write. The holder's own time
/// counts from when it sent the renewal, on a clock that runs on while the machine is suspended, so that it stops
/// before another one starts.
namespace chervilpulley::policy {

/// A write of the lease object, as it was sent.
struct lease_attempt
{
  instant mSent;
  bool mIsRenewal = false;                        ///< the sender held the duty then
  std::optional<std::uint64_t> mExpectedRevision; ///< revision that it replaces; nothing: it creates the object
};

class leader_lease
{
public:
  /// @param aLength time that an unchanged lease lasts.
  explicit leader_lease(duration aLength)
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
  /// The write that renews the lease, or takes it.
  lease_attempt Attempt(instant aNow) const
  {
    const bool held = IsHeld(aNow);
    return { aNow, held, held ? mHeldRevision : mSeenRevision };
  }
  /// Our write made this revision.
  void Accepted(const lease_attempt& aAttempt, std::uint64_t aRevision)
  {
    mHeldSince = aAttempt.mSent;
    if (!aAttempt.mIsRenewal || !mFence) {
      mFence = aRevision;
    }
    mHeldRevision = aRevision;
    Seen(aRevision, aAttempt.mSent);
  }
  /// Our write found another revision, or no object. A renewal of ours whose answer was lost looks like a rival's
  /// write; then we begin anew, with a greater fence.
  void Refused(std::optional<std::uint64_t> aPresent, instant aNow)
  {
    Lost();
    if (aPresent) {
      Seen(*aPresent, aNow);
    } else {
      SeenNone();
    }
  }
  /// Another instance has it.
  void Lost()
  {
    mFence.reset();
    mHeldRevision.reset();
  }

  /// Whether the duty is ours; a part of the length is kept as a distance to the next holder.
  bool IsHeld(instant aNow) const { return mFence && aNow - mHeldSince < mLength * 2 / 3; }
  bool MayAcquire(instant aNow) const { return !mSeenRevision || aNow - mSeenAt >= mLength; }
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
