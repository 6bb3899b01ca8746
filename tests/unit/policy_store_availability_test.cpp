#include "policy/store_availability.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct store_availability_fixture
{
  store_availability mAvailability;
  instant mNow{ 100s };

  void Respond(duration aLater)
  {
    mNow += aLater;
    mAvailability.Responded(mNow);
  }
};

} // namespace

TEST_CASE_METHOD(store_availability_fixture, "store_availability_of_a_store_that_has_never_failed_knows_no_outage")
{
  CHECK_FALSE(mAvailability.ServedFor(mNow));
  Respond(1s);
  Respond(1s);
  CHECK_FALSE(mAvailability.ReturnedAt(mNow));
  CHECK(mAvailability.ServedFor(mNow) == duration(1s));
}

TEST_CASE_METHOD(store_availability_fixture, "store_availability_of_a_store_that_fails_and_responds_counts_from_there")
{
  Respond(1s);
  mAvailability.Failed();
  CHECK(mAvailability.ReturnedAt(mNow + 5s) == mNow + 5s);
  CHECK_FALSE(mAvailability.ServedFor(mNow));
  Respond(3s);
  const instant returnedAt = mNow;
  Respond(1s);
  CHECK(mAvailability.ReturnedAt(mNow) == returnedAt);
  CHECK(mAvailability.ServedFor(mNow) == duration(1s));
}

// Guards against a partition of this gateway that is taken for an outage of the store.
TEST_CASE_METHOD(store_availability_fixture,
                 "store_availability_of_a_store_that_served_another_gateway_knows_no_recent_outage")
{
  Respond(1s);
  mAvailability.Failed();
  Respond(3s);
  mAvailability.Witnessed(60s, mNow);
  CHECK(mAvailability.ReturnedAt(mNow) == mNow - 60s);
  // One that returned later itself proves nothing.
  mAvailability.Witnessed(100ms, mNow);
  CHECK(mAvailability.ReturnedAt(mNow) == mNow - 60s);
}

// Guards against a witness that has not noticed an outage yet.
TEST_CASE_METHOD(store_availability_fixture, "store_availability_without_recent_responses_claims_nothing")
{
  Respond(1s);
  CHECK_FALSE(mAvailability.ServedFor(mNow + 2s));
}

TEST_CASE_METHOD(store_availability_fixture,
                 "store_availability_of_a_store_that_came_back_from_a_copy_counts_from_there")
{
  Respond(1s);
  mNow += 10s;
  mAvailability.Restored(mNow);
  CHECK(mAvailability.ReturnedAt(mNow) == mNow);
}
