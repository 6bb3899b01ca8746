#include "contract/config_store_fixture.h"

#include <atomic>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

TEST_CASE_METHOD(config_store_fixture, "config_store_write_with_fault_returns_the_true_outcome")
{
  struct row
  {
    const char* mName;
    std::vector<write_fault> mFaults;
    std::optional<config_errc> mError;
    std::size_t mLogEntries; ///< number of log entries right after the write
  };
  const row rows[] = {
    { "response lost", { write_fault::ResponseLost }, std::nullopt, 1 },
    { "request lost", { write_fault::RequestLost }, std::nullopt, 1 },
    { "request lost, then response lost", { write_fault::RequestLost, write_fault::ResponseLost }, std::nullopt, 1 },
    { "refused", { write_fault::Refused }, config_errc::Unavailable, 0 },
    { "request lost, then refused", { write_fault::RequestLost, write_fault::Refused }, config_errc::Unknown, 0 },
    { "response lost, then outage", { write_fault::ResponseLostThenOutage }, config_errc::Unknown, 1 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    config_store_fixture cluster;
    cluster.AddNineInstances();
    cluster.mPlatform.mFaults.assign(row.mFaults.begin(), row.mFaults.end());
    const auto first = cluster.Apply(cluster.mInstances[0], Put("the-id", Workspace("w")));
    REQUIRE(first.has_error() == row.mError.has_value());
    if (row.mError) {
      REQUIRE(first.error().mCode == *row.mError);
      REQUIRE(first.error().mMessage.find("the-id") != std::string::npos);
    }
    REQUIRE(cluster.PlatformLog().size() == row.mLogEntries);
    cluster.mPlatform.mDown = false;
    const auto second = cluster.Apply(cluster.mInstances[4], Put("the-id", Workspace("w")));
    REQUIRE(second.value().mRevision == revision_number(1));
    REQUIRE(cluster.CheckLog({ { "the-id", revision_number(1) } }) == "");
    REQUIRE(cluster.RunUntil([&] { return cluster.AllAtRevision(1); }));
  }
}

TEST_CASE_METHOD(config_store_fixture, "config_store_concurrent_changes_of_one_object_have_one_winner")
{
  AddNineInstances();
  REQUIRE(CheckRace() == "");
}

TEST_CASE_METHOD(config_store_fixture, "config_store_concurrent_changes_of_different_objects_are_all_accepted")
{
  AddNineInstances();
  std::vector<pending_result> results;
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    results.push_back(Start(mInstances[i], Put("c" + std::to_string(i), Workspace("w" + std::to_string(i)))));
  }
  std::vector<std::pair<std::string, revision_number>> accepted;
  for (std::size_t i = 0; i < results.size(); ++i) {
    REQUIRE(RunUntil([&] { return results[i]->has_value(); }));
    REQUIRE((*results[i])->has_value());
    accepted.emplace_back("c" + std::to_string(i), (*results[i])->value().mRevision);
  }
  REQUIRE(CheckLog(accepted) == "");
  REQUIRE(RunUntil([&] { return AllAtRevision(mInstances.size()); }));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_change_checked_against_old_state_is_checked_again")
{
  mPropagationTimeout = std::chrono::milliseconds(50);
  AddNineInstances();
  mInstances[8].mObjects->mPlatformUnreachable = true;
  mPeers->mIsolatedInstances.insert(mInstances[8].mName);
  REQUIRE(Apply(mInstances[0], Put("pool", Pool("p", admin::BACKEND_KIND_SERVICE))).has_value());
  REQUIRE(Apply(mInstances[0], Put("workspace", Workspace("w"))).has_value());
  REQUIRE(mInstances[8].mStore->Current()->Revision() == revision_number(0));
  REQUIRE(Apply(mInstances[8], Put("early", Route("w", "r", "p"))).error().mCode == config_errc::Unavailable);
  mInstances[8].mObjects->mPlatformUnreachable = false;
  REQUIRE(Apply(mInstances[8], Put("route", Route("w", "r", "p"))).value().mRevision == revision_number(3));
}

TEST_CASE_METHOD(config_store_fixture, "config_store_run_by_several_threads_accepts_changes_of_all_threads")
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kChanges = 40;
  AddNineInstances();
  std::atomic<std::size_t> accepted{ 0 };
  std::atomic<std::uint64_t> last{ 0 };
  std::atomic<bool> outOfOrder{ false };
  mInstances[3].mStore->AddChangeCallback([&](const ref<const config_view>& aView) {
    outOfOrder = outOfOrder || last.exchange(aView->Revision().Value()) >= aView->Revision().Value();
  });
  auto change = [&](ref<config_store> aStore, std::size_t aNumber) -> boost::asio::awaitable<void> {
    const auto name = "w" + std::to_string(aNumber);
    const auto result = co_await aStore->Apply(Put("c" + name, Workspace(name)), "ann");
    accepted += result.has_value() ? 1 : 0;
  };
  for (std::size_t i = 0; i < kChanges; ++i) {
    boost::asio::co_spawn(mContext, change(mInstances[i % 3].mStore, i), boost::asio::detached);
  }
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] { mContext.run_for(kTestTimeout); });
    }
    const auto deadline = Now() + kTestTimeout;
    while (!(accepted == kChanges && AllAtRevision(kChanges)) && Now() < deadline) {
      mInstances[8].mStore->ObserveRevision(instance_id("a0"), failure_domain_id("a"), revision_number(kChanges));
      std::this_thread::yield();
    }
    mContext.stop();
  }
  mContext.restart();
  REQUIRE(accepted == kChanges);
  REQUIRE(AllAtRevision(kChanges));
  REQUIRE(last == kChanges);
  REQUIRE_FALSE(outOfOrder);
}

TEST_CASE("config_store_checkers_fail_on_each_mutation")
{
  {
    config_store_fixture cluster;
    cluster.AddNineInstances();
    cluster.mPlatform.mIgnoreConditions = true;
    REQUIRE(cluster.CheckRace() != "");
  }
  {
    config_store_fixture cluster;
    cluster.AddNineInstances();
    cluster.mPlatform.mDropWrites = true;
    const auto applied = cluster.Apply(cluster.mInstances[0], Put("c", Workspace("w")));
    REQUIRE(cluster.CheckLog({ { "c", applied.value().mRevision } }) ==
            "accepted change c is not in the log at its revision");
  }
  {
    config_store_fixture cluster;
    cluster.AddNineInstances();
    REQUIRE(cluster.CheckPropagation() == "");
    admin::log_entry duplicate = cluster.PlatformLog().front();
    duplicate.set_revision(2);
    cluster.mPlatform.mObjects[LogKey(revision_number(2))] = { duplicate.SerializeAsString(), {} };
    REQUIRE(cluster.CheckLog({}) == "change c is in the log twice");
  }
  {
    config_store_fixture cluster;
    cluster.AddNineInstances();
    cluster.mInstances[4].mObjects->mPlatformUnreachable = true;
    cluster.mPeers->mIsolatedInstances.insert(cluster.mInstances[4].mName);
    REQUIRE(cluster.CheckPropagation() == "the change is not in force everywhere");
  }
}
