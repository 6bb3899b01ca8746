#include "gateway/overload_control.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using namespace std::chrono_literals;
using policy::RankOf;

namespace {

const failure_domain_id kHome("east");
constexpr duration kTick = 40ms;
constexpr duration kRunTime = 3s;
constexpr double kStreamTokens = 500;
constexpr std::size_t kUrgent = RankOf(0, true);
constexpr std::size_t kLessUrgent = RankOf(2, true);

net::endpoint AddressOf(std::size_t aGateway)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(1000 + aGateway) };
}

/// What happened to the streams of a kind.
struct outcomes
{
  double mArrived = 0;
  double mAdmitted = 0;
  double mStarted = 0;

  double Admitted() const { return mArrived > 0 ? mAdmitted / mArrived : 1; }
};

/// Gateways with overload control that share the engines of one pool. Streams run for kRunTime; announcements reach all
/// gateways that are not cut off.
struct shared_pool
{
  struct member
  {
    overload_control mControl{ kHome };
    load_announcements mHeard{ kHome };
    std::multimap<instant, double> mEnds; ///< of streams in progress, with their tokens
    std::vector<std::pair<instant, stream_demand>> mWaiting;
    std::map<std::size_t, outcomes> mByRank;
    std::map<policy::workspace_hash, outcomes> mByWorkspace;
    bool mIsAlive = true;
    bool mIsCutOff = false;

    double InUse() const
    {
      double sum = 0;
      for (const auto& [end, tokens] : mEnds) {
        sum += tokens;
      }
      return sum;
    }
  };

  std::vector<std::unique_ptr<member>> mMembers;
  double mCapacity;
  instant mNow{ 1000s };
  std::size_t mLive; ///< live gateways by the registry
  std::size_t mTicks = 0;
  std::size_t mStarted = 0;

  shared_pool(std::size_t aGateways, double aCapacity)
    : mCapacity(aCapacity)
    , mLive(aGateways)
  {
    std::vector<announcement_peer> peers;
    for (std::size_t each = 0; each < aGateways; ++each) {
      mMembers.push_back(std::make_unique<member>());
      peers.push_back({ kHome, AddressOf(each) });
    }
    for (const auto& each : mMembers) {
      each->mHeard.SetPeers(peers);
    }
  }

  void Arrive(std::size_t aGateway, std::size_t aRank, policy::workspace_hash aWorkspace = 1)
  {
    member& at = *mMembers.at(aGateway);
    const stream_demand stream{ aRank, aWorkspace, kStreamTokens };
    at.mControl.Arrived(stream, mNow);
    const bool admitted = at.mControl.Admits(stream, mNow);
    for (outcomes* each : { &at.mByRank[aRank], &at.mByWorkspace[aWorkspace] }) {
      each->mArrived += 1;
      each->mAdmitted += admitted ? 1 : 0;
    }
    if (admitted && !(at.mWaiting.empty() && Start(at, stream))) {
      at.mWaiting.emplace_back(mNow, stream);
    }
  }

  bool Start(member& aAt, const stream_demand& aStream)
  {
    if (aAt.mControl.State().mIsScarce && !aAt.mControl.MayStart(aStream.mTokens)) {
      return false;
    }
    aAt.mControl.Started(aStream.mTokens);
    aAt.mByRank[aStream.mRank].mStarted += 1;
    // Run times differ, from 0.5 to 1.5 times the average, so that streams that start together do not end together.
    const auto part = static_cast<int>(mStarted++ * 7 % 11);
    aAt.mEnds.emplace(mNow + kRunTime / 2 + kRunTime * part / 10, aStream.mTokens);
    return true;
  }

