#include "policy/leader_lease.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;

/// Explores each order of events of two instances that want one duty, over a store that answers late, loses answers and
/// carries out calls late: at no time do both hold it, and a later holding has a greater fence. Time goes in steps, of
/// which the lease lasts three.
namespace {

constexpr duration kStep = std::chrono::seconds(1);
constexpr int kLengthSteps = 3;
/// Calls on their way at once, late ones included, and changes of the object.
constexpr std::size_t kMostCalls = 2;
constexpr std::uint64_t kMostChanges = 5;
constexpr std::size_t kInstances = 2;

enum class call_kind
{
  Write,
  Remove
};

struct call
{
  std::size_t mOwner = 0;
  call_kind mKind = call_kind::Write;
  lease_attempt mAttempt;
  bool mIsAwaited = true; ///< its sender has not given it up
  bool mIsDone = false;   ///< the store has carried it out; the answer is on its way
  bool mIsAccepted = false;
  std::optional<std::uint64_t> mFound; ///< revision that the answer shows
};

template<class Lease>
struct instance
{
  Lease mLease{ kStep * kLengthSteps };
  bool mIsWaiting = false; ///< for the answer to a call
};

template<class Lease>
struct world
{
  int mNow = 0;
  std::uint64_t mRevision = 1;
  std::optional<std::uint64_t> mObject;
  std::optional<std::uint64_t> mObjectBefore; ///< what a reading that is old shows
  std::array<instance<Lease>, kInstances> mInstances;
  std::vector<call> mCalls;
  std::uint64_t mGreatestFence = 0;

  instant Time() const { return instant(kStep * mNow); }

  /// All that decides what may happen from here, as far as it still matters, so that there are finitely many. Worlds
  /// that differ in which instance is which have one key.
  std::string Key() const { return std::min(KeyFrom(0), KeyFrom(1)); }

  std::string KeyFrom(std::size_t aFirst) const
  {
    std::string key;
    key.reserve(48);
    const auto add = [&](std::uint64_t aNumber) { key.push_back(static_cast<char>(aNumber)); };
    add(mRevision);
    add(mObject.value_or(0));
    add(mObjectBefore.value_or(0));
    for (const std::size_t index : { aFirst, 1 - aFirst }) {
      AddInstance(key, mInstances[index]);
    }
    std::vector<std::string> calls;
    calls.reserve(mCalls.size());
    for (const call& each : mCalls) {
      calls.push_back(CallKey(each, aFirst));
    }
    std::sort(calls.begin(), calls.end());
    for (const std::string& each : calls) {
      key += each;
    }
    return key;
  }

private:
  void AddInstance(std::string& aKey, const instance<Lease>& aInstance) const
  {
    const Lease& lease = aInstance.mLease;
    const auto add = [&](std::uint64_t aNumber) { aKey.push_back(static_cast<char>(aNumber)); };
    int heldFor = 0;
    int mayTakeIn = 0;
    for (int step = 0; step <= kLengthSteps; ++step) {
      heldFor += lease.IsHeld(Time() + kStep * step) ? 1 : 0;
      mayTakeIn += lease.MayAcquire(Time() + kStep * step) ? 0 : 1;
    }
    add(static_cast<std::uint64_t>(heldFor * 16 + mayTakeIn * 2 + (aInstance.mIsWaiting ? 1 : 0)));
    add(lease.SeenRevision().value_or(0));
    if (heldFor > 0) {
      add(lease.Fence());
      add(lease.HeldRevision().value_or(0));
    }
  }

  std::string CallKey(const call& aCall, std::size_t aFirst) const
  {
    const auto age = std::min<std::int64_t>((Time() - aCall.mAttempt.mSent) / kStep, kLengthSteps);
    const std::uint64_t flags = (aCall.mOwner == aFirst ? 1 : 0) + (aCall.mKind == call_kind::Write ? 2 : 0) +
                                (aCall.mAttempt.mIsRenewal ? 4 : 0) + (aCall.mIsAwaited ? 8 : 0) +
                                (aCall.mIsDone ? 16 : 0) + (aCall.mIsAccepted ? 32 : 0);
    // One that nobody awaits matters by its condition only.
    const bool matters = aCall.mIsAwaited;
    return { static_cast<char>(matters ? flags : flags & 2U),
             static_cast<char>(aCall.mAttempt.mExpectedRevision.value_or(0)),
             static_cast<char>(matters ? aCall.mFound.value_or(0) : 0),
             static_cast<char>(matters ? age + kLengthSteps : 0) };
  }
};

/// What is wrong where two hold the duty.
template<class Lease>
std::string Fault(const world<Lease>& aWorld)
{
  std::size_t holders = 0;
  for (const auto& each : aWorld.mInstances) {
    holders += each.mLease.IsHeld(aWorld.Time()) ? 1 : 0;
  }
  return holders > 1 ? "two hold the duty" : "";
}

template<class Lease>
class exploration
{
public:
  /// @param aRemovesOnlyItsOwn whether who leaves removes the object only as it knows it.
  explicit exploration(bool aRemovesOnlyItsOwn = true)
    : mRemovesOnlyItsOwn(aRemovesOnlyItsOwn)
  {
  }

