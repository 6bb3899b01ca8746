#include "chervilpulley/config.h"
#include "config/config_encoding.h"
#include "config/config_store_over.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "contract/config_fakes.h"
#include "unit/config_changes.h"

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

namespace {

constexpr duration kPatience = std::chrono::seconds(10);

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
    options.mPullWait = std::chrono::milliseconds(60);
    options.mWatchTime = std::chrono::milliseconds(60);
    options.mPeerTimeout = std::chrono::milliseconds(30);
    options.mRetryPause = std::chrono::milliseconds(5);
    options.mBehindPause = std::chrono::milliseconds(10);
    options.mSpreadTimeout = mSpreadTimeout;
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
      node.mStore->NoteInstances(list);
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
  duration mSpreadTimeout = std::chrono::seconds(5);
};

} // namespace

TEST_CASE_METHOD(config_store_fixture, "config_store_accepted_change_is_in_force_everywhere")
{
  AddNine();
  REQUIRE(JudgeSpread() == "");
  const auto repeated = Apply(mNodes[5], Put("c", Workspace("w")));
  REQUIRE(repeated.value().mRepeated);
  REQUIRE(repeated.value().mRevision == revision_number(1));
  REQUIRE_FALSE(repeated.value().mSpreadPending);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_rollout_counts_all_instances_that_have_a_revision")
{
  AddNine();
  REQUIRE(JudgeSpread() == "");
  std::optional<admin::rollout_reply> reply;
  const bool complete = RunUntil([&] {
    reply.reset();
    auto run = [](ref<config_store> aStore,
                  std::optional<admin::rollout_reply>& aReply) -> boost::asio::awaitable<void> {
      aReply.emplace(co_await aStore->Rollout(revision_number(1)));
    };
    boost::asio::co_spawn(mContext, run(mNodes[8].mStore, reply), boost::asio::detached);
    REQUIRE(RunUntil([&] { return reply.has_value(); }));
    return reply->in_force() == 9;
  });
  CAPTURE(reply->DebugString());
  REQUIRE(complete);
  REQUIRE(reply->live() == 9);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_write_with_fault_gives_the_true_outcome")
{
  struct row
  {
    const char* mName;
    std::vector<write_fault> mFaults;
    std::optional<config_errc> mError;
    std::size_t mLogged; ///< entries in the log right after
  };
  const row rows[] = {
    { "answer lost", { write_fault::LostAfterEffect }, std::nullopt, 1 },
    { "write lost", { write_fault::LostBeforeEffect }, std::nullopt, 1 },
    { "write lost, then answer lost",
      { write_fault::LostBeforeEffect, write_fault::LostAfterEffect },
      std::nullopt,
      1 },
    { "refused", { write_fault::Refused }, config_errc::Unavailable, 0 },
    { "write lost, then refused", { write_fault::LostBeforeEffect, write_fault::Refused }, config_errc::Unknown, 0 },
    { "answer lost, then outage", { write_fault::LostThenOutage }, config_errc::Unknown, 1 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    config_store_fixture cluster;
    cluster.AddNine();
    cluster.mPlatform.mFaults.assign(row.mFaults.begin(), row.mFaults.end());
    const auto first = cluster.Apply(cluster.mNodes[0], Put("the-id", Workspace("w")));
    REQUIRE(first.has_error() == row.mError.has_value());
    if (row.mError) {
      REQUIRE(first.error().mCode == *row.mError);
      REQUIRE(first.error().mMessage.find("the-id") != std::string::npos);
    }
    REQUIRE(cluster.PlatformLog().size() == row.mLogged);
    cluster.mPlatform.mDown = false;
    const auto second = cluster.Apply(cluster.mNodes[4], Put("the-id", Workspace("w")));
    REQUIRE(second.value().mRevision == revision_number(1));
    REQUIRE(cluster.JudgeLog({ { "the-id", revision_number(1) } }) == "");
    REQUIRE(cluster.RunUntil([&] { return cluster.AllAt(1); }));
  }
}

TEST_CASE_METHOD(config_store_fixture, "config_store_operators_racing_for_one_object_have_one_winner")
{
  AddNine();
  REQUIRE(JudgeRace() == "");
}

TEST_CASE_METHOD(config_store_fixture, "config_store_operators_racing_for_different_objects_both_win")
{
  AddNine();
  std::vector<pending> answers;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    answers.push_back(Start(mNodes[i], Put("c" + std::to_string(i), Workspace("w" + std::to_string(i)))));
  }
  std::vector<std::pair<std::string, revision_number>> accepted;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    REQUIRE(RunUntil([&] { return answers[i]->has_value(); }));
    REQUIRE((*answers[i])->has_value());
    accepted.emplace_back("c" + std::to_string(i), (*answers[i])->value().mRevision);
  }
  REQUIRE(JudgeLog(accepted) == "");
  REQUIRE(RunUntil([&] { return AllAt(mNodes.size()); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_change_checked_against_old_state_is_checked_again")
{
  mSpreadTimeout = std::chrono::milliseconds(50);
  AddNine();
  mNodes[8].mObjects->mCutOff = true;
  mPeers->mCutInstances.insert(mNodes[8].mName);
  REQUIRE(Apply(mNodes[0], Put("pool", Pool("p", admin::BACKEND_KIND_SERVICE))).has_value());
  REQUIRE(Apply(mNodes[0], Put("workspace", Workspace("w"))).has_value());
  REQUIRE(mNodes[8].mStore->Current()->Revision() == revision_number(0));
  REQUIRE(Apply(mNodes[8], Put("early", Route("w", "r", "p"))).error().mCode == config_errc::Unavailable);
  mNodes[8].mObjects->mCutOff = false;
  REQUIRE(Apply(mNodes[8], Put("route", Route("w", "r", "p"))).value().mRevision == revision_number(3));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_started_in_outage_takes_the_highest_revision_before_it_is_ready")
{
  mSpreadTimeout = std::chrono::milliseconds(50);
  AddNine();
  // Only failure domain c has the change.
  for (auto& node : mNodes) {
    if (node.mDomain != "c") {
      node.mObjects->mCutOff = true;
      mPeers->mCutInstances.insert(node.mName);
    }
  }
  REQUIRE(Apply(mNodes[6], Put("c", Workspace("w"))).value().mSpreadPending);
  mPlatform.mDown = true;
  auto& late = Add("late", "b");
  REQUIRE(RunUntil([&] { return late.mStore->Ready(); }));
  REQUIRE(late.mStore->Current()->Revision() == revision_number(1));
  REQUIRE(late.mStore->Current()->FindWorkspace(workspace_id("w")) != nullptr);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_started_in_outage_without_ready_peers_is_not_ready")
{
  mPlatform.mDown = true;
  Add("one", "a");
  Add("two", "b");
  Add("three", "c");
  REQUIRE_FALSE(
    RunUntil([&] { return mNodes[0].mStore->Ready() || mNodes[1].mStore->Ready(); }, std::chrono::milliseconds(300)));
  mPlatform.mDown = false;
  REQUIRE(RunUntil([&] { return AllReady(); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_outage_right_after_acceptance_does_not_stop_the_spread")
{
  AddNine();
  // The failure domains b and c lose the platform first, so that they must learn the change from domain a.
  for (auto& node : mNodes) {
    node.mObjects->mCutOff = node.mDomain != "a";
  }
  const auto applied = Apply(mNodes[0], Put("c", Workspace("w")));
  mPlatform.mDown = true;
  REQUIRE_FALSE(applied.value().mSpreadPending);
  REQUIRE(RunUntil([&] { return AllAt(1); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_spread_that_is_not_confirmed_is_said_to_be_pending")
{
  mSpreadTimeout = std::chrono::milliseconds(50);
  AddNine();
  for (const auto& node : mNodes) {
    if (node.mDomain != "a") {
      mPeers->mCut.insert(node.mPort);
    }
  }
  REQUIRE(Apply(mNodes[0], Put("c", Workspace("w"))).value().mSpreadPending);
}

TEST_CASE_METHOD(config_store_fixture,
                 "config_store_frozen_node_woken_with_old_state_catches_up_and_changes_nothing_back")
{
  AddNine();
  auto& frozen = mNodes[4];
  frozen.mObjects->mCutOff = true;
  mPeers->mCutInstances.insert(frozen.mName);
  REQUIRE(Apply(mNodes[0], Put("c1", Workspace("w"))).has_value());
  REQUIRE(Apply(mNodes[0], Put("c2", Workspace("w", 2), 1)).has_value());
  REQUIRE(frozen.mStore->Current()->Revision() == revision_number(0));
  frozen.mObjects->mCutOff = false;
  mPeers->mCutInstances.clear();
  const auto stale = Apply(frozen, Put("c3", Workspace("w", 9), 1));
  REQUIRE(stale.error().mCode == config_errc::Conflict);
  REQUIRE(stale.error().mMessage.find("has version 2, expected 1") != std::string::npos);
  REQUIRE(RunUntil([&] { return AllAt(2); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_revision_seen_on_traffic_is_fetched")
{
  AddNine();
  auto& late = mNodes[2];
  late.mObjects->mCutOff = true;
  mPeers->mCutInstances.insert(late.mName);
  REQUIRE(Apply(mNodes[0], Put("c", Workspace("w"))).has_value());
  mPeers->mCutInstances.clear();
  for (const auto& node : mNodes) {
    if (node.mDomain == late.mDomain) {
      mPeers->mCut.insert(node.mPort);
    }
  }
  late.mStore->NoteRevision(instance_id("b0"), failure_domain_id("b"), revision_number(1));
  REQUIRE(RunUntil([&] { return late.mStore->Current()->Revision() == revision_number(1); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_change_reaches_all_nodes_when_a_relay_is_lost")
{
  AddNine();
  for (const auto& relay : policy::spread_plan({ instance_id("a0"), failure_domain_id("a") },
                                               { { instance_id("a1"), failure_domain_id("a") },
                                                 { instance_id("a2"), failure_domain_id("a") } })
                             .RelaysOf(failure_domain_id("a"))) {
    auto lost =
      std::find_if(mNodes.begin(), mNodes.end(), [&](const node& aNode) { return aNode.mName == relay.Str(); });
    mPeers->mCut.insert(lost->mPort);
  }
  REQUIRE(JudgeSpread() == "");
}

TEST_CASE("config_store_unreadable_object_in_the_platform_is_named_and_changes_nothing")
{
  struct row
  {
    std::string mKey;
    std::string mBody;
  };
  admin::log_entry misplaced;
  misplaced.set_revision(7);
  const row rows[] = {
    { LogKey(revision_number(2)), "\xff\xff" },
    { LogKey(revision_number(2)), "" },
    { LogKey(revision_number(2)), misplaced.SerializeAsString() },
    { kSnapshotHeadKey, "{" },
    { kSnapshotHeadKey, EncodeHead({ { revision_number(9), "9-none", 1 }, {} }) },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mKey, row.mBody);
    config_store_fixture cluster;
    cluster.AddNine();
    REQUIRE(cluster.JudgeSpread() == "");
    cluster.mPlatform.mObjects[row.mKey] = { row.mBody, cluster.mPlatform.mSequence.Next() };
    const auto applied = cluster.Apply(cluster.mNodes[0], Put("d", Workspace("x")));
    if (row.mKey != kSnapshotHeadKey) {
      REQUIRE(applied.error().mCode == config_errc::Unavailable);
      REQUIRE(applied.error().mMessage.find(row.mKey) != std::string::npos);
    }
    REQUIRE(cluster.RunUntil([&] { return cluster.AllAt(applied.has_value() ? 2 : 1); }));
    auto& late = cluster.Add("late", "a");
    REQUIRE(cluster.RunUntil([&] { return late.mStore->Ready(); })); // from its peers
    REQUIRE(late.mStore->Current()->Revision().Value() >= 1);
  }
}

TEST_CASE_METHOD(config_store_fixture, "config_store_live_list_comes_from_the_relays")
{
  AddNine();
  std::size_t readers = 0;
  std::size_t told = 0;
  REQUIRE(RunUntil([&] {
    readers =
      std::count_if(mNodes.begin(), mNodes.end(), [](const node& aNode) { return aNode.mStore->ReadsLiveList(); });
    return readers == 3 * policy::kRelaysPerDomain;
  }));
  std::vector<platform::live_instance> list(1);
  list[0].mInstance = instance_id("new");
  list[0].mFailureDomain = failure_domain_id("a");
  for (auto& node : mNodes) {
    node.mStore->OnInstances([&](const std::vector<platform::live_instance>& aList) {
      told += aList.size() == 1 && aList[0].mInstance == instance_id("new") ? 1 : 0;
    });
  }
  for (auto& node : mNodes) {
    if (node.mStore->ReadsLiveList()) {
      node.mStore->NoteInstances(list);
    }
  }
  REQUIRE(RunUntil([&] { return told == mNodes.size() - readers; }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_new_node_reads_a_snapshot_in_parts_instead_of_the_log")
{
  mSnapshotInterval = 4;
  AddNine();
  for (int i = 0; i < 4; ++i) {
    admin::change change;
    change.set_change_id("c" + std::to_string(i));
    for (int j = 0; j < 200; ++j) {
      auto object = Workspace("w" + std::to_string(i) + "-" + std::to_string(j));
      for (int k = 0; k < 16; ++k) {
        object.mutable_workspace()->add_api_key_hashes(std::string(64, 'a') + "$" + std::string(64, '0'));
      }
      AddPut(change, object);
    }
    REQUIRE(Apply(mNodes[0], change).has_value());
  }
  REQUIRE(RunUntil([&] { return mPlatform.mObjects.count(kSnapshotHeadKey) > 0; }));
  REQUIRE(mPlatform.mLargest <= kMaxObjectBytes);
  const auto head = DecodeHead(mPlatform.mObjects[kSnapshotHeadKey].mBody).value();
  REQUIRE(head.mNewest.mRevision == revision_number(4));
  REQUIRE(head.mNewest.mParts > 1);
  REQUIRE(Apply(mNodes[0], Put("after", Workspace("after"))).has_value());
  for (std::uint64_t revision = 1; revision <= 4; ++revision) {
    mPlatform.mObjects.erase(LogKey(revision_number(revision)));
  }
  auto& late = Add("late", "d");
  REQUIRE(RunUntil([&] { return late.mStore->Ready(); }));
  REQUIRE(late.mStore->Current()->Revision() == revision_number(5));
  REQUIRE(late.mStore->Current()->List(admin::OBJECT_KIND_WORKSPACE).size() == 801);
  REQUIRE(Apply(late, Put("c0", Workspace("x"))).value().mRepeated);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_run_by_several_threads_takes_changes_from_all_of_them")
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kChanges = 40;
  AddNine();
  std::atomic<std::size_t> accepted{ 0 };
  std::atomic<std::uint64_t> last{ 0 };
  std::atomic<bool> fell{ false };
  mNodes[3].mStore->OnChange([&](const ref<const config_view>& aView) {
    fell = fell || last.exchange(aView->Revision().Value()) >= aView->Revision().Value();
  });
  auto change = [&](ref<config_store> aStore, std::size_t aNumber) -> boost::asio::awaitable<void> {
    const auto name = "w" + std::to_string(aNumber);
    const auto answer = co_await aStore->Apply(Put("c" + name, Workspace(name)), "ann");
    accepted += answer.has_value() ? 1 : 0;
  };
  for (std::size_t i = 0; i < kChanges; ++i) {
    boost::asio::co_spawn(mContext, change(mNodes[i % 3].mStore, i), boost::asio::detached);
  }
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] { mContext.run_for(kPatience); });
    }
    const auto deadline = Now() + kPatience;
    while (!(accepted == kChanges && AllAt(kChanges)) && Now() < deadline) {
      mNodes[8].mStore->NoteRevision(instance_id("a0"), failure_domain_id("a"), revision_number(kChanges));
      std::this_thread::yield();
    }
    mContext.stop();
  }
  mContext.restart();
  REQUIRE(accepted == kChanges);
  REQUIRE(AllAt(kChanges));
  REQUIRE(last == kChanges);
  REQUIRE_FALSE(fell);
}

TEST_CASE("config_store_judges_fail_on_each_mutation")
{
  {
    config_store_fixture cluster;
    cluster.AddNine();
    cluster.mPlatform.mIgnoreConditions = true;
    REQUIRE(cluster.JudgeRace() != "");
  }
  {
    config_store_fixture cluster;
    cluster.AddNine();
    cluster.mPlatform.mDropWrites = true;
    const auto applied = cluster.Apply(cluster.mNodes[0], Put("c", Workspace("w")));
    REQUIRE(cluster.JudgeLog({ { "c", applied.value().mRevision } }) ==
            "accepted change c is not in the log at its revision");
  }
  {
    config_store_fixture cluster;
    cluster.AddNine();
    REQUIRE(cluster.JudgeSpread() == "");
    admin::log_entry copy = cluster.PlatformLog().front();
    copy.set_revision(2);
    cluster.mPlatform.mObjects[LogKey(revision_number(2))] = { copy.SerializeAsString(), {} };
    REQUIRE(cluster.JudgeLog({}) == "change c is in the log twice");
  }
  {
    config_store_fixture cluster;
    cluster.AddNine();
    cluster.mNodes[4].mObjects->mCutOff = true;
    cluster.mPeers->mCutInstances.insert(cluster.mNodes[4].mName);
    REQUIRE(cluster.JudgeSpread() == "the change is not in force everywhere");
  }
}