  /// One tick: gateways update their allocation, start what may start, and announce their load every 280 ms.
  void Tick()
  {
    constexpr std::size_t kTicksPerAnnouncement = 7;
    mNow += kTick;
    ++mTicks;
    for (std::size_t index = 0; index < mMembers.size(); ++index) {
      member& each = *mMembers[index];
      if (!each.mIsAlive) {
        continue;
      }
      each.mEnds.erase(each.mEnds.begin(), each.mEnds.upper_bound(mNow));
      std::erase_if(each.mWaiting, [&](const auto& aWaiting) { return mNow - aWaiting.first > 300ms; });
      pool_load load{ mCapacity, { { kHome, each.InUse() } }, {}, mLive };
      for (const auto& waiting : each.mWaiting) {
        load.mWaiting.push_back(waiting.second);
      }
      each.mControl.Update(load, each.mHeard, mNow);
      std::stable_sort(each.mWaiting.begin(), each.mWaiting.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mRank < aRight.second.mRank;
      });
      std::erase_if(each.mWaiting, [&](const auto& aWaiting) { return Start(each, aWaiting.second); });
      if ((mTicks + index) % kTicksPerAnnouncement == 0) {
        Announce(index);
      }
    }
  }

  void Announce(std::size_t aGateway)
  {
    for (std::size_t to = 0; to < mMembers.size(); ++to) {
      if (to != aGateway && !mMembers[to]->mIsCutOff && !mMembers[aGateway]->mIsCutOff) {
        mMembers[to]->mHeard.Received(AddressOf(aGateway), *mMembers[aGateway]->mControl.Own(), mNow);
      }
    }
  }

  /// Runs for a time in which, in each tick, aArrive(*this, number of the tick) adds streams.
  template<class Arrivals>
  void Run(duration aTime, Arrivals aArrive)
  {
    for (const instant end = mNow + aTime; mNow < end;) {
      aArrive(*this, mTicks);
      Tick();
    }
  }

  double InUse() const
  {
    double sum = 0;
    for (const auto& each : mMembers) {
      sum += each->mIsAlive ? each->InUse() : 0;
    }
    return sum;
  }

  void ForgetOutcomes()
  {
    for (const auto& each : mMembers) {
      each->mByRank.clear();
      each->mByWorkspace.clear();
    }
  }
};

/// One less urgent stream at each gateway and tick.
void LessUrgentEverywhere(shared_pool& aPool, std::size_t)
{
  for (std::size_t each = 0; each < aPool.mMembers.size(); ++each) {
    aPool.Arrive(each, kLessUrgent);
  }
}

} // namespace

// Guards against gateways that each keep to their quota and together use more than the capacity.
TEST_CASE("overload_control_of_gateways_that_hear_the_same_gives_quotas_within_the_capacity")
{
  for (const std::size_t gateways : { 1, 2, 25, 60 }) {
    const double capacity = 20'000.0 * static_cast<double>(gateways);
    shared_pool pool(gateways, capacity);
    pool.Run(10s, LessUrgentEverywhere);
    double quotas = 0;
    for (const auto& each : pool.mMembers) {
      CHECK(each->mControl.State().mIsScarce);
      quotas += each->mControl.State().mQuota;
    }
    INFO(gateways << " gateways, quotas " << quotas << ", in use " << pool.InUse() << " of " << capacity);
    CHECK(quotas <= capacity);
    CHECK(pool.InUse() <= capacity);
    CHECK(pool.InUse() >= capacity * 0.8);
  }
}

// Guards against a partitioned gateway that takes the capacity which the others use.
TEST_CASE("overload_control_of_a_gateway_that_hears_nobody_takes_about_an_equal_share")
{
  constexpr std::size_t kGateways = 25;
  const double capacity = 500'000;
  shared_pool pool(kGateways, capacity);
  pool.mMembers[0]->mIsCutOff = true;
  pool.Run(15s, LessUrgentEverywhere);
  const double equalShare = capacity / kGateways;
  CHECK(pool.mMembers[0]->InUse() <= equalShare * 1.1);
  CHECK(pool.mMembers[0]->InUse() >= equalShare * 0.5);
}