  /// The first fault found; empty when there is none.
  std::string Run()
  {
    Reach(world<Lease>());
    while (!mOpen.empty() && mFault.empty()) {
      const world<Lease> from = std::move(mOpen.front());
      mOpen.pop_front();
      Expand(from);
    }
    return mFault;
  }

  std::size_t Seen() const { return mSeen.size(); }

private:
  void Reach(world<Lease> aWorld)
  {
    if (!mFault.empty()) {
      return;
    }
    mFault = Fault(aWorld);
    if (mSeen.insert(aWorld.Key()).second) {
      mOpen.push_back(std::move(aWorld));
    }
  }

  void Expand(const world<Lease>& aFrom)
  {
    world<Lease> later = aFrom;
    ++later.mNow;
    Reach(std::move(later));
    for (std::size_t index = 0; index < kInstances; ++index) {
      LetAct(aFrom, index);
    }
    for (std::size_t index = 0; index < aFrom.mCalls.size(); ++index) {
      LetMove(aFrom, index);
    }
  }

  /// What an instance may do by itself. One that is paused does nothing while the others go on.
  void LetAct(const world<Lease>& aFrom, std::size_t aIndex)
  {
    Restart(aFrom, aIndex);
    const instance<Lease>& self = aFrom.mInstances[aIndex];
    if (self.mIsWaiting) {
      return;
    }
    for (const bool isOld : { false, true }) {
      world<Lease> next = aFrom;
      const auto& shown = isOld ? aFrom.mObjectBefore : aFrom.mObject;
      shown ? next.mInstances[aIndex].mLease.Seen(*shown, aFrom.Time()) : next.mInstances[aIndex].mLease.SeenNone();
      Reach(std::move(next));
    }
    if (aFrom.mCalls.size() >= kMostCalls) {
      return;
    }
    const instant now = aFrom.Time();
    if (self.mLease.IsHeld(now) || self.mLease.MayAcquire(now)) {
      world<Lease> next = aFrom;
      next.mInstances[aIndex].mIsWaiting = true;
      next.mCalls.push_back({ aIndex, call_kind::Write, self.mLease.Attempt(now) });
      Reach(std::move(next));
    }
    if (self.mLease.IsHeld(now)) {
      // It leaves, and another process starts in its place.
      world<Lease> next = aFrom;
      next.mCalls.push_back({ aIndex, call_kind::Remove, self.mLease.Attempt(now), false });
      next.mInstances[aIndex] = {};
      Reach(std::move(next));
    }
  }

  void Restart(const world<Lease>& aFrom, std::size_t aIndex)
  {
    world<Lease> next = aFrom;
    GiveUpCalls(next, aIndex);
    next.mInstances[aIndex] = {};
    Reach(std::move(next));
  }

  static void GiveUpCalls(world<Lease>& aWorld, std::size_t aOwner)
  {
    for (call& each : aWorld.mCalls) {
      each.mIsAwaited = each.mIsAwaited && each.mOwner != aOwner;
    }
    std::erase_if(aWorld.mCalls, [](const call& aCall) { return !aCall.mIsAwaited && aCall.mIsDone; });
    aWorld.mInstances[aOwner].mIsWaiting = false;
  }

  /// A call is carried out now, or given up by its sender, or its answer comes. One that is lost stays on its way.
  void LetMove(const world<Lease>& aFrom, std::size_t aIndex)
  {
    const call& moved = aFrom.mCalls[aIndex];
    if (!moved.mIsDone) {
      world<Lease> next = aFrom;
      CarryOut(next, aIndex);
      if (next.mRevision <= kMostChanges) {
        Reach(std::move(next));
      }
    } else {
      world<Lease> next = aFrom;
      Deliver(next, aIndex);
      Reach(std::move(next));
    }
    if (moved.mIsAwaited) {
      world<Lease> next = aFrom;
      GiveUpCalls(next, moved.mOwner);
      Reach(std::move(next));
    }
  }

