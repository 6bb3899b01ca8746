#include "contract/config_store_fixture.h"

#include <atomic>
#include <thread>

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

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
  mPropagationTimeout = std::chrono::milliseconds(50);
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

TEST_CASE_METHOD(config_store_fixture, "config_store_run_by_several_threads_takes_changes_from_all_of_them")
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kChanges = 40;
  AddNine();
  std::atomic<std::size_t> accepted{ 0 };
  std::atomic<std::uint64_t> last{ 0 };
  std::atomic<bool> fell{ false };
  mNodes[3].mStore->AddChangeCallback([&](const ref<const config_view>& aView) {
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
      mNodes[8].mStore->ObserveRevision(instance_id("a0"), failure_domain_id("a"), revision_number(kChanges));
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