// Guards against a start of all gateways, which know nothing of each other, that overloads the engines.
TEST_CASE("overload_control_of_gateways_that_all_restart_starts_no_more_than_the_capacity")
{
  for (const std::size_t gateways : { 2, 25 }) {
    const double capacity = 20'000.0 * static_cast<double>(gateways);
    shared_pool pool(gateways, capacity);
    for (const auto& each : pool.mMembers) {
      each->mIsCutOff = true; // until the first announcements arrive
    }
    double most = 0;
    const auto arrive = [&](shared_pool& aPool, std::size_t aTick) {
      LessUrgentEverywhere(aPool, aTick);
      LessUrgentEverywhere(aPool, aTick);
      most = std::max(most, aPool.InUse());
    };
    pool.Run(1100ms, arrive);
    for (const auto& each : pool.mMembers) {
      each->mIsCutOff = false;
    }
    pool.Run(5s, arrive);
    INFO(gateways << " gateways, " << most << " of " << capacity);
    CHECK(most <= capacity * 1.02);
    CHECK(most >= capacity * 0.8);
  }
}

// Guards against quotas that each gateway uses up at once for the same free capacity.
TEST_CASE("overload_control_of_25_gateways_with_a_burst_in_100_ms_starts_no_more_than_the_capacity")
{
  constexpr std::size_t kGateways = 25;
  const double capacity = 500'000;
  shared_pool pool(kGateways, capacity);
  pool.Run(10s, LessUrgentEverywhere);
  double most = 0;
  pool.Run(2s, [&](shared_pool& aPool, std::size_t aTick) {
    LessUrgentEverywhere(aPool, aTick);
    most = std::max(most, aPool.InUse());
    for (int each = 0; each < 40 && aPool.mNow < instant(1010s) + 100ms; ++each) {
      for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
        aPool.Arrive(gateway, kUrgent);
      }
    }
  });
  CHECK(most <= capacity);
}

// Guards against capacity of a crashed gateway that stays unused, or that is used before its announcement has expired.
TEST_CASE("overload_control_of_a_lost_gateway_frees_its_share_after_2_s")
{
  const double capacity = 40'000;
  shared_pool pool(2, capacity);
  pool.Run(10s, LessUrgentEverywhere);
  const double before = pool.mMembers[0]->InUse();
  CHECK(before <= capacity * 0.6);
  pool.mMembers[1]->mIsAlive = false;
  pool.mLive = 1;
  const auto arrive = [](shared_pool& aPool, std::size_t) { aPool.Arrive(0, kLessUrgent); };
  pool.Run(1800ms, arrive);
  CHECK(pool.mMembers[0]->InUse() <= capacity * 0.6);
  pool.Run(5s, arrive);
  CHECK(pool.mMembers[0]->InUse() >= capacity * 0.8);
}

