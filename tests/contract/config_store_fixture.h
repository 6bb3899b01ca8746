#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

#include "chervilpulley/config.h"
#include "config/config_encoding.h"
#include "config/replicated_config_store.h"
#include "contract/config_fakes.h"
#include "unit/config_changes.h"

/// Configuration stores of several nodes over fakes of the platform and of each other.
namespace chervilpulley::test {

using namespace chervilpulley::config;

inline constexpr duration kPatience = std::chrono::seconds(10);

struct node
{
  std::string mName;
  std::string mDomain;
  std::uint16_t mPort = 0;
  std::unique_ptr<fake_object_store> mObjects;
  ref<config_store> mStore;
};

/// Nodes in three failure domains over one platform.
struct config_store_fixture
{
  ~config_store_fixture()
  {
    for (auto& node : mNodes) {
      node.mStore->Stop();
    }
    mContext.run_for(std::chrono::milliseconds(20));
    mPeers->mStores.clear(); // the stores refer to the peers as well
  }

  node& Add(const std::string& aName, const std::string& aDomain)
  {
    config_store_options options;
    options.mInstance = instance_id(aName);
    options.mFailureDomain = failure_domain_id(aDomain);
    options.mPullTimeout = std::chrono::milliseconds(60);
    options.mWatchTimeout = std::chrono::milliseconds(60);
    options.mPeerTimeout = std::chrono::milliseconds(30);
    options.mRetryDelay = std::chrono::milliseconds(5);
    options.mCatchUpDelay = std::chrono::milliseconds(10);
    options.mPropagationTimeout = mPropagationTimeout;
    options.mSnapshotInterval = mSnapshotInterval;
    auto objects = std::make_unique<fake_object_store>(mContext, mPlatform);
    auto store = MakeConfigStore(mContext, *objects, mPeers, options);
    const auto port = static_cast<std::uint16_t>(mNodes.size() + 1);
    mPeers->mStores[port] = store;
    mNodes.push_back({ aName, aDomain, port, std::move(objects), store });
    Announce();
    store->Run();
    return mNodes.back();
  }

  void AddNine()
  {
    for (const char* domain : { "a", "b", "c" }) {
      for (int i = 0; i < 3; ++i) {
        Add(domain + std::to_string(i), domain);
      }
    }
    REQUIRE(RunUntil([&] { return AllReady(); }));
  }

  /// Gives all nodes the list of all.
  void Announce()
  {
    std::vector<platform::live_instance> list;
    for (const auto& node : mNodes) {
      platform::live_instance instance;
      instance.mInstance = instance_id(node.mName);
      instance.mFailureDomain = failure_domain_id(node.mDomain);
      instance.mPeer = { "127.0.0.1", node.mPort };
      list.push_back(instance);
    }
    for (auto& node : mNodes) {
      node.mStore->UpdateInstances(list);
    }
  }

  template<class Condition>
  bool RunUntil(const Condition& aCondition, duration aTime = kPatience)
  {
    const auto deadline = Now() + aTime;
    while (!aCondition()) {
      if (Now() >= deadline) {
        return false;
      }
      mContext.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  using pending = std::shared_ptr<std::optional<config_result<apply_outcome>>>;

  pending Start(node& aNode, const admin::change& aChange)
  {
    auto answer = std::make_shared<std::optional<config_result<apply_outcome>>>();
    auto run = [](ref<config_store> aStore, admin::change aWanted, pending aAnswer) -> boost::asio::awaitable<void> {
      aAnswer->emplace(co_await aStore->Apply(aWanted, "ann"));
    };
    boost::asio::co_spawn(mContext, run(aNode.mStore, aChange, answer), boost::asio::detached);
    return answer;
  }

  config_result<apply_outcome> Apply(node& aNode, const admin::change& aChange)
  {
    const auto answer = Start(aNode, aChange);
    REQUIRE(RunUntil([&] { return answer->has_value(); }));
    return **answer;
  }

  bool AllReady() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const node& aNode) { return aNode.mStore->Ready(); });
  }

  bool AllAt(std::uint64_t aRevision) const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const node& aNode) {
      return aNode.mStore->Current()->Revision().Value() == aRevision;
    });
  }

  /// The log in the platform, by revision.
  std::vector<admin::log_entry> PlatformLog() const
  {
    std::vector<admin::log_entry> entries;
    for (revision_number revision(1);; revision = revision.Next()) {
      auto found = mPlatform.mObjects.find(LogKey(revision));
      if (found == mPlatform.mObjects.end()) {
        return entries;
      }
      entries.push_back(DecodeEntry(found->second.mBody, revision).value());
    }
  }

  /// @return the fault; empty when the log holds each accepted change once, at the revision that was told.
  std::string JudgeLog(const std::vector<std::pair<std::string, revision_number>>& aAccepted) const
  {
    const auto entries = PlatformLog();
    std::set<std::string> ids;
    for (const auto& entry : entries) {
      if (!ids.insert(entry.change().change_id()).second) {
        return "change " + entry.change().change_id() + " is in the log twice";
      }
    }
    for (const auto& [id, revision] : aAccepted) {
      if (revision.Value() > entries.size() || entries[revision.Value() - 1].change().change_id() != id) {
        return "accepted change " + id + " is not in the log at its revision";
      }
    }
    return "";
  }

  /// Two operators change the same workspace from the same version; judges that one wins.
  std::string JudgeRace()
  {
    const auto base = Apply(mNodes[0], Put("base", Workspace("w")));
    if (!base) {
      return "base change failed: " + base.error().mMessage;
    }
    const auto version = base.value().mRevision.Value();
    RunUntil([&] { return AllAt(version); }, std::chrono::seconds(1));
    const auto left = Start(mNodes[0], Put("left", Workspace("w", 2), version));
    const auto right = Start(mNodes[3], Put("right", Workspace("w", 3), version));
    RunUntil([&] { return left->has_value() && right->has_value(); });
    const bool leftWon = (*left)->has_value();
    if (leftWon == (*right)->has_value()) {
      return "not exactly one operator won";
    }
    const auto& loser = leftWon ? **right : **left;
    const auto& winner = leftWon ? **left : **right;
    if (loser.error().mCode != config_errc::Conflict || loser.error().mRevision != winner.value().mRevision) {
      return "the loser was told: " + loser.error().mMessage;
    }
    return JudgeLog({ { leftWon ? "left" : "right", winner.value().mRevision } });
  }

  std::string JudgeSpread()
  {
    const auto applied = Apply(mNodes[0], Put("c", Workspace("w")));
    if (!applied) {
      return "change failed: " + applied.error().mMessage;
    }
    if (!RunUntil([&] { return AllAt(applied.value().mRevision.Value()); }, std::chrono::seconds(2))) {
      return "the change is not in force everywhere";
    }
    return JudgeLog({ { "c", applied.value().mRevision } });
  }

  boost::asio::io_context mContext;
  fake_platform mPlatform;
  ref<fake_peers> mPeers = MakeRef<fake_peers>(mContext);
  std::deque<node> mNodes;
  std::uint64_t mSnapshotInterval = 1000;
  duration mPropagationTimeout = std::chrono::seconds(5);
};

} // namespace chervilpulley::test
