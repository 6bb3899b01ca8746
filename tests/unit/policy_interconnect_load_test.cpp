#include "policy/interconnect_load.h"
#include "policy/path_choice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

/// Gateways of several domains, all of which lack a layer, before one pipe; each knows only what it sent itself.
struct pipe_load_fixture
{
  static constexpr std::size_t kGateways = 26;
  /// A prompt of 750 tokens of 16,400 bytes over 1,100 Mbit/s.
  const fractional_ms mCrossing{ 90 };
  const domain_pair mPair{ failure_domain_id("east"), failure_domain_id("west") };
  std::vector<interconnect_load> mGateways{ kGateways };
  std::size_t mSent = 0;
  std::size_t mRefused = 0;

  /// Each gateway has a stream every 50 ms that must cross, for so long; returns the longest wait on the real pipe.
  fractional_ms Play(duration aTime, double aSharers)
  {
    const instant begin{};
    instant freeAt = begin;
    fractional_ms longest{ 0 };
    for (instant now = begin; now < begin + aTime; now += std::chrono::milliseconds(50)) {
      for (interconnect_load& gateway : mGateways) {
        const interconnect_waits waits = gateway.Waits(now);
        const auto wait = waits.find(mPair);
        if (wait != waits.end() && wait->second > kMaxInterconnectWait) {
          ++mRefused;
          continue;
        }
        gateway.Add(mPair, mCrossing, aSharers, now);
        freeAt = std::max(freeAt, now) + std::chrono::duration_cast<duration>(mCrossing);
        longest = std::max<fractional_ms>(longest, freeAt - now);
        ++mSent;
      }
    }
    return longest;
  }
};

} // namespace

TEST_CASE_METHOD(pipe_load_fixture, "pipe_load_when_all_gateways_cross_at_once_is_let_through_as_fast_as_the_pipe")
{
  const fractional_ms longest = Play(std::chrono::seconds(20), kGateways);
  // Each gateway finds the pipe free once, at the beginning; after that the queue does not grow.
  CHECK(longest < mCrossing * (kGateways + 2.0));
  // The pipe takes 222 crossings in 20 s.
  CHECK(mSent > 200);
  CHECK(mSent < 260);
  CHECK(mRefused > 0);
}

TEST_CASE_METHOD(pipe_load_fixture, "pipe_load_that_counts_one_domain_only_fills_the_pipe_without_end")
{
  CHECK(Play(std::chrono::seconds(20), kGateways / 4.0) > std::chrono::seconds(20));
}
