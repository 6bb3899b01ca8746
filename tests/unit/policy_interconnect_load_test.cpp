#include "policy/interconnect_load.h"
#include "policy/path_choice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// Gateways of several domains that lack a layer share one interconnect; each knows only what it sent itself.
struct interconnect_load_fixture
{
  static constexpr std::size_t kGateways = 26;
  /// A prompt of 750 tokens with 16,400 bytes each at 1,100 Mbit/s.
  const fractional_ms mTransferTime{ 90 };
  const domain_pair mPair{ failure_domain_id("east"), failure_domain_id("west") };
  std::vector<interconnect_load> mGateways{ kGateways };
  std::size_t mSent = 0;
  std::size_t mRefused = 0;

  /// For aTime, each gateway has a stream to transfer every 50 ms. Returns the longest wait on the real interconnect.
  fractional_ms Simulate(duration aTime, double aSharers)
  {
    const instant begin{};
    instant freeAt = begin;
    fractional_ms longestWait{ 0 };
    for (instant now = begin; now < begin + aTime; now += std::chrono::milliseconds(50)) {
      for (interconnect_load& gateway : mGateways) {
        const interconnect_waits waits = gateway.Waits(now);
        const auto wait = waits.find(mPair);
        if (wait != waits.end() && wait->second > kMaxInterconnectWait) {
          ++mRefused;
          continue;
        }
        gateway.Add(mPair, mTransferTime, aSharers, now);
        freeAt = std::max(freeAt, now) + std::chrono::duration_cast<duration>(mTransferTime);
        longestWait = std::max<fractional_ms>(longestWait, freeAt - now);
        ++mSent;
      }
    }
    return longestWait;
  }
};

} // namespace

TEST_CASE_METHOD(interconnect_load_fixture,
                 "interconnect_load_when_all_gateways_transfer_at_once_is_admitted_at_the_bandwidth")
{
  const fractional_ms longestWait = Simulate(std::chrono::seconds(20), kGateways);
  // At the beginning each gateway finds the interconnect free once; after that the queue does not grow.
  CHECK(longestWait < mTransferTime * (kGateways + 2.0));
  // The interconnect carries 222 transfers in 20 s.
  CHECK(mSent > 200);
  CHECK(mSent < 260);
  CHECK(mRefused > 0);
}

TEST_CASE_METHOD(interconnect_load_fixture, "interconnect_load_that_counts_one_domain_only_queues_without_bound")
{
  CHECK(Simulate(std::chrono::seconds(20), kGateways / 4.0) > std::chrono::seconds(20));
}
