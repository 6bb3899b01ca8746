#include "policy/config_writer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <list>
#include <map>
#include <random>
#include <set>

#include "config_changes.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace chervilpulley::test;

namespace {

constexpr std::size_t kInstances = 3;
constexpr std::size_t kMaxWriters = 4;

/// Faults injected into the simulation, to show that each check can fail.
enum class mutation
{
  None,
  OverwriteRevision,        ///< the platform ignores the condition of a creation
  LostResponseIsNotCreated, ///< a lost response counts as no effect
  LostResponseIsCreated,    ///< a lost response counts as accepted
  ForgetChangeIds,          ///< an instance forgets which changes were accepted
  RevertToOlderState,       ///< an instance installs an older state from a peer
  SkipEntry,                ///< an instance counts an entry that it did not apply
};

/// One event: its kind, and two numbers whose meaning depends on the kind.
struct event
{
  std::uint8_t mKind = 0;
  std::uint8_t mTarget = 0;
  std::uint8_t mArgument = 0;
};

/// A write of a change that is in progress on an instance.
struct writer
{
  std::size_t mInstance = 0;
  std::string mChangeId;
  std::uint64_t mNonce = 0;
  config_writer mWriter;
  write_step mStep;
};

/// Instances, operators and a platform with faults, driven by a list of events.
class simulation
{
public:
  explicit simulation(mutation aMutation)
    : mMutation(aMutation)
  {
  }

  /// @return the violated invariants, one per line; empty if there are none.
  std::string Run(const std::vector<event>& aEvents)
  {
    for (const auto& event : aEvents) {
      RunEvent(event);
      CheckInstances();
    }
    for (auto& [key, entry] : mDelayed) {
      CreateOnPlatform(key, entry);
    }
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      Pull(instance, mPlatform.size() + 1);
    }
    CheckInstances();
    CheckLog();
    return mViolations;
  }

private:
  void RunEvent(const event& aEvent)
  {
    const std::size_t instance = aEvent.mTarget % kInstances;
    switch (aEvent.mKind % 10) {
      case 0:
      case 1:
        return Start(instance, aEvent.mArgument);
      case 2:
      case 3:
      case 4:
      case 5:
        return Step(aEvent.mTarget, aEvent.mArgument);
      case 6:
        return Pull(instance, aEvent.mArgument % 4U);
      case 7:
        return Restart(instance);
      case 8:
        return InstallState(instance, aEvent.mArgument % kInstances);
      default:
        if (aEvent.mTarget % 2 == 0) {
          mOutage = !mOutage;
        } else if (!mDelayed.empty()) {
          CreateOnPlatform(mDelayed.front().first, mDelayed.front().second);
          mDelayed.pop_front();
        }
    }
  }

  admin::change ChangeOf(std::size_t aInstance, std::uint8_t aArgument)
  {
    const std::string id = "c" + std::to_string(aArgument % 24);
    auto known = mChanges.find(id);
    if (known != mChanges.end()) {
      return known->second;
    }
    const std::string name = "w" + std::to_string(aArgument % 3);
    const auto* present = mLogs[aInstance].Objects().Find(admin::OBJECT_KIND_WORKSPACE, name);
    admin::change change;
    change.set_change_id(id);
    if (aArgument % 4 == 3) {
      AddDelete(change, admin::OBJECT_KIND_WORKSPACE, name);
    } else if (aArgument % 4 == 2) {
      AddPut(change, Workspace(name, aArgument), 0, admin::CHANGE_OP_CREATE);
    } else {
      AddPut(change, Workspace(name, aArgument), present == nullptr ? 0 : present->version());
    }
    return mChanges[id] = change;
  }

  void Start(std::size_t aInstance, std::uint8_t aArgument)
  {
    if (mWriters.size() == kMaxWriters) {
      return;
    }
    const auto change = ChangeOf(aInstance, aArgument);
    const auto nonce = ++mLastNonce;
    mWriters.push_back({ aInstance, change.change_id(), nonce, config_writer(change, { "ann", {}, nonce }), {} });
    auto& writer = mWriters.back();
    writer.mStep = writer.mWriter.Start(mLogs[aInstance]);
    Finish(mWriters.size() - 1);
  }

