#pragma once

#include <optional>
#include <string>

#include "policy/store_revision.h"

/// Elects one leader among instances with a lease. The leader renews an object in the platform's store. An instance
/// that sees the object unchanged for the length of the lease may acquire it with a conditional write. The leader
/// counts its own time from when it sent the renewal, on a clock that keeps running while the machine is suspended, so
/// that it stops before another leader starts. This covers leaders that crash, hang or lose the store.
///
/// When the store comes back from a copy, the object may be gone or old, and its revisions may be given out again. Who
/// knew a lease in the earlier era waits for its length; the leader itself may write it again at once. An instance that
/// knew none may acquire it while the leader has not noticed: fences then tell engines which of the two is later.
namespace chervilpulley::policy {

/// A write of the lease object, as it was sent.
struct lease_attempt
{
  instant mSent;
  bool mIsRenewal = false;                         ///< the sender was the leader when it sent the write
  std::optional<store_revision> mExpectedRevision; ///< revision to replace; nullopt creates the object
};

/// The state of the lease as one instance knows it. The caller reads and writes the object.
class leader_lease
{
public:
  /// @param aLength time for which an unchanged lease is valid.
  explicit leader_lease(duration aLength)
    : mLength(aLength)
  {
  }

  /// Records that the lease object was read with this revision.
  void Seen(const store_revision& aRevision, instant aNow)
  {
    EraSeen(aRevision.mEra, aNow);
    if (mSeenRevision != aRevision) {
      mSeenRevision = aRevision;
      mSeenAt = aNow;
    }
  }
  /// Records that there is no lease object in this era.
  void SeenNone(store_era aEra, instant aNow)
  {
    EraSeen(aEra, aNow);
    mSeenRevision.reset();
  }
  /// Returns the write that renews the lease or acquires it.
  lease_attempt Attempt(instant aNow) const
  {
    const bool held = IsHeld(aNow) && mHeldRevision;
    return { aNow, held, held ? mHeldRevision : mSeenRevision };
  }
  /// Records that the store accepted our write and gave it this revision.
  void Accepted(const lease_attempt& aAttempt, const store_revision& aRevision)
  {
    EraSeen(aRevision.mEra, aAttempt.mSent);
    if (aAttempt.mExpectedRevision && aAttempt.mExpectedRevision->mEra != aRevision.mEra) {
      // The condition was of an earlier era, so the write may have replaced somebody else's.
      Lost();
      Seen(aRevision, aAttempt.mSent);
      return;
    }
    mHeldSince = aAttempt.mSent;
    if (!aAttempt.mIsRenewal || !mFence) {
      mFence = FenceOf(aRevision);
    }
    mHeldRevision = aRevision;
    Seen(aRevision, aAttempt.mSent);
  }
  /// Records that our write was rejected because the object has another revision or is missing. A renewal whose
  /// response was lost looks like a rival's write; the lease is then acquired anew, with a higher fence.
  /// @param aEra of the response.
  void Refused(store_era aEra, const std::optional<store_revision>& aPresent, instant aNow)
  {
    const bool isRestored = aEra > mEra && IsHeld(aNow);
    EraSeen(aEra, aNow);
    if (!isRestored) {
      Lost();
    }
    if (aPresent) {
      Seen(*aPresent, aNow);
    } else {
      mSeenRevision.reset();
    }
  }
  /// Records that another instance holds the lease.
  void Lost()
  {
    mFence.reset();
    mHeldRevision.reset();
  }

  /// Whether this instance is the leader. The last third of the length is a safety margin before the next leader.
  bool IsHeld(instant aNow) const { return mFence && aNow - mHeldSince < mLength * 2 / 3; }
  /// Whether the lease is free or has expired.
  bool MayAcquire(instant aNow) const
  {
    const bool isFree = !mSeenRevision || aNow - mSeenAt >= mLength;
    return isFree && (aNow >= mFreeFrom || IsHeld(aNow));
  }
  /// Fencing number of the current leadership; higher than those of all earlier leaders, also of those in earlier eras.
  std::uint64_t Fence() const { return mFence.value_or(0); }
  const std::optional<store_revision>& HeldRevision() const { return mHeldRevision; }
  const std::optional<store_revision>& SeenRevision() const { return mSeenRevision; }

private:
  /// Revisions rise within an era, so the era comes first. Fences stay exact in a JSON number up to era 2^20.
  static std::uint64_t FenceOf(const store_revision& aRevision)
  {
    constexpr unsigned kRevisionBits = 33;
    return (aRevision.mEra.Value() << kRevisionBits) + aRevision.mNumber;
  }
  /// Forgets the revisions of earlier eras. The lease that was known in them may still be held.
  void EraSeen(store_era aEra, instant aNow)
  {
    if (aEra <= mEra) {
      return;
    }
    if (mSeenRevision) {
      mFreeFrom = aNow + mLength;
    }
    mEra = aEra;
    mSeenRevision.reset();
    mHeldRevision.reset();
  }

  duration mLength;
  store_era mEra;
  instant mFreeFrom; ///< the holder of an earlier era has noticed by then
  std::optional<store_revision> mSeenRevision;
  instant mSeenAt;
  std::optional<std::uint64_t> mFence;
  std::optional<store_revision> mHeldRevision;
  instant mHeldSince;
};

} // namespace chervilpulley::policy
