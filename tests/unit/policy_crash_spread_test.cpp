#include "policy/crash_record.h"

#include <catch2/catch.hpp>

#include <queue>
#include <random>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using std::chrono::milliseconds;

namespace {

constexpr duration kContactTime = milliseconds(3000);
constexpr duration kRunTime = milliseconds(150); ///< from the start of a run to its first output or to the crash
constexpr duration kFindTime = milliseconds(50); ///< from a crash to its confirmation
constexpr duration kHintDelay = milliseconds(2);
constexpr std::size_t kPeers = 40; ///< gateways that get a hint
const run_trait kPopularPart(1);
const run_trait kFaultyPart(2);
const run_trait kSessionPart(3);

/// Gateways that exchange hints over lossy datagrams, in front of servers that crash under requests with kFaultyPart.
/// Each crash also interrupts a few harmless runs that have the other parts.
class gateway_group
{
public:
  gateway_group(std::size_t aGateways, double aLoss, std::uint32_t aSeed)
    : mRecords(aGateways)
    , mLoss(aLoss)
    , mRandom(aSeed)
  {
  }

  /// Requests arrive for aLength, aFaultyPerSecond of them with the faulty part.
  void Play(double aFaultyPerSecond, double aSoundPerSecond, duration aLength)
  {
    Arrive(aFaultyPerSecond, aLength, [this] { Send({ kPopularPart, kSessionPart, kFaultyPart }, true); });
    Arrive(aSoundPerSecond, aLength, [this] {
      Send({ kPopularPart, mRandom() % 8 == 0 ? kSessionPart : run_trait(4) }, false);
    });
    while (!mEvents.empty()) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mDo();
    }
  }