// Guards against an urgent request that is rejected at one gateway while its neighbours send less urgent ones.
TEST_CASE("overload_control_admits_urgent_requests_at_one_gateway_while_less_urgent_ones_are_rejected_at_all")
{
  shared_pool pool(5, 100'000);
  const auto arrive = [](shared_pool& aPool, std::size_t aTick) {
    LessUrgentEverywhere(aPool, aTick);
    LessUrgentEverywhere(aPool, aTick);
    if (aTick % 2 == 0) {
      aPool.Arrive(0, kUrgent);
    }
  };
  pool.Run(5s, arrive);
  pool.ForgetOutcomes();
  pool.Run(10s, arrive);
  CHECK(pool.mMembers[0]->mByRank[kUrgent].Admitted() >= 0.98);
  for (const auto& each : pool.mMembers) {
    CHECK(each->mByRank[kLessUrgent].Admitted() < 0.5);
    CHECK(each->mByRank[kLessUrgent].mStarted > 0);
  }
}

// Guards against a workspace that takes capacity from the others by sending ten times its share.
TEST_CASE("overload_control_with_a_workspace_at_ten_times_its_share_admits_the_others_as_without_it")
{
  constexpr std::size_t kGateways = 5;
  constexpr policy::workspace_hash kWorkspaces = 8;
  // The demand of the others takes three quarters of the capacity.
  const double perSecond = kGateways * kWorkspaces / std::chrono::duration<double>(4 * kTick).count();
  shared_pool pool(kGateways, perSecond * kStreamTokens * 3 / 0.75);
  const auto arrive = [](shared_pool& aPool, std::size_t aTick) {
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
      for (policy::workspace_hash workspace = 0; workspace < kWorkspaces; ++workspace) {
        if ((aTick + workspace) % 4 == 0) {
          aPool.Arrive(gateway, kUrgent, workspace);
        }
      }
      for (std::size_t each = 0; each < (aTick % 2 == 0 ? 3U : 2U); ++each) {
        aPool.Arrive(gateway, kUrgent, kWorkspaces);
      }
    }
  };
  pool.Run(5s, arrive);
  pool.ForgetOutcomes();
  pool.Run(20s, arrive);
  outcomes others;
  outcomes greedy;
  for (const auto& each : pool.mMembers) {
    for (const auto& [workspace, of] : each->mByWorkspace) {
      outcomes& sum = workspace == kWorkspaces ? greedy : others;
      sum.mArrived += of.mArrived;
      sum.mAdmitted += of.mAdmitted;
    }
  }
  CHECK(others.Admitted() >= 0.98);
  CHECK(greedy.Admitted() < 0.9);
}

// Guards against callers that retry and are served before those whose first attempt can still be on time.
TEST_CASE("overload_control_recognises_a_caller_that_retries_by_the_time_it_gives")
{
  overload_control control(kHome);
  const route_name route("chat");
  const instant now{ 1000s };
  CHECK_FALSE(control.IsRetry(route, 5s, now));
  CHECK_FALSE(control.IsRetry(route, 20s, now));
  CHECK_FALSE(control.IsRetry(route, 17s, now));
  CHECK(control.IsRetry(route, 15900ms, now));
  CHECK_FALSE(control.IsRetry(route_name("other"), 5s, now));
  CHECK_FALSE(control.IsRetry(route, 5s, now + policy::kMaximumWindow * 3));
}

// Guards against callers that wait longer than they would: they retry within a third of their time.
TEST_CASE("overload_control_retry_after_never_exceeds_a_third_of_the_callers_time")
{
  shared_pool pool(1, 10'000);
  CHECK_FALSE(pool.mMembers[0]->mControl.RetryAfter(20s, 0.5, pool.mNow));
  pool.Run(20s, LessUrgentEverywhere);
  REQUIRE(rc::check([&] {
    const duration patience = std::chrono::milliseconds(*rc::gen::inRange(-1'000, 60'000));
    const double random = *rc::gen::inRange(0, 1'000) / 1'000.0;
    const instant now = pool.mNow + std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
    const auto after = pool.mMembers[0]->mControl.RetryAfter(patience, random, now);
    RC_ASSERT(after.has_value());
    RC_ASSERT(*after >= duration::zero());
    RC_ASSERT(*after <= std::max(duration::zero(), patience / 3));
  }));
}

// Guards against a pool without engines or gateways without demand that lead to quotas which are not numbers.
TEST_CASE("overload_control_of_an_empty_pool_admits_no_late_stream_and_recovers_with_the_engines")
{
  shared_pool pool(2, 0);
  pool.Run(2s, LessUrgentEverywhere);
  const overload_state& state = pool.mMembers[0]->mControl.State();
  CHECK(state.mIsScarce);
  CHECK(state.mAdmitted[kLessUrgent] == 0);
  CHECK_FALSE(pool.mMembers[0]->mControl.MayStart(kStreamTokens));
  pool.mCapacity = 1'000'000;
  pool.Run(3s, LessUrgentEverywhere);
  CHECK_FALSE(state.mIsScarce);
  CHECK(state.mAdmitted[kLessUrgent] == 1);
}
