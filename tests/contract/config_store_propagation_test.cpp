#include "contract/config_store_fixture.h"

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

TEST_CASE_METHOD(config_store_fixture, "config_store_accepted_change_is_in_force_everywhere")
{
  AddNineInstances();
  REQUIRE(CheckPropagation() == "");
  const auto repeated = Apply(mInstances[5], Put("c", Workspace("w")));
  REQUIRE(repeated.value().mRepeated);
  REQUIRE(repeated.value().mRevision == revision_number(1));
  REQUIRE_FALSE(repeated.value().mPropagationPending);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_rollout_counts_all_instances_that_have_a_revision")
{
  AddNineInstances();
  REQUIRE(CheckPropagation() == "");
  std::optional<admin::rollout_reply> reply;
  const bool complete = RunUntil([&] {
    reply.reset();
    auto run = [](ref<config_store> aStore,
                  std::optional<admin::rollout_reply>& aReply) -> boost::asio::awaitable<void> {
      aReply.emplace(co_await aStore->Rollout(revision_number(1)));
    };
    boost::asio::co_spawn(mContext, run(mInstances[8].mStore, reply), boost::asio::detached);
    REQUIRE(RunUntil([&] { return reply.has_value(); }));
    return reply->in_force() == 9;
  });
  CAPTURE(reply->DebugString());
  REQUIRE(complete);
  REQUIRE(reply->live() == 9);
}

TEST_CASE_METHOD(config_store_fixture, "config_store_started_in_outage_pulls_the_highest_revision_before_it_is_ready")
{
  mPropagationTimeout = std::chrono::milliseconds(50);
  AddNineInstances();
  // Only failure domain c gets the change.
  for (auto& instance : mInstances) {
    if (instance.mDomain != "c") {
      instance.mObjects->mPlatformUnreachable = true;
      mPeers->mIsolatedInstances.insert(instance.mName);
    }
  }
  REQUIRE(Apply(mInstances[6], Put("c", Workspace("w"))).value().mPropagationPending);
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
  REQUIRE_FALSE(RunUntil([&] { return mInstances[0].mStore->Ready() || mInstances[1].mStore->Ready(); },
                         std::chrono::milliseconds(300)));
  mPlatform.mDown = false;
  REQUIRE(RunUntil([&] { return AllReady(); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_outage_right_after_acceptance_does_not_stop_the_propagation")
{
  AddNineInstances();
  // Failure domains b and c lose the platform before the change, so they must pull it from domain a.
  for (auto& instance : mInstances) {
    instance.mObjects->mPlatformUnreachable = instance.mDomain != "a";
  }
  const auto applied = Apply(mInstances[0], Put("c", Workspace("w")));
  mPlatform.mDown = true;
  REQUIRE_FALSE(applied.value().mPropagationPending);
  REQUIRE(RunUntil([&] { return AllAtRevision(1); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_propagation_without_confirmation_is_reported_as_pending")
{
  mPropagationTimeout = std::chrono::milliseconds(50);
  AddNineInstances();
  for (const auto& instance : mInstances) {
    if (instance.mDomain != "a") {
      mPeers->mUnreachablePorts.insert(instance.mPort);
    }
  }
  REQUIRE(Apply(mInstances[0], Put("c", Workspace("w"))).value().mPropagationPending);
}

TEST_CASE_METHOD(config_store_fixture,
                 "config_store_frozen_instance_resumed_with_old_state_catches_up_and_reverts_nothing")
{
  AddNineInstances();
  auto& frozen = mInstances[4];
  frozen.mObjects->mPlatformUnreachable = true;
  mPeers->mIsolatedInstances.insert(frozen.mName);
  REQUIRE(Apply(mInstances[0], Put("c1", Workspace("w"))).has_value());
  REQUIRE(Apply(mInstances[0], Put("c2", Workspace("w", 2), 1)).has_value());
  REQUIRE(frozen.mStore->Current()->Revision() == revision_number(0));
  frozen.mObjects->mPlatformUnreachable = false;
  mPeers->mIsolatedInstances.clear();
  const auto stale = Apply(frozen, Put("c3", Workspace("w", 9), 1));
  REQUIRE(stale.error().mCode == config_errc::Conflict);
  REQUIRE(stale.error().mMessage.find("has version 2, expected 1") != std::string::npos);
  REQUIRE(RunUntil([&] { return AllAtRevision(2); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_revision_seen_on_traffic_is_fetched")
{
  AddNineInstances();
  auto& late = mInstances[2];
  late.mObjects->mPlatformUnreachable = true;
  mPeers->mIsolatedInstances.insert(late.mName);
  REQUIRE(Apply(mInstances[0], Put("c", Workspace("w"))).has_value());
  mPeers->mIsolatedInstances.clear();
  for (const auto& instance : mInstances) {
    if (instance.mDomain == late.mDomain) {
      mPeers->mUnreachablePorts.insert(instance.mPort);
    }
  }
  late.mStore->ObserveRevision(instance_id("b0"), failure_domain_id("b"), revision_number(1));
  REQUIRE(RunUntil([&] { return late.mStore->Current()->Revision() == revision_number(1); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_change_reaches_all_instances_when_a_relay_is_lost")
{
  AddNineInstances();
  for (const auto& relay : policy::propagation_plan({ instance_id("a0"), failure_domain_id("a") },
                                                    { { instance_id("a1"), failure_domain_id("a") },
                                                      { instance_id("a2"), failure_domain_id("a") } })
                             .RelaysOf(failure_domain_id("a"))) {
    auto lost = std::find_if(
      mInstances.begin(), mInstances.end(), [&](const instance& aInstance) { return aInstance.mName == relay.Str(); });
    mPeers->mUnreachablePorts.insert(lost->mPort);
  }
  REQUIRE(CheckPropagation() == "");
}

// Guards against a reader that relies on a relay which responds but no longer reaches the platform.
TEST_CASE_METHOD(config_store_fixture, "config_store_change_reaches_the_readers_of_a_relay_that_is_partitioned")
{
  mListTimeout = std::chrono::milliseconds(400);
  mPropagationTimeout = std::chrono::milliseconds(50);
  AddNineInstances();
  const failure_domain_id domain("a");
  const policy::propagation_plan plan({ instance_id("a0"), domain },
                                      { { instance_id("a1"), domain }, { instance_id("a2"), domain } });
  for (const instance_id& relay : plan.RelaysOf(domain)) {
    instance& partitioned = Find(relay.Str());
    partitioned.mObjects->mPlatformUnreachable = true;
    mPeers->mIsolatedInstances.insert(relay.Str());
    REQUIRE(Apply(mInstances[3], Put("c-" + relay.Str(), Workspace("w-" + relay.Str()))).has_value());
    const std::uint64_t revision = mInstances[3].mStore->Current()->Revision().Value();
    CHECK(RunUntil([&] {
      UpdateLiveLists(relay.Str());
      return std::all_of(mInstances.begin(), mInstances.end(), [&](const instance& aInstance) {
        return aInstance.mName == relay.Str() || aInstance.mStore->Current()->Revision().Value() == revision;
      });
    }));
    partitioned.mObjects->mPlatformUnreachable = false;
    mPeers->mIsolatedInstances.clear();
    REQUIRE(RunUntil([&] {
      UpdateLiveLists();
      return AllAtRevision(revision);
    }));
  }
}

// Guards against an age that counts from the arrival of a reply: each level would pass old data on as current.
TEST_CASE_METHOD(config_store_fixture, "config_store_list_of_a_reader_is_as_old_as_the_relay_read_of_the_platform")
{
  AddNineInstances();
  const instant readAt = Now();
  UpdateLiveLists();
  const duration pulls = std::chrono::milliseconds(400);
  const duration rounding = std::chrono::milliseconds(2); // ages are rounded up by each instance
  CHECK_FALSE(RunUntil([] { return false; }, pulls));
  rpc::pull_config_request request;
  request.mWantsList = true;
  for (const instance& each : mInstances) {
    CAPTURE(each.mName);
    const std::chrono::milliseconds age(each.mStore->HandlePull(request).mList.mAgeMs);
    CHECK(age >= pulls);
    CHECK(age <= Now() - readAt + rounding);
  }
}

TEST_CASE("config_store_unreadable_object_in_the_platform_is_reported_and_changes_nothing")
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
    cluster.AddNineInstances();
    REQUIRE(cluster.CheckPropagation() == "");
    cluster.mPlatform.mObjects[row.mKey] = { row.mBody, cluster.mPlatform.mSequence.Next() };
    const auto applied = cluster.Apply(cluster.mInstances[0], Put("d", Workspace("x")));
    if (row.mKey != kSnapshotHeadKey) {
      REQUIRE(applied.error().mCode == config_errc::Unavailable);
      REQUIRE(applied.error().mMessage.find(row.mKey) != std::string::npos);
    }
    REQUIRE(cluster.RunUntil([&] { return cluster.AllAtRevision(applied.has_value() ? 2 : 1); }));
    auto& late = cluster.Add("late", "a");
    REQUIRE(cluster.RunUntil([&] { return late.mStore->Ready(); })); // loaded from its peers
    REQUIRE(late.mStore->Current()->Revision().Value() >= 1);
  }
}

TEST_CASE_METHOD(config_store_fixture, "config_store_live_list_comes_from_the_relays")
{
  AddNineInstances();
  std::size_t readers = 0;
  std::size_t notified = 0;
  REQUIRE(RunUntil([&] {
    readers = std::count_if(mInstances.begin(), mInstances.end(), [](const instance& aInstance) {
      return aInstance.mStore->ReadsLiveList();
    });
    return readers == 3 * policy::kRelaysPerDomain;
  }));
  std::vector<platform::live_instance> list(1);
  list[0].mInstance = instance_id("new");
  list[0].mFailureDomain = failure_domain_id("a");
  for (auto& instance : mInstances) {
    instance.mStore->SetInstancesCallback([&](const std::vector<platform::live_instance>& aList) {
      notified += aList.size() == 1 && aList[0].mInstance == instance_id("new") ? 1 : 0;
    });
  }
  for (auto& instance : mInstances) {
    if (instance.mStore->ReadsLiveList()) {
      instance.mStore->UpdateInstances(list, Now());
    }
  }
  REQUIRE(RunUntil([&] { return notified == mInstances.size() - readers; }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_new_instance_reads_a_snapshot_in_parts_instead_of_the_log")
{
  mSnapshotInterval = 4;
  AddNineInstances();
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
    REQUIRE(Apply(mInstances[0], change).has_value());
  }
  REQUIRE(RunUntil([&] { return mPlatform.mObjects.count(kSnapshotHeadKey) > 0; }));
  REQUIRE(mPlatform.mMaxBodyBytes <= kMaxObjectBytes);
  const auto head = DecodeHead(mPlatform.mObjects[kSnapshotHeadKey].mBody).value();
  REQUIRE(head.mNewest.mRevision == revision_number(4));
  REQUIRE(head.mNewest.mParts > 1);
  REQUIRE(Apply(mInstances[0], Put("after", Workspace("after"))).has_value());
  for (std::uint64_t revision = 1; revision <= 4; ++revision) {
    mPlatform.mObjects.erase(LogKey(revision_number(revision)));
  }
  auto& late = Add("late", "d");
  REQUIRE(RunUntil([&] { return late.mStore->Ready(); }));
  REQUIRE(late.mStore->Current()->Revision() == revision_number(5));
  REQUIRE(late.mStore->Current()->List(admin::OBJECT_KIND_WORKSPACE).size() == 801);
  REQUIRE(Apply(late, Put("c0", Workspace("x"))).value().mRepeated);
}