  void CarryOut(world<Lease>& aWorld, std::size_t aIndex)
  {
    call& done = aWorld.mCalls[aIndex];
    const auto& condition = done.mAttempt.mExpectedRevision;
    const bool fits = aWorld.mObject == condition || (done.mKind == call_kind::Remove && !mRemovesOnlyItsOwn);
    done.mIsDone = true;
    done.mIsAccepted = fits;
    if (fits && (done.mKind == call_kind::Write || aWorld.mObject)) {
      aWorld.mObjectBefore = aWorld.mObject;
      ++aWorld.mRevision;
      aWorld.mObject = done.mKind == call_kind::Write ? std::optional(aWorld.mRevision) : std::nullopt;
    }
    done.mFound = aWorld.mObject;
    if (!done.mIsAwaited) {
      aWorld.mCalls.erase(aWorld.mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
    }
  }

  void Deliver(world<Lease>& aWorld, std::size_t aIndex)
  {
    const call answered = aWorld.mCalls[aIndex];
    aWorld.mCalls.erase(aWorld.mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
    instance<Lease>& owner = aWorld.mInstances[answered.mOwner];
    owner.mIsWaiting = false;
    if (!answered.mIsAccepted) {
      owner.mLease.Refused(answered.mFound, aWorld.Time());
      return;
    }
    owner.mLease.Accepted(answered.mAttempt, *answered.mFound);
    if (!owner.mLease.IsHeld(aWorld.Time()) || answered.mAttempt.mIsRenewal) {
      return;
    }
    if (owner.mLease.Fence() <= aWorld.mGreatestFence) {
      mFault = "a later holding has no greater fence";
    }
    aWorld.mGreatestFence = std::max(aWorld.mGreatestFence, owner.mLease.Fence());
  }

  bool mRemovesOnlyItsOwn;
  std::string mFault;
  std::deque<world<Lease>> mOpen;
  std::unordered_set<std::string> mSeen;
};

/// Counts the length of its lease from later than it was asked for.
struct lease_counted_late : leader_lease
{
  using leader_lease::leader_lease;
  lease_attempt Attempt(instant aNow) const
  {
    lease_attempt attempt = leader_lease::Attempt(aNow);
    attempt.mSent += kStep * 2;
    return attempt;
  }
};

/// Takes a lease over as soon as its holder has not renewed it for a part of its length.
struct lease_taken_early : leader_lease
{
  using leader_lease::leader_lease;
  bool MayAcquire(instant aNow) const { return leader_lease::MayAcquire(aNow + kStep * 2); }
};

/// Takes the object whatever its revision.
struct lease_without_condition : leader_lease
{
  using leader_lease::leader_lease;
  void Refused(std::optional<std::uint64_t> aPresent, instant aNow)
  {
    if (aPresent) {
      Accepted({ aNow, false, {} }, *aPresent);
    }
  }
};

/// Keeps the fence of an earlier holding.
struct lease_with_an_old_fence : leader_lease
{
  using leader_lease::leader_lease;
  void Accepted(const lease_attempt& aAttempt, std::uint64_t aRevision)
  {
    leader_lease::Accepted(aAttempt, aRevision);
    mOldFence = mOldFence ? mOldFence : leader_lease::Fence();
  }
  std::uint64_t Fence() const { return mOldFence; }
  std::uint64_t mOldFence = 0;
};

} // namespace

TEST_CASE("duty_lease_in_any_order_of_events_has_one_holder_and_rising_fences")
{
  exploration<leader_lease> all;
  CHECK(all.Run() == "");
  CHECK(all.Seen() > 10000);
}

TEST_CASE("duty_lease_model_finds_each_mutation")
{
  CHECK(exploration<leader_lease>(false).Run() == "two hold the duty");
  CHECK(exploration<lease_counted_late>().Run() == "two hold the duty");
  CHECK(exploration<lease_taken_early>().Run() == "two hold the duty");
  CHECK(exploration<lease_without_condition>().Run() == "two hold the duty");
  CHECK(exploration<lease_with_an_old_fence>().Run() == "a later holding has no greater fence");
}
