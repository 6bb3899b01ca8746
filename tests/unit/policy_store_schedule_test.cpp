#include "policy/store_schedule.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using std::chrono::milliseconds;

namespace {

/// The bounds that deployments use.
const std::vector<store_bounds> kUsualBounds{ { milliseconds(2000), milliseconds(5000), milliseconds(2000) },
                                              { milliseconds(3000), milliseconds(5000), milliseconds(3000) },
                                              { milliseconds(4000), milliseconds(5000), milliseconds(4000) },
                                              { milliseconds(6000), milliseconds(6000), milliseconds(4000) } };

} // namespace

// Guards against waits and timeouts that each look short and together exceed the bound that they serve.
TEST_CASE("store_schedule_of_usual_bounds_adds_up_to_no_more_than_each_bound")
{
  for (const store_bounds& bounds : kUsualBounds) {
    const store_schedule schedule(bounds);
    CHECK(schedule.ConfigurationFromStore() <= bounds.mConfiguration);
    CHECK(schedule.ConfigurationFromRelay() <= bounds.mConfiguration);
    CHECK(schedule.ListFromStore() <= bounds.mDrain);
    CHECK(schedule.ListFromRelay() <= bounds.mDrain);
    CHECK(schedule.HasRoomForRelay());
    CHECK(schedule.Keeps(bounds));
  }
}

TEST_CASE("store_schedule_leaves_a_relay_by_the_bound_for_the_configuration_whatever_keys_allow")
{
  const store_schedule schedule({ milliseconds(2000), std::chrono::hours(1), milliseconds(2000) });
  CHECK(schedule.mMaxRelayedAge < milliseconds(2000));
  CHECK(schedule.ConfigurationFromRelay() <= milliseconds(2000));
}

TEST_CASE("store_schedule_leaves_a_relay_before_keys_may_no_longer_be_checked")
{
  const store_schedule schedule({ std::chrono::hours(1), milliseconds(5000), std::chrono::hours(1) });
  CHECK(schedule.mMaxRelayedAge < milliseconds(5000) / 2);
}

TEST_CASE("store_schedule_of_bounds_that_are_shorter_than_a_slow_read_does_not_keep_them")
{
  const store_bounds bounds{ milliseconds(300), milliseconds(5000), milliseconds(300) };
  CHECK_FALSE(store_schedule(bounds).Keeps(bounds));
}
