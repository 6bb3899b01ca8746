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

constexpr std::size_t kNodes = 3;
constexpr std::size_t kWriters = 4;

/// What the simulation does wrong on purpose, so that each check is seen to fail.
enum class mutation
{
  None,
  OverwriteRevision,  ///< the platform ignores the condition of a creation
  LostIsNotCreated,   ///< a lost answer counts as no effect
  LostIsCreated,      ///< a lost answer counts as accepted
  ForgetChangeIds,    ///< a node forgets which changes were accepted
  RevertToOlderState, ///< a node takes an older state from a peer
  SkipEntry,          ///< a node counts an entry that it did not apply
};

/// One event: its kind, and two choices whose meaning depends on it.
struct event
{
  std::uint8_t mKind = 0;
  std::uint8_t mWho = 0;
  std::uint8_t mWhat = 0;
};

struct writer
{
  std::size_t mNode = 0;
  std::string mChangeId;
  std::uint64_t mNonce = 0;
  config_writer mWriter;
  write_step mStep;
};

/// Nodes, operators and a platform with faults, driven by a list of events.
class simulation
{
public:
  explicit simulation(mutation aMutation)
    : mMutation(aMutation)
  {
  }

  /// @return the promises that were broken, one a line; empty when all held.
  std::string Run(const std::vector<event>& aEvents)
  {
    for (const auto& event : aEvents) {
      Do(event);
      CheckNodes();
    }
    for (auto& [key, entry] : mDelayed) {
      CreateOnPlatform(key, entry);
    }
    for (std::size_t node = 0; node < kNodes; ++node) {
      Pull(node, mPlatform.size() + 1);
    }
    CheckNodes();
    CheckLog();
    return mFaults;
  }

private:
  void Do(const event& aEvent)
  {
    const std::size_t node = aEvent.mWho % kNodes;
    switch (aEvent.mKind % 10) {
      case 0:
      case 1:
        return Start(node, aEvent.mWhat);
      case 2:
      case 3:
      case 4:
      case 5:
        return Step(aEvent.mWho, aEvent.mWhat);
      case 6:
        return Pull(node, aEvent.mWhat % 4U);
      case 7:
        return Restart(node);
      case 8:
        return TakeState(node, aEvent.mWhat % kNodes);
      default:
        if (aEvent.mWho % 2 == 0) {
          mOutage = !mOutage;
        } else if (!mDelayed.empty()) {
          CreateOnPlatform(mDelayed.front().first, mDelayed.front().second);
          mDelayed.pop_front();
        }
    }
  }

  admin::change ChangeOf(std::size_t aNode, std::uint8_t aWhat)
  {
    const std::string id = "c" + std::to_string(aWhat % 24);
    auto known = mChanges.find(id);
    if (known != mChanges.end()) {
      return known->second;
    }
    const std::string name = "w" + std::to_string(aWhat % 3);
    const auto* present = mLogs[aNode].Objects().Find(admin::OBJECT_KIND_WORKSPACE, name);
    admin::change change;
    change.set_change_id(id);
    if (aWhat % 4 == 3) {
      AddDelete(change, admin::OBJECT_KIND_WORKSPACE, name);
    } else if (aWhat % 4 == 2) {
      AddPut(change, Workspace(name, aWhat), 0, admin::CHANGE_OP_CREATE);
    } else {
      AddPut(change, Workspace(name, aWhat), present == nullptr ? 0 : present->version());
    }
    return mChanges[id] = change;
  }

  void Start(std::size_t aNode, std::uint8_t aWhat)
  {
    if (mWriters.size() == kWriters) {
      return;
    }
    const auto change = ChangeOf(aNode, aWhat);
    const auto nonce = ++mLastNonce;
    mWriters.push_back({ aNode, change.change_id(), nonce, config_writer(change, { "ann", {}, nonce }), {} });
    auto& writer = mWriters.back();
    writer.mStep = writer.mWriter.Start(mLogs[aNode]);
    Finish(mWriters.size() - 1);
  }

