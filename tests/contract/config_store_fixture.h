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

/// Configuration stores of several instances that use fakes of the platform and of the calls to each other.
namespace chervilpulley::test {

using namespace chervilpulley::config;

inline constexpr duration kTestTimeout = std::chrono::seconds(10);

/// A configuration store under test and its object store.
struct instance
{
  std::string mName;
  std::string mDomain;
  std::uint16_t mPort = 0;
  std::unique_ptr<fake_object_store> mObjects;
  ref<config_store> mStore;
};

/// Instances that share one platform.
struct config_store_fixture
{
  ~config_store_fixture()
  {
    for (auto& instance : mInstances) {
      instance.mStore->Stop();
    }
    mContext.run_for(std::chrono::milliseconds(20));
    mPeers->mStores.clear(); // breaks the reference cycle between stores and peers
  }

  /// Adds an instance and starts it.
  instance& Add(const std::string& aName, const std::string& aDomain)
  {
    config_store_options options;
    options.mInstance = instance_id(aName);
    options.mFailureDomain = failure_domain_id(aDomain);
    options.mMaxPullWait = std::chrono::milliseconds(60);
    options.mMaxWatchWait = std::chrono::milliseconds(60);
    options.mPeerTimeout = std::chrono::milliseconds(30);
    options.mRetryDelay = std::chrono::milliseconds(5);
    options.mCatchUpDelay = std::chrono::milliseconds(10);
    options.mPropagationTimeout = mPropagationTimeout;
    options.mSnapshotInterval = mSnapshotInterval;
    options.mListTimeout = mListTimeout;
    auto objects = std::make_unique<fake_object_store>(mContext, mPlatform);
    auto store = MakeConfigStore(mContext, *objects, mPeers, options);
    const auto port = static_cast<std::uint16_t>(mInstances.size() + 1);
    mPeers->mStores[port] = store;
    mInstances.push_back({ aName, aDomain, port, std::move(objects), store });
    UpdateLiveLists();
    store->Run();
    return mInstances.back();
  }

  /// Adds three instances in each of the failure domains a, b and c, and waits until they are ready.
  void AddNineInstances()
  {
    for (const char* domain : { "a", "b", "c" }) {
      for (int i = 0; i < 3; ++i) {
        Add(domain + std::to_string(i), domain);
      }
    }
    REQUIRE(RunUntil([&] { return AllReady(); }));
  }

  instance& Find(const std::string& aName)
  {
    const auto found = std::find_if(
      mInstances.begin(), mInstances.end(), [&](const instance& aInstance) { return aInstance.mName == aName; });
    REQUIRE(found != mInstances.end());
    return *found;
  }

  /// Passes the list of all instances to each of them but one that does not reach the platform.
  void UpdateLiveLists(const std::string& aUnreached = "")
  {
    std::vector<platform::live_instance> list;
    for (const auto& instance : mInstances) {
      platform::live_instance live;
      live.mInstance = instance_id(instance.mName);
      live.mFailureDomain = failure_domain_id(instance.mDomain);
      live.mPeer = { "127.0.0.1", instance.mPort };
      list.push_back(live);
    }
    for (auto& instance : mInstances) {
      if (instance.mName != aUnreached) {
        instance.mStore->UpdateInstances(list, Now());
      }
    }
  }

  /// Runs the event loop until the condition holds. Returns false on timeout.
  template<class Condition>
  bool RunUntil(const Condition& aCondition, duration aTime = kTestTimeout)
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

  using pending_result = std::shared_ptr<std::optional<config_result<apply_outcome>>>;

  /// Starts a change without waiting for its result.
  pending_result Start(instance& aInstance, const admin::change& aChange)
  {
    auto result = std::make_shared<std::optional<config_result<apply_outcome>>>();
    auto run =
      [](ref<config_store> aStore, admin::change aToApply, pending_result aResult) -> boost::asio::awaitable<void> {
      aResult->emplace(co_await aStore->Apply(aToApply, "ann"));
    };
    boost::asio::co_spawn(mContext, run(aInstance.mStore, aChange, result), boost::asio::detached);
    return result;
  }

  config_result<apply_outcome> Apply(instance& aInstance, const admin::change& aChange)
  {
    const auto result = Start(aInstance, aChange);
    REQUIRE(RunUntil([&] { return result->has_value(); }));
    return **result;
  }

  bool AllReady() const
  {
    return std::all_of(
      mInstances.begin(), mInstances.end(), [](const instance& aInstance) { return aInstance.mStore->Ready(); });
  }

  bool AllAtRevision(std::uint64_t aRevision) const
  {
    return std::all_of(mInstances.begin(), mInstances.end(), [&](const instance& aInstance) {
      return aInstance.mStore->Current()->Revision().Value() == aRevision;
    });
  }

  /// The log that the platform stores, by revision.
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

  /// Checks that the log contains no change twice and each accepted change at the revision that was returned.
  /// @return the violation; empty if there is none.
  std::string CheckLog(const std::vector<std::pair<std::string, revision_number>>& aAccepted) const
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

  /// Changes the same workspace twice concurrently with the same expected version and checks that exactly one change is
  /// accepted.
  std::string CheckRace()
  {
    const auto base = Apply(mInstances[0], Put("base", Workspace("w")));
    if (!base) {
      return "base change failed: " + base.error().mMessage;
    }
    const auto version = base.value().mRevision.Value();
    RunUntil([&] { return AllAtRevision(version); }, std::chrono::seconds(1));
    const auto left = Start(mInstances[0], Put("left", Workspace("w", 2), version));
    const auto right = Start(mInstances[3], Put("right", Workspace("w", 3), version));
    RunUntil([&] { return left->has_value() && right->has_value(); });
    const bool leftWon = (*left)->has_value();
    if (leftWon == (*right)->has_value()) {
      return "not exactly one operator succeeded";
    }
    const auto& loser = leftWon ? **right : **left;
    const auto& winner = leftWon ? **left : **right;
    if (loser.error().mCode != config_errc::Conflict || loser.error().mRevision != winner.value().mRevision) {
      return "the rejected operator got: " + loser.error().mMessage;
    }
    return CheckLog({ { leftWon ? "left" : "right", winner.value().mRevision } });
  }

  /// Applies a change and checks that it comes into force on all instances.
  std::string CheckPropagation()
  {
    const auto applied = Apply(mInstances[0], Put("c", Workspace("w")));
    if (!applied) {
      return "change failed: " + applied.error().mMessage;
    }
    if (!RunUntil([&] { return AllAtRevision(applied.value().mRevision.Value()); }, std::chrono::seconds(2))) {
      return "the change is not in force everywhere";
    }
    return CheckLog({ { "c", applied.value().mRevision } });
  }

  boost::asio::io_context mContext;
  fake_platform mPlatform;
  ref<fake_peers> mPeers = MakeRef<fake_peers>(mContext);
  std::deque<instance> mInstances;
  std::uint64_t mSnapshotInterval = 1000;
  duration mPropagationTimeout = std::chrono::seconds(5);
  duration mListTimeout = std::chrono::seconds(6);
};

} // namespace chervilpulley::test