  void Step(std::size_t aTarget, std::uint8_t aFault)
  {
    if (mWriters.empty()) {
      return;
    }
    const std::size_t index = aTarget % mWriters.size();
    auto& writer = mWriters[index];
    writer.mStep = writer.mStep.mAction == write_step::action::Create ? Create(writer, aFault % 10) : Read(writer);
    Finish(index);
  }

  write_step Create(writer& aWriter, unsigned aFault)
  {
    const auto revision = aWriter.mStep.mRevision.Value();
    const auto entry = aWriter.mStep.mEntry;
    if (mOutage && aFault % 2 == 0) {
      return aWriter.mWriter.OnNotCreated("down");
    }
    if (mOutage || aFault == 6) {
      return LoseResponse(aWriter);
    }
    if (aFault == 7) {
      CreateOnPlatform(revision, entry);
      return LoseResponse(aWriter);
    }
    if (aFault == 8) {
      mDelayed.emplace_back(revision, entry);
      return LoseResponse(aWriter);
    }
    return CreateOnPlatform(revision, entry) ? aWriter.mWriter.OnCreated(mLogs[aWriter.mInstance])
                                             : aWriter.mWriter.OnAlreadyExists();
  }

  write_step LoseResponse(writer& aWriter)
  {
    if (mMutation == mutation::LostResponseIsNotCreated) {
      return aWriter.mWriter.OnNotCreated("lost");
    }
    if (mMutation == mutation::LostResponseIsCreated) {
      return aWriter.mWriter.OnCreated(mLogs[aWriter.mInstance]);
    }
    return aWriter.mWriter.OnResponseLost();
  }

  write_step Read(writer& aWriter)
  {
    if (mOutage) {
      return aWriter.mWriter.OnReadFailed("down");
    }
    auto found = mPlatform.find(aWriter.mStep.mRevision.Value());
    return aWriter.mWriter.OnRead(mLogs[aWriter.mInstance],
                                  found == mPlatform.end() ? std::nullopt : std::optional(found->second));
  }

  bool CreateOnPlatform(std::uint64_t aRevision, const admin::log_entry& aEntry)
  {
    if (mMutation == mutation::OverwriteRevision) {
      mPlatform[aRevision] = aEntry;
      return true;
    }
    return mPlatform.emplace(aRevision, aEntry).second;
  }

  void Finish(std::size_t aIndex)
  {
    auto& writer = mWriters[aIndex];
    if (writer.mStep.mAction != write_step::action::Done) {
      return;
    }
    const auto& result = writer.mStep.mResult;
    if (result) {
      mAccepted.push_back({ writer.mChangeId, result.value().mRevision.Value() });
    } else if (result.error().mCode != write_errc::Unknown) {
      mWithoutEffect.insert(writer.mNonce);
    }
    mWriters.erase(mWriters.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  void Pull(std::size_t aInstance, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto found = mPlatform.find(mLogs[aInstance].Revision().Value() + 1);
      if (found == mPlatform.end()) {
        return;
      }
      auto entry = found->second;
      if (mMutation == mutation::SkipEntry && aCount == 3) {
        entry.mutable_change()->clear_operations();
      }
      mLogs[aInstance].Accept(entry);
    }
  }

  void Restart(std::size_t aInstance)
  {
    mLogs[aInstance] = config_log();
    mLastRevisions[aInstance] = 0;
    std::erase_if(mWriters, [&](const writer& aWriter) { return aWriter.mInstance == aInstance; });
  }

  void InstallState(std::size_t aInstance, std::size_t aFrom)
  {
    auto state = mLogs[aFrom].State();
    if (mMutation == mutation::ForgetChangeIds) {
      state.clear_recent_change_ids();
    }
    if (mMutation == mutation::RevertToOlderState) {
      mLogs[aInstance] = config_log();
    }
    mLogs[aInstance].Install(state);
  }

  void CheckInstances()
  {
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      const auto revision = mLogs[instance].Revision().Value();
      if (revision < mLastRevisions[instance]) {
        Fail("an instance went back to a lower revision");
      }
      if (revision == mLastRevisions[instance] && revision != 0) {
        continue;
      }
      mLastRevisions[instance] = revision;
      const auto state = mLogs[instance].State().SerializeAsString();
      if (mStates.emplace(revision, state).first->second != state) {
        Fail("two instances differ at revision " + std::to_string(revision));
      }
    }
  }

