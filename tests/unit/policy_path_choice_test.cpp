#include "policy/path_choice.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

struct path_choice_fixture
{
  engine_model mModel;
  std::vector<path_engine> mEngines;
  path_request mRequest;

  path_choice_fixture()
  {
    mModel.mLayers = 80;
    mModel.mLayerMb = 1750;
    mModel.mBytesPerTokenAndLayer = 5737;
    mModel.mStride = 2;
    mModel.mStep = fractional_ms(0.85);
    mModel.mPrefillTokensPerSecond = 252'000;
    mModel.mActivationBytes = 22'900;
    mModel.mInterconnectMbps = 7'900;
    mModel.mInterconnectDelay = fractional_ms(0.25);
    mModel.mTypicalInputTokens = 772;
    mModel.mTypicalOutputTokens = 154;
    mRequest.mInputTokens = 772;
    mRequest.mOutputTokens = 154;
    mRequest.mHome = failure_domain_id("east");
  }

  void Add(const std::string& aDomain, std::uint32_t aFrom, std::uint32_t aEnd, double aScale = 15)
  {
    path_engine engine;
    engine.mId = backend_id(aDomain + std::to_string(aFrom) + "-" + std::to_string(mEngines.size()));
    engine.mDomain = failure_domain_id(aDomain);
    engine.mKind = { "card", (aEnd - aFrom) * 2400.0, aScale, aScale };
    engine.mHeld = { aFrom, aEnd };
    mEngines.push_back(engine);
  }

  std::optional<layer_path> Choose() const { return ChoosePath(mModel, mEngines, mRequest); }

  /// Whether the stages cover a span once and in order, each on an engine that holds its layers, no engine twice.
  bool IsValid(const layer_path& aPath, layer_span aSpan) const
  {
    std::uint32_t next = aSpan.mFrom;
    std::set<std::size_t> used;
    for (const path_stage& stage : aPath.mStages) {
      const layer_span held = mEngines[stage.mEngine].mHeld;
      if (stage.mRange.mFrom != next || stage.mRange.IsEmpty() || stage.mRange.mFrom < held.mFrom ||
          stage.mRange.mEnd > held.mEnd || !used.insert(stage.mEngine).second) {
        return false;
      }
      next = stage.mRange.mEnd;
    }
    return next == aSpan.mEnd;
  }
};

} // namespace

TEST_CASE_METHOD(path_choice_fixture, "path_choice_in_one_domain_runs_each_layer_once_in_order")
{
  Add("east", 0, 30);
  Add("east", 20, 60);
  Add("east", 55, 80);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(IsValid(*path, { 0, 80 }));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_prefers_the_faster_of_two_holders")
{
  Add("east", 0, 40, 15);
  Add("east", 0, 40, 3);
  Add("east", 40, 80);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 1);
}