  std::vector<instant> mCrashes;
  std::size_t mSentLate = 0; ///< runs with the faulty part later than kContactTime after the fifth crash
  std::size_t mSoundLate = 0;
  std::size_t mSoundRefused = 0; ///< of mSoundLate

private:
  struct event
  {
    instant mAt;
    std::uint64_t mOrder;
    std::function<void()> mDo;
    bool operator<(const event& aOther) const { return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder); }
  };

  void At(duration aAfter, std::function<void()> aDo) { mEvents.push({ mNow + aAfter, ++mOrder, std::move(aDo) }); }

  template<class Do>
  void Arrive(double aPerSecond, duration aLength, Do aDo)
  {
    std::exponential_distribution<double> gap(aPerSecond);
    for (duration at(0); at < aLength;
         at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(mRandom)))) {
      At(at, aDo);
    }
  }

  bool IsLate() const { return mCrashes.size() >= 5 && mNow - mCrashes[4] > kContactTime; }

  void Send(std::vector<run_trait> aTraits, bool aIsFaulty)
  {
    const std::size_t gateway = mRandom() % mRecords.size();
    aTraits.emplace_back(++mLastRequest);
    const bool isRefused = mRecords[gateway].Admit(aTraits, mNow).has_value();
    if (!aIsFaulty) {
      mSoundLate += IsLate() ? 1 : 0;
      mSoundRefused += IsLate() && isRefused ? 1 : 0;
    }
    if (isRefused) {
      return;
    }
    if (aIsFaulty) {
      mSentLate += IsLate() ? 1 : 0;
      At(kRunTime, [this, gateway, aTraits] { Crash(gateway, aTraits); });
      return;
    }
    // One sound run in twenty is on a server that another request crashes.
    const bool isInterrupted = mNow - mLastCrashAt < kRunTime && mRandom() % 20 == 0;
    At(kRunTime, [this, gateway, aTraits, isInterrupted] {
      if (isInterrupted) {
        Report(gateway, { aTraits, mLastCrashed, mLastCrashAt, "" });
      } else {
        Clear(gateway, aTraits);
      }
    });
  }

  void Crash(std::size_t aGateway, const std::vector<run_trait>& aTraits)
  {
    mCrashes.push_back(mNow);
    mLastCrashAt = mNow;
    mLastCrashed = { backend_id("server-" + std::to_string(mCrashes.size())), 1 };
    Report(aGateway, { aTraits, mLastCrashed, mNow, "" });
  }

  void Report(std::size_t aGateway, interrupted_run aRun)
  {
    At(kFindTime, [this, aGateway, aRun] {
      Tell(aGateway, [this, aRun](std::size_t aTo) { Count(aTo, aRun); });
      Count(aGateway, aRun);
    });
  }

  void Count(std::size_t aGateway, const interrupted_run& aRun)
  {
    if (const auto block = mRecords[aGateway].Crashed(aRun, mNow)) {
      TellBlock(aGateway, *block);
    }
  }

  void TellBlock(std::size_t aGateway, const trait_block& aBlock)
  {
    Tell(aGateway, [this, aBlock](std::size_t aTo) {
      const block_verdict verdict = mRecords[aTo].Blocked(aBlock, mNow);
      if (verdict == block_verdict::Adopted) {
        TellBlock(aTo, aBlock);
      } else if (verdict == block_verdict::Contradicted) {
        TellCleared(aTo, { aBlock.mTrait }, *mRecords[aTo].LastOutput(aBlock.mTrait));
      }
    });
  }

  void Clear(std::size_t aGateway, const std::vector<run_trait>& aTraits)
  {
    const auto known = mRecords[aGateway].Cleared(aTraits, mNow);
    if (!known.empty()) {
      TellCleared(aGateway, known, mNow);
    }
  }

  void TellCleared(std::size_t aGateway, const std::vector<run_trait>& aTraits, instant aAt)
  {
    Tell(aGateway, [this, aTraits, aAt](std::size_t aTo) { mRecords[aTo].Cleared(aTraits, aAt); });
  }

  template<class Do>
  void Tell(std::size_t aFrom, Do aDo)
  {
    for (std::size_t step = 1; step <= std::min(kPeers, mRecords.size() - 1); ++step) {
      const std::size_t to = (aFrom + step) % mRecords.size();
      if (std::uniform_real_distribution<double>(0, 1)(mRandom) >= mLoss) {
        At(kHintDelay, [aDo, to] { aDo(to); });
      }
    }
  }

  std::vector<crash_record> mRecords;
  double mLoss;
  std::mt19937 mRandom;
  instant mNow = instant() + std::chrono::hours(1);
  std::uint64_t mOrder = 0;
  std::uint64_t mLastRequest = 1000;
  instant mLastCrashAt;
  server_start mLastCrashed;
  std::priority_queue<event> mEvents;
};

} // namespace

TEST_CASE("crash_records_of_many_gateways_block_a_faulty_part_in_time_and_no_other_over_lossy_datagrams")
{
  for (const std::size_t gateways : { 1U, 6U, 60U, 390U }) {
    for (const double loss : { 0.0, 0.1, 0.3 }) {
      for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        INFO(gateways << " gateways, loss " << loss << ", seed " << seed);
        gateway_group group(gateways, loss, seed);
        group.Play(4, 60, std::chrono::seconds(15));
        CHECK(group.mCrashes.size() >= 3);
        CHECK(group.mSentLate <= 3);
        CHECK(group.mSoundRefused * 10 <= group.mSoundLate);
      }
    }
  }
}

TEST_CASE("crash_records_with_hardly_any_sound_requests_beside_the_faulty_ones_block_in_time")
{
  for (const std::size_t gateways : { 1U, 6U, 60U }) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
      INFO(gateways << " gateways, seed " << seed);
      gateway_group group(gateways, 0.1, seed);
      group.Play(4, 2, std::chrono::seconds(30));
      CHECK(group.mSentLate <= 3);
      CHECK(group.mSoundRefused * 2 <= group.mSoundLate);
    }
  }
}
