#include "processes/gateway_fixture.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "base/clock.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;
using namespace std::chrono_literals;

namespace {

constexpr duration kDrainTime = 2s;   ///< bound of the gateways' settings
constexpr duration kApplyTime = 2s;   ///< likewise
constexpr duration kContactTime = 3s; ///< the bounds hold for gateways that have reached the store for this long
constexpr duration kStepTime = 250ms;
constexpr duration kMinServedTime = 4s; ///< a server whose entry is removed goes on serving for this long at least
constexpr std::size_t kMinListed = 3;

/// A number from the environment, for longer runs by hand.
unsigned Option(const char* aName, unsigned aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/// A span of time in which a gateway did not reach the store.
struct partition
{
  instant mFrom;
  instant mTo;
};

/// Gateways of one failure domain, each with a link of its own to the store. The links are cut in overlapping series,
/// while servers' entries are removed and the configuration changes all the time.
class partition_soak : public gateway_fixture
{
public:
  partition_soak()
    : gateway_fixture({ "--services=8" })
    , mRandom(Option("CHERVILPULLEY_SOAK_SEED", 20261206))
  {
    const unsigned gateways = Option("CHERVILPULLEY_SOAK_GATEWAYS", 3);
    const std::string store = mFleet.Address("http").Str();
    for (unsigned each = 0; each < gateways; ++each) {
      mLinks.push_back(std::make_unique<process>(std::vector<std::string>{ StandinPath(), "relay", "--target", store },
                                                 mFolder.File(fmt::format("link-{}.log", each))));
      mStore = mLinks.back()->Address("link");
      StartGateway(std::chrono::duration_cast<std::chrono::milliseconds>(kDrainTime).count());
    }
    mPartitions.resize(gateways);
    REQUIRE(WaitUntil([this] { return Metric(0, "gateway_gateways") == static_cast<double>(mGateways.size()); }));
  }

  void Run()
  {
    std::vector<std::thread> callers;
    for (std::size_t gateway = 0; gateway < mGateways.size(); ++gateway) {
      callers.emplace_back([this, gateway] { CallAndLook(gateway); });
    }
    const instant end = Now() + std::chrono::seconds(Option("CHERVILPULLEY_SOAK_SECONDS", 30));
    while (Now() < end) {
      ChangeConfiguration();
      ChangeServers();
      ChangeLinks();
      std::this_thread::sleep_for(kStepTime);
    }
    mIsOver = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  void Check()
  {
    CheckConfigurations();
    CheckArrivals();
  }

private:
  /// The version that a gateway had in force when it was asked.
  struct sighting
  {
    std::size_t mGateway;
    instant mAskedAt;
    std::uint64_t mVersion;
    duration mProcessorWait; ///< of the gateway's process so far
  };

  void ChangeConfiguration()
  {
    Control(mFleet, { { "version", ++mVersion }, { "key", "key-1" } });
    mAcknowledged[Now()] = mVersion;
  }

  /// Removes the entry of a server that goes on serving, or starts one again that has left long ago.
  void ChangeServers()
  {
    if (!mRemoved.empty() && Now() - mRemoved.front().first > kMinServedTime) {
      SetServer(mRemoved.front().second, "reborn");
      mRemoved.pop_front();
    }
    if (mRandom() % 3 != 0) {
      return;
    }
    std::vector<std::string> listed;
    for (const auto& server : Servers()) {
      const std::string name(server.as_object().at("name").as_string());
      const bool isRemoved =
        std::any_of(mRemoved.begin(), mRemoved.end(), [&](const auto& aRemoved) { return aRemoved.second == name; });
      if (name.starts_with("service") && !isRemoved) {
        listed.push_back(name);
      }
    }
    if (listed.size() > kMinListed) {
      const std::string& name = listed[mRandom() % listed.size()];
      SetServer(name, "unlisted");
      mRemoved.emplace_back(Now(), name);
    }
  }

  /// Heals the links whose time has come, and cuts one; at least one gateway always reaches the store.
  void ChangeLinks()
  {
    for (auto cut = mCuts.begin(); cut != mCuts.end();) {
      if (cut->second > Now()) {
        ++cut;
        continue;
      }
      Control(*mLinks[cut->first], { { "cut", false }, { "black_hole", false } });
      mPartitions[cut->first].back().mTo = Now();
      cut = mCuts.erase(cut);
    }
    const std::size_t gateway = mRandom() % mLinks.size();
    if (mRandom() % 8 == 0 && mCuts.size() + 1 < mLinks.size() && !mCuts.contains(gateway)) {
      mPartitions[gateway].push_back({ Now(), instant::max() });
      mCuts[gateway] = Now() + std::chrono::milliseconds(500 + mRandom() % 3500);
      Control(*mLinks[gateway], { { mRandom() % 3 == 0 ? "cut" : "black_hole", true } });
    }
  }

  void CallAndLook(std::size_t aGateway)
  {
    for (int each = 0; !mIsOver; ++each) {
      gateway_call call;
      call.mTarget = "/look/rope";
      call.mId = fmt::format("{}/{}", aGateway, each);
      call.mDeadlineMs = 1000;
      Send(call, aGateway);
      const instant askedAt = Now();
      const auto version = static_cast<std::uint64_t>(Metric(aGateway, "gateway_configuration_version"));
      const std::lock_guard lock(mMutex);
      mSightings.push_back({ aGateway, askedAt, version, ProcessorWait(*mGateways[aGateway]) });
    }
  }

  bool WasInTouch(std::size_t aGateway, instant aAt) const
  {
    const auto& partitions = mPartitions[aGateway];
    return std::none_of(partitions.begin(), partitions.end(), [&](const partition& aPartition) {
      return aPartition.mFrom <= aAt && aPartition.mTo >= aAt - kContactTime;
    });
  }

  /// Time for which a gateway's process waited for a processor between a moment and a sighting.
  duration ProcessorWaitSince(instant aFrom, const sighting& aUntil) const
  {
    duration before{ 0 };
    for (const sighting& seen : mSightings) {
      if (seen.mGateway == aUntil.mGateway && seen.mAskedAt <= aFrom) {
        before = std::max(before, seen.mProcessorWait);
      }
    }
    return aUntil.mProcessorWait - before;
  }

  /// A configuration is in force at each gateway in touch within the bound after it was written.
  void CheckConfigurations()
  {
    std::size_t judged = 0;
    for (const sighting& seen : mSightings) {
      const auto later = mAcknowledged.upper_bound(seen.mAskedAt - kApplyTime);
      if (later == mAcknowledged.begin() || !WasInTouch(seen.mGateway, seen.mAskedAt)) {
        continue;
      }
      ++judged;
      const std::uint64_t expected = std::prev(later)->second;
      if (seen.mVersion < expected) {
        FAIL_CHECK(
          "gateway " << seen.mGateway << " had version " << seen.mVersion << " in force, not " << expected
                     << ", which was written "
                     << std::chrono::duration<double>(seen.mAskedAt - std::prev(later)->first).count()
                     << " s before; its process waited "
                     << std::chrono::duration<double>(ProcessorWaitSince(std::prev(later)->first, seen)).count()
                     << " s for a processor meanwhile\n"
                     << mGateways[seen.mGateway]->Output());
      }
    }
    std::cout << "soak: " << judged << " of " << mSightings.size() << " configurations seen in touch\n";
    CHECK(judged * 10 > mSightings.size());
  }

  /// No gateway in touch sends to a server later than the bound after its entry was removed.
  void CheckArrivals()
  {
    std::map<std::pair<std::string, std::int64_t>, instant> removed; ///< by server and start
    std::size_t judged = 0;
    for (const auto& record : RecordsOf(mFleet)) {
      const std::string kind(record.at("kind").as_string());
      if (kind != "removed" && kind != "run" && kind != "turned_away") {
        continue;
      }
      const std::pair server(std::string(record.at("server").as_string()),
                             record.at("started_at").to_number<std::int64_t>());
      const instant at{ std::chrono::milliseconds(record.at("at_ms").to_number<std::int64_t>()) };
      const std::string id(record.at("id").as_string());
      if (kind == "removed") {
        removed.emplace(server, at);
        continue;
      }
      const std::size_t slash = id.find('/');
      if (slash == std::string::npos) {
        continue;
      }
      const std::size_t gateway = std::stoul(id.substr(0, slash));
      if (!WasInTouch(gateway, at)) {
        continue;
      }
      ++judged;
      const auto left = removed.find(server);
      if (left != removed.end() && at > left->second + kDrainTime) {
        FAIL_CHECK(id << " reached " << server.first << " " << std::chrono::duration<double>(at - left->second).count()
                      << " s after its entry was removed\n"
                      << mGateways[gateway]->Output());
      }
    }
    std::cout << "soak: " << removed.size() << " entries removed, " << judged << " arrivals judged\n";
    CHECK(judged > 0);
    CHECK_FALSE(removed.empty());
  }

  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<process>> mLinks;
  std::vector<std::vector<partition>> mPartitions;      ///< of each gateway
  std::map<std::size_t, instant> mCuts;                 ///< gateways that are cut off, until then
  std::deque<std::pair<instant, std::string>> mRemoved; ///< servers whose entry is removed, oldest first
  std::map<instant, std::uint64_t> mAcknowledged;       ///< versions by the time of the store's acknowledgement
  std::uint64_t mVersion = 1;
  std::mutex mMutex;
  std::vector<sighting> mSightings;
  std::atomic<bool> mIsOver = false;
};

} // namespace

// Guards against gateways that rely on a partitioned relay, and against removals that a partition of a gateway delays.
TEST_CASE_METHOD(partition_soak, "gateways_partitioned_from_the_store_in_turn_keep_the_bounds_of_those_in_touch")
{
  Run();
  Check();
}