  void CheckLog()
  {
    std::set<std::string> ids;
    config_objects objects;
    for (const auto& [revision, entry] : mPlatform) {
      if (!ids.insert(entry.change().change_id()).second) {
        Fail("change " + entry.change().change_id() + " took effect twice");
      }
      auto after = ApplyChecked(objects, entry.change(), revision);
      if (!after) {
        Fail("revision " + std::to_string(revision) + " breaks a rule: " + after.error().mMessage);
        return;
      }
      objects = after.value();
      if (mWithoutEffect.count(entry.writer_nonce()) > 0) {
        Fail("a change without effect is in the log at revision " + std::to_string(revision));
      }
    }
    for (const auto& [id, revision] : mAccepted) {
      auto found = mPlatform.find(revision);
      if (found == mPlatform.end() || found->second.change().change_id() != id) {
        Fail("accepted change " + id + " is lost");
      }
    }
  }

  void Fail(const std::string& aText)
  {
    if (mViolations.find(aText) == std::string::npos) {
      mViolations += aText + "\n";
    }
  }

  const mutation mMutation;
  std::map<std::uint64_t, admin::log_entry> mPlatform;
  std::list<std::pair<std::uint64_t, admin::log_entry>>
    mDelayed; ///< writes that take effect after their writer timed out
  std::map<std::string, admin::change> mChanges;
  std::vector<writer> mWriters;
  config_log mLogs[kInstances];
  std::uint64_t mLastRevisions[kInstances] = {};
  std::map<std::uint64_t, std::string> mStates;
  std::vector<std::pair<std::string, std::uint64_t>> mAccepted;
  std::set<std::uint64_t> mWithoutEffect;
  std::uint64_t mLastNonce = 0;
  bool mOutage = false;
  std::string mViolations;
};

std::vector<event> RandomEvents(std::mt19937& aRandom, std::size_t aCount)
{
  std::vector<event> events(aCount);
  for (auto& event : events) {
    event = { static_cast<std::uint8_t>(aRandom()),
              static_cast<std::uint8_t>(aRandom()),
              static_cast<std::uint8_t>(aRandom()) };
  }
  return events;
}

} // namespace

namespace rc {

template<>
struct Arbitrary<event>
{
  static Gen<event> arbitrary()
  {
    return gen::build<event>(gen::set(&event::mKind), gen::set(&event::mTarget), gen::set(&event::mArgument));
  }
};

void showValue(const event& aEvent, std::ostream& aOut)
{
  aOut << int(aEvent.mKind % 10) << "/" << int(aEvent.mTarget) << "/" << int(aEvent.mArgument);
}

} // namespace rc

TEST_CASE("config_log_under_any_order_of_events_keeps_its_invariants")
{
  REQUIRE(rc::check([](const std::vector<event>& aEvents) {
    const auto fault = simulation(mutation::None).Run(aEvents);
    RC_ASSERT(fault == "");
  }));
}

TEST_CASE("config_log_under_long_sequences_of_events_keeps_its_invariants")
{
  std::mt19937 random(20261204);
  for (int i = 0; i < 2000; ++i) {
    CAPTURE(i);
    REQUIRE(simulation(mutation::None).Run(RandomEvents(random, 80)) == "");
  }
}

TEST_CASE("config_log_checks_fail_on_each_mutation")
{
  struct row
  {
    mutation mMutation;
    const char* mFault;
  };
  const row rows[] = {
    { mutation::OverwriteRevision, "two instances differ" },
    { mutation::LostResponseIsNotCreated, "a change without effect" },
    { mutation::LostResponseIsCreated, "two instances differ" },
    { mutation::LostResponseIsCreated, "is lost" },
    { mutation::ForgetChangeIds, "took effect twice" },
    { mutation::RevertToOlderState, "went back to a lower revision" },
    { mutation::SkipEntry, "two instances differ at revision" },
  };
  for (const auto& row : rows) {
    std::mt19937 random(20261204);
    bool found = false;
    for (int i = 0; i < 2000 && !found; ++i) {
      const auto fault = simulation(row.mMutation).Run(RandomEvents(random, 80));
      found = fault.find(row.mFault) != std::string::npos;
    }
    CAPTURE(row.mFault);
    REQUIRE(found);
  }
}