  void Step(std::size_t aWho, std::uint8_t aFault)
  {
    if (mWriters.empty()) {
      return;
    }
    const std::size_t index = aWho % mWriters.size();
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
      return Lost(aWriter);
    }
    if (aFault == 7) {
      CreateOnPlatform(revision, entry);
      return Lost(aWriter);
    }
    if (aFault == 8) {
      mDelayed.emplace_back(revision, entry);
      return Lost(aWriter);
    }
    return CreateOnPlatform(revision, entry) ? aWriter.mWriter.OnCreated(mLogs[aWriter.mNode])
                                             : aWriter.mWriter.OnAlreadyExists();
  }

  write_step Lost(writer& aWriter)
  {
    if (mMutation == mutation::LostIsNotCreated) {
      return aWriter.mWriter.OnNotCreated("lost");
    }
    if (mMutation == mutation::LostIsCreated) {
      return aWriter.mWriter.OnCreated(mLogs[aWriter.mNode]);
    }
    return aWriter.mWriter.OnResponseLost();
  }

  write_step Read(writer& aWriter)
  {
    if (mOutage) {
      return aWriter.mWriter.OnReadFailed("down");
    }
    auto found = mPlatform.find(aWriter.mStep.mRevision.Value());
    return aWriter.mWriter.OnRead(mLogs[aWriter.mNode],
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

  void Pull(std::size_t aNode, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      auto found = mPlatform.find(mLogs[aNode].Revision().Value() + 1);
      if (found == mPlatform.end()) {
        return;
      }
      auto entry = found->second;
      if (mMutation == mutation::SkipEntry && aCount == 3) {
        entry.mutable_change()->clear_operations();
      }
      mLogs[aNode].Accept(entry);
    }
  }

  void Restart(std::size_t aNode)
  {
    mLogs[aNode] = config_log();
    mLastSeen[aNode] = 0;
    std::erase_if(mWriters, [&](const writer& aWriter) { return aWriter.mNode == aNode; });
  }

  void TakeState(std::size_t aNode, std::size_t aFrom)
  {
    auto state = mLogs[aFrom].State();
    if (mMutation == mutation::ForgetChangeIds) {
      state.clear_recent_change_ids();
    }
    if (mMutation == mutation::RevertToOlderState) {
      mLogs[aNode] = config_log();
    }
    mLogs[aNode].Install(state);
  }

  void CheckNodes()
  {
    for (std::size_t node = 0; node < kNodes; ++node) {
      const auto revision = mLogs[node].Revision().Value();
      if (revision < mLastSeen[node]) {
        Fail("a node took a lower revision");
      }
      if (revision == mLastSeen[node] && revision != 0) {
        continue;
      }
      mLastSeen[node] = revision;
      const auto state = mLogs[node].State().SerializeAsString();
      if (mStates.emplace(revision, state).first->second != state) {
        Fail("two nodes differ at revision " + std::to_string(revision));
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
    if (mFaults.find(aText) == std::string::npos) {
      mFaults += aText + "\n";
    }
  }

  const mutation mMutation;
  std::map<std::uint64_t, admin::log_entry> mPlatform;
  std::list<std::pair<std::uint64_t, admin::log_entry>>
    mDelayed; ///< writes under way whose writer has given up waiting
  std::map<std::string, admin::change> mChanges;
  std::vector<writer> mWriters;
  config_log mLogs[kNodes];
  std::uint64_t mLastSeen[kNodes] = {};
  std::map<std::uint64_t, std::string> mStates;
  std::vector<std::pair<std::string, std::uint64_t>> mAccepted;
  std::set<std::uint64_t> mWithoutEffect;
  std::uint64_t mLastNonce = 0;
  bool mOutage = false;
  std::string mFaults;
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
    return gen::build<event>(gen::set(&event::mKind), gen::set(&event::mWho), gen::set(&event::mWhat));
  }
};

void showValue(const event& aEvent, std::ostream& aOut)
{
  aOut << int(aEvent.mKind % 10) << "/" << int(aEvent.mWho) << "/" << int(aEvent.mWhat);
}

} // namespace rc

TEST_CASE("config_log_under_any_order_of_events_keeps_its_promises")
{
  REQUIRE(rc::check([](const std::vector<event>& aEvents) {
    const auto fault = simulation(mutation::None).Run(aEvents);
    RC_ASSERT(fault == "");
  }));
}

TEST_CASE("config_log_under_long_orders_of_events_keeps_its_promises")
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
    { mutation::OverwriteRevision, "two nodes differ" },     { mutation::LostIsNotCreated, "a change without effect" },
    { mutation::LostIsCreated, "two nodes differ" },         { mutation::LostIsCreated, "is lost" },
    { mutation::ForgetChangeIds, "took effect twice" },      { mutation::RevertToOlderState, "took a lower revision" },
    { mutation::SkipEntry, "two nodes differ at revision" },
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
