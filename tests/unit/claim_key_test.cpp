#include "policy/claim_key.h"

#include <catch2/catch.hpp>

#include "policy/claim_filter.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

struct claim_key_fixture
{
  workspace_id mWorkspace{ "tegid" };
  route_name mRoute{ "winches" };
  std::string mTimedKey = "018f0000-0000-7abc-8def-0123456789ab";
  calendar_time mKeyTime{ std::chrono::milliseconds(0x018f00000000) };
  std::chrono::milliseconds mRetention = std::chrono::hours(72);
};

} // namespace

TEST_CASE_METHOD(claim_key_fixture, "claim_key_of_other_workspace_or_route_differs")
{
  const auto key = MakeClaimKey(mWorkspace, mRoute, "k");
  REQUIRE(key.Str().size() == 16);
  REQUIRE(key != MakeClaimKey(workspace_id("tegi"), route_name("dwinches"), "k"));
  REQUIRE(key != MakeClaimKey(mWorkspace, route_name("winch"), "esk"));
}

TEST_CASE_METHOD(claim_key_fixture, "claim_key_partition_prefix_names_workspace_and_route")
{
  const auto prefix = ClaimPartitionPrefix(mWorkspace, mRoute, "k");
  REQUIRE(prefix.starts_with("bookings/tegid/winches/"));
  REQUIRE(prefix == ClaimPartitionPrefix(mWorkspace, mRoute, "k"));
}

TEST_CASE_METHOD(claim_key_fixture, "claim_key_time_is_read_from_uuid_version_7_only")
{
  REQUIRE(TimeOfKey(mTimedKey) == mKeyTime);
  REQUIRE_FALSE(TimeOfKey("018f0000-0000-4abc-8def-0123456789ab"));
  REQUIRE_FALSE(TimeOfKey("018f0000-0000-7abc-8def-0123456789a"));
  REQUIRE_FALSE(TimeOfKey("018f0000x0000-7abc-8def-0123456789ab"));
  REQUIRE_FALSE(TimeOfKey("order 17"));
}

TEST_CASE_METHOD(claim_key_fixture, "claim_key_lifetime_of_key_with_timestamp_ends_after_its_last_claim_time")
{
  const auto lifetime = LifetimeOfKey(mTimedKey, mKeyTime + std::chrono::hours(1), mRetention);
  REQUIRE(lifetime->mRefusedAfter == mKeyTime + mRetention);
  REQUIRE(lifetime->mExpires == mKeyTime + std::chrono::hours(1) + mRetention);
}

TEST_CASE_METHOD(claim_key_fixture, "claim_key_lifetime_is_bounded_whatever_the_retention")
{
  const auto longest = LifetimeOfKey("order 17", mKeyTime, std::chrono::milliseconds::max());
  REQUIRE(longest->mExpires == mKeyTime + kMaxRetention);
  const auto shortest = LifetimeOfKey("order 17", mKeyTime, std::chrono::milliseconds::min());
  REQUIRE(shortest->mExpires == mKeyTime);
}

TEST_CASE_METHOD(claim_key_fixture, "claim_key_with_future_timestamp_has_no_lifetime")
{
  REQUIRE(LifetimeOfKey(mTimedKey, mKeyTime - kClockMargin, mRetention));
  REQUIRE_FALSE(LifetimeOfKey(mTimedKey, mKeyTime - kClockMargin - std::chrono::milliseconds(1), mRetention));
}

TEST_CASE("claim_filter_with_many_keys_finds_all_and_few_others")
{
  constexpr int kCount = 2000;
  claim_filter filter(kCount);
  for (int i = 0; i < kCount; ++i) {
    filter.Add(claim_key("in " + std::to_string(i)));
  }
  int others = 0;
  for (int i = 0; i < kCount; ++i) {
    REQUIRE(filter.MayContain(claim_key("in " + std::to_string(i))));
    others += filter.MayContain(claim_key("out " + std::to_string(i))) ? 1 : 0;
  }
  REQUIRE(others < kCount / 200);
}
