#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

#include "processes/cluster.h"
#include "processes/http_call.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 12;
constexpr std::uint32_t kStepUs = 1000;
constexpr std::size_t kEngines = 4;
constexpr std::size_t kServices = 2;

struct rolling_fixture
{
  cluster mCluster{
    { TwoChains(kStepUs), { "domain-a", "domain-b" }, { "domain-a", "domain-b" }, 8, { { "drain_ms", "300" } } }
  };
};

/// Callers that stream and book until they are stopped. A call whose entry refuses the connection is retried at the
/// other entry, as a load balancer would do.
class background_callers
{
public:
  explicit background_callers(cluster& aCluster)
    : mCluster(aCluster)
  {
    for (std::size_t i = 0; i < 4; ++i) {
      mThreads.emplace_back([this, i] { Stream(i); });
    }
    mThreads.emplace_back([this] { Book(); });
  }
  ~background_callers() { Stop(); }

  void Stop()
  {
    mStopping = true;
    for (std::thread& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  /// Locked while the set of entries changes.
  std::mutex mEntries;
  violations mViolations;
  std::vector<booking> mBookings;
  std::size_t mCount = 0;

private:
  template<class Action>
  response AtAvailableEntry(std::size_t aFirst, const Action& aAction)
  {
    response got;
    for (std::size_t i = 0; i < 4; ++i) {
      const caller caller = CallerAt((aFirst + i) % 2);
      got = aAction(caller);
      const bool isRefused = got.mNetError && !got.mNetError->mMaybeSent;
      if (!isRefused) {
        return got;
      }
    }
    return got;
  }

  caller CallerAt(std::size_t aEntry)
  {
    std::lock_guard lock(mEntries);
    return mCluster.CallerAt(aEntry);
  }

  void Stream(std::size_t aIndex)
  {
    for (std::size_t round = 0; !mStopping; ++round) {
      const std::string prompt = "Caller " + std::to_string(aIndex) + " round " + std::to_string(round);
      const response got = AtAvailableEntry(aIndex, [&](const caller& aCaller) {
        return aCaller.Complete({ prompt, kTokens });
      });
      const violations found = mCluster.CheckCompletion(got, prompt, kTokens);
      std::lock_guard lock(mResults);
      mViolations.insert(mViolations.end(), found.begin(), found.end());
      ++mCount;
    }
  }

  void Book()
  {
    for (std::size_t round = 0; !mStopping; ++round) {
      const std::string body = "rolling booking " + std::to_string(round);
      const response got = AtAvailableEntry(round, [&](const caller& aCaller) { return aCaller.Book(body, body); });
      std::lock_guard lock(mResults);
      mBookings.push_back({ body, OutcomeOf(got) });
      if (got.mStatus != 201) {
        mViolations.push_back("booking " + body + " got the response " + std::to_string(got.mStatus) + " " + got.mBody);
      }
    }
  }

  cluster& mCluster;
  std::mutex mResults;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mThreads;
};

} // namespace

TEST_CASE_METHOD(rolling_fixture, "every_process_replaced_under_load_nothing_is_cut_lost_or_doubled")
{
  background_callers callers(mCluster);
  for (std::size_t i = 0; i < kEngines; ++i) {
    mCluster.Engine(i).mSidecar->Terminate();
    CHECK(mCluster.Engine(i).mSidecar->WaitForExit().value_or(-1) == 0);
    mCluster.RestartSidecar(i);
    CHECK(mCluster.WaitUntilServing(0));
    CHECK(mCluster.WaitUntilServing(1));
  }
  for (std::size_t i = 0; i < kServices; ++i) {
    mCluster.Service(i).mSidecar->Terminate();
    CHECK(mCluster.Service(i).mSidecar->WaitForExit().value_or(-1) == 0);
    mCluster.RestartServiceSidecar(i);
    CHECK(mCluster.WaitUntilServing(0));
    CHECK(mCluster.WaitUntilServing(1));
  }
  for (std::size_t i = 0; i < mCluster.EntryCount(); ++i) {
    mCluster.Entry(i).Terminate();
    const int status = mCluster.Entry(i).WaitForExit().value_or(-1);
    if (status != 0) {
      UNSCOPED_INFO(mCluster.Logs());
    }
    CHECK(status == 0);
    std::unique_ptr<process> replacement = mCluster.StartReplacement(i);
    {
      std::lock_guard lock(callers.mEntries);
      mCluster.ReplaceEntry(i, std::move(replacement));
    }
    CHECK(mCluster.WaitUntilServing(i));
  }
  callers.Stop();
  CHECK(callers.mCount > 20);
  CHECK(Text(callers.mViolations) == "");
  CHECK(Text(CheckBookings(mCluster.AllServiceRuns(), callers.mBookings)) == "");
}
