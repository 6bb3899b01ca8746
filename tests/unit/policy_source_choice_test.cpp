#include "policy/source_choice.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using std::chrono::milliseconds;

namespace {

struct source_choice_fixture
{
  const instant mBegin = instant() + std::chrono::hours(1);
  const instance_id mFirst{ "first" };
  const instance_id mSecond{ "second" };
  source_choice mSources;

  source_choice_fixture() { mSources.SetRelays({ mFirst, mSecond }, false); }
};

} // namespace

TEST_CASE("source_choice_backoff_grows_with_failures_up_to_a_maximum")
{
  CHECK(RetryBackoff(1) == kInitialRetryBackoff);
  CHECK(RetryBackoff(2) == 2 * kInitialRetryBackoff);
  CHECK(RetryBackoff(3) == 4 * kInitialRetryBackoff);
  CHECK(RetryBackoff(4) == kMaxRetryBackoff);
  CHECK(RetryBackoff(1000) == kMaxRetryBackoff);
}

TEST_CASE("source_choice_without_relays_reads_the_store")
{
  CHECK_FALSE(source_choice().Next(false, instant()));
  CHECK_FALSE(source_choice().Next(true, instant()));
}

TEST_CASE_METHOD(source_choice_fixture, "source_choice_of_a_reader_is_the_best_relay")
{
  CHECK(mSources.Next(false, mBegin) == mFirst);
}

TEST_CASE_METHOD(source_choice_fixture, "source_choice_after_a_relay_failed_is_the_store_at_once_and_later_the_second")
{
  mSources.Failed(mFirst, mBegin);
  CHECK_FALSE(mSources.Next(false, mBegin));
  CHECK(mSources.Next(false, mBegin + kDirectReadTime) == mSecond);
  CHECK(mSources.Next(false, mBegin + kRelayBackoff) == mFirst);
}

TEST_CASE_METHOD(source_choice_fixture, "source_choice_where_relay_and_store_fail_is_the_other_relay_without_delay")
{
  mSources.Failed(mFirst, mBegin);
  CHECK(mSources.Next(true, mBegin) == mSecond);
  mSources.Failed(mSecond, mBegin);
  CHECK_FALSE(mSources.Next(true, mBegin));
}

TEST_CASE_METHOD(source_choice_fixture, "source_choice_of_the_store_reader_is_a_relay_only_when_the_store_fails")
{
  mSources.SetRelays({ mSecond }, true);
  CHECK_FALSE(mSources.Next(false, mBegin));
  CHECK(mSources.Next(true, mBegin) == mSecond);
}