TEST_CASE_METHOD(path_choice_fixture,
                 "path_choice_with_an_engine_that_may_not_begin_a_path_uses_it_for_later_layers_only")
{
  Add("east", 0, 80, 3);
  Add("east", 0, 40, 15);
  mEngines[0].mMayBegin = false;
  const auto path = Choose();
  REQUIRE(path);
  REQUIRE(path->mStages.size() == 2);
  CHECK(path->mStages[0].mEngine == 1);
  CHECK(path->mStages[1].mEngine == 0);
  mEngines[1].mMayBegin = false;
  CHECK_FALSE(Choose());
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_stays_at_home_though_others_are_faster")
{
  Add("east", 0, 80, 15);
  Add("west", 0, 80, 3);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 0);
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_uses_missing_layers_of_another_domain")
{
  Add("east", 0, 30);
  Add("west", 0, 80);
  Add("east", 40, 80);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(IsValid(*path, { 0, 80 }));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_a_full_interconnect_returns_no_path_that_crosses")
{
  Add("east", 0, 30);
  Add("west", 30, 40);
  Add("east", 40, 80);
  CHECK(Choose());
  mRequest.mInterconnectWaits[domain_pair(failure_domain_id("west"), failure_domain_id("east"))] =
    kMaxInterconnectWait * 2;
  CHECK(!Choose());
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_without_memory_for_the_request_skips_an_engine")
{
  Add("east", 0, 80, 3);
  Add("east", 0, 80, 15);
  mEngines[0].mReservedTokenLayers = MemoryForRequests(mModel, mEngines[0].mKind, mEngines[0].mHeld);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 1);
  mEngines[1].mReservedTokenLayers = mEngines[0].mReservedTokenLayers;
  CHECK(!Choose());
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_of_a_span_replaces_only_its_layers")
{
  Add("east", 0, 30);
  Add("east", 25, 50);
  Add("east", 20, 60);
  mRequest.mSpan = layer_span{ 30, 48 };
  const auto path = Choose();
  REQUIRE(path);
  CHECK(IsValid(*path, { 30, 48 }));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_a_layer_that_no_engine_holds_returns_nothing")
{
  Add("east", 0, 30);
  Add("east", 31, 80);
  CHECK(!Choose());
}

TEST_CASE("path_choice_over_any_engines_is_valid_or_nothing")
{
  REQUIRE(rc::check([] {
    path_choice_fixture fixture;
    const int count = *rc::gen::inRange(1, 14);
    for (int each = 0; each < count; ++each) {
      const auto from = *rc::gen::inRange<std::uint32_t>(0, 79);
      const auto end = *rc::gen::inRange<std::uint32_t>(from + 1, 81);
      fixture.Add(*rc::gen::element(std::string("east"), std::string("west")), from, end, *rc::gen::inRange(1, 16));
      fixture.mEngines.back().mUsable = *rc::gen::inRange(0, 8) != 0;
    }
    const auto path = fixture.Choose();
    std::vector<int> holders(80, 0);
    for (const path_engine& engine : fixture.mEngines) {
      for (std::uint32_t layer = engine.mHeld.mFrom; engine.mUsable && layer < engine.mHeld.mEnd; ++layer) {
        ++holders[layer];
      }
    }
    const bool covered = std::count(holders.begin(), holders.end(), 0) == 0;
    RC_ASSERT(path.has_value() == covered);
    if (path) {
      RC_ASSERT(fixture.IsValid(*path, { 0, 80 }));
    }
  }));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_a_fast_engine_in_the_middle_of_a_slow_one_uses_no_engine_twice")
{
  Add("east", 0, 80, 15);
  Add("east", 30, 50, 1);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(IsValid(*path, { 0, 80 }));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_for_a_replaced_stage_stays_in_the_domain_of_its_neighbours")
{
  Add("west", 30, 40);
  Add("east", 30, 40, 3);
  mRequest.mSpan = layer_span{ 30, 40 };
  mRequest.mHome = mEngines[0].mDomain;
  mRequest.mDomainBefore = mEngines[0].mDomain;
  mRequest.mDomainAfter = mEngines[0].mDomain;
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 0);
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_for_a_replaced_stage_does_not_cross_a_full_interconnect")
{
  Add("east", 30, 40);
  const failure_domain_id east("east");
  const failure_domain_id west("west");
  mRequest.mSpan = layer_span{ 30, 40 };
  mRequest.mDomainBefore = west;
  mRequest.mDomainAfter = east;
  CHECK(Choose());
  mRequest.mInterconnectWaits[domain_pair(west, east)] = kMaxInterconnectWait * 2;
  CHECK(!Choose());
  std::swap(mRequest.mDomainBefore, mRequest.mDomainAfter);
  CHECK(!Choose());
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_a_slow_engine_at_home_uses_a_fast_domain")
{
  Add("east", 0, 80);
  Add("west", 0, 80);
  mEngines[0].mSlowdownFactor = 12;
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 1);
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_slow_engines_only_still_returns_a_path")
{
  Add("east", 0, 80);
  mEngines[0].mSlowdownFactor = 12;
  CHECK(Choose());
  mRequest.mFastEnginesOnly = true;
  CHECK(!Choose());
}

TEST_CASE_METHOD(path_choice_fixture,
                 "path_choice_with_a_queue_at_the_fast_first_engine_begins_where_it_starts_in_time")
{
  Add("east", 0, 40, 3);
  Add("east", 0, 40, 15);
  Add("east", 40, 80);
  mRequest.mMaxQueueWait = fractional_ms(250);
  mEngines[0].mQueueWait = fractional_ms(900);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 1);
  // Where all queues are too long, the request still goes to the shorter one.
  mEngines[1].mQueueWait = fractional_ms(9000);
  const auto shorter = Choose();
  REQUIRE(shorter);
  CHECK(shorter->mStages.front().mEngine == 0);
  CHECK(shorter->mCost.mFirstToken >= fractional_ms(900));
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_with_a_queue_at_a_later_engine_does_not_count_it")
{
  Add("east", 0, 40);
  Add("east", 40, 80, 3);
  Add("east", 40, 80, 15);
  mRequest.mMaxQueueWait = fractional_ms(250);
  mEngines[1].mQueueWait = fractional_ms(900);
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.back().mEngine == 1);
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_begins_at_no_engine_without_a_free_slot")
{
  mModel.mSlots = 100;
  Add("east", 0, 80, 3);
  Add("east", 0, 80, 15);
  mEngines[0].mBegun = 100;
  const auto path = Choose();
  REQUIRE(path);
  CHECK(path->mStages.front().mEngine == 1);
  mEngines[1].mBegun = 100;
  CHECK(!Choose());
  // Unknown slots bound nothing.
  mModel.mSlots = 0;
  CHECK(Choose());
}

TEST_CASE_METHOD(path_choice_fixture, "path_choice_passes_through_a_later_engine_whose_slots_are_taken")
{
  mModel.mSlots = 100;
  Add("east", 0, 40);
  Add("east", 40, 80);
  mEngines[1].mBegun = 100;
  CHECK(Choose());
  mRequest.mSpan = layer_span{ 40, 80 };
  CHECK(Choose());
}
