#include "policy/stall_detector.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct stall_detector_fixture
{
  stall_detector mDetector{ 100ms };
  stream_kind mKind{ "m/fast" };
  gap_statistics mOwn;

  void Observe(duration aGap, int aTimes = 200)
  {
    for (int i = 0; i < aTimes; ++i) {
      mDetector.TokenObserved(mKind, aGap);
    }
  }
};

} // namespace

TEST_CASE_METHOD(stall_detector_fixture, "stall_detector_of_fast_kind_allows_only_the_floor")
{
  Observe(10ms);
  REQUIRE(mDetector.TokenAllowance(mKind, mOwn) == 100ms);
}

TEST_CASE_METHOD(stall_detector_fixture, "stall_detector_of_slow_kind_allows_its_typical_gaps")
{
  Observe(200ms);
  REQUIRE(mDetector.TokenAllowance(mKind, mOwn) >= 700ms);
  REQUIRE(mDetector.TokenAllowance(stream_kind("other"), mOwn) == 100ms);
}

TEST_CASE_METHOD(stall_detector_fixture, "stall_detector_after_one_stall_still_finds_the_next")
{
  Observe(50ms);
  Observe(60s, 1);
  REQUIRE(mDetector.TokenAllowance(mKind, mOwn) < 1s);
}

TEST_CASE_METHOD(stall_detector_fixture, "stall_detector_allows_a_stream_its_own_gaps")
{
  Observe(10ms);
  for (int i = 0; i < 100; ++i) {
    mOwn.Observed(150ms);
  }
  REQUIRE(mDetector.TokenAllowance(mKind, mOwn) >= 500ms);
}

TEST_CASE_METHOD(stall_detector_fixture, "stall_detector_allows_a_long_prompt_its_prefill")
{
  Observe(10ms);
  mDetector.FirstTokenObserved(mKind, token_count(1000), 500ms);
  REQUIRE(mDetector.FirstTokenAllowance(mKind, token_count(8000), 0ms, 0ms) > 8 * 500ms);
  REQUIRE(mDetector.FirstTokenAllowance(mKind, token_count(10), 0ms, 0ms) < 200ms);
  REQUIRE(mDetector.FirstTokenAllowance(stream_kind("new"), token_count(8000), 1ms, 2s) > 10s);
}
