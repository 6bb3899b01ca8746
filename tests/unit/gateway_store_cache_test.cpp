#include "gateway/store_cache.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "gateway/relay_messages.h"
#include "support/store_revisions.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using chervilpulley::testing::At;
using std::chrono::milliseconds;

namespace {

wire::record Object(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, At(aRevision), "\"" + std::to_string(aRevision) + "\"" };
}

struct store_cache_fixture
{
  const instant mBegin = instant() + std::chrono::hours(1);
  ref<store_cache> mCache = MakeRef<store_cache>();

  store_cache_fixture()
  {
    mCache->UpdateConfiguration(Object("main", 5), 5, mBegin);
    mCache->Listed({ Object("one", 3), Object("two", 7) }, At(10));
  }
};

/// A reader that applies updates to its own state of the list.
struct reader
{
  cache_position mPosition;
  std::map<std::string, std::uint64_t> mMembers;

  void Apply(const cache_updates& aUpdates)
  {
    if (aUpdates.mMembersRevision < mPosition.mMembers) {
      return;
    }
    if (aUpdates.mIsWhole) {
      mMembers.clear();
    }
    for (const wire::record_change& change : aUpdates.mChanges) {
      if (change.mIsDeleted) {
        mMembers.erase(change.mObject.mName);
      } else {
        mMembers[change.mObject.mName] = change.mObject.mRevision.mNumber;
      }
    }
    mPosition.mMembers = aUpdates.mMembersRevision;
  }
};

} // namespace

TEST_CASE_METHOD(store_cache_fixture, "store_cache_sends_a_new_reader_the_configuration_and_the_whole_list")
{
  const cache_updates updates = mCache->UpdatesSince({}, mBegin + milliseconds(70));
  REQUIRE(updates.mConfiguration);
  CHECK(updates.mConfiguration->mRevision == At(5));
  CHECK(updates.mIsWhole);
  CHECK(updates.mChanges.size() == 2);
  CHECK(updates.mMembersRevision == At(10));
  CHECK(updates.mConfirmedAge == milliseconds(70));
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_sends_an_up_to_date_reader_nothing_but_ages")
{
  const cache_position current{ 5, At(10) };
  CHECK_FALSE(mCache->HasUpdates(current));
  const cache_updates updates = mCache->UpdatesSince(current, mBegin);
  CHECK_FALSE(updates.mConfiguration);
  CHECK_FALSE(updates.mIsWhole);
  CHECK(updates.mChanges.empty());
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_sends_only_changes_since_the_readers_revision")
{
  mCache->Changed({ { Object("two", 12), false } }, At(12));
  mCache->Changed({ { Object("one", 14), true } }, At(14));
  const cache_updates updates = mCache->UpdatesSince({ 5, At(12) }, mBegin);
  REQUIRE(updates.mChanges.size() == 1);
  CHECK(updates.mChanges.front().mObject.mName == "one");
  CHECK(updates.mChanges.front().mIsDeleted);
  CHECK(mCache->HasUpdates({ 5, At(12) }));
  CHECK_FALSE(mCache->HasUpdates({ 5, At(14) }));
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_never_returns_to_an_older_configuration_or_revision")
{
  mCache->UpdateConfiguration(Object("main", 40), 4, mBegin + milliseconds(100));
  mCache->Changed({ { Object("three", 9), false } }, At(9));
  CHECK(mCache->Position().mConfiguration == 5);
  CHECK(mCache->Position().mMembers == At(10));
  CHECK(mCache->UpdatesSince({ 5, At(10) }, mBegin + milliseconds(100)).mConfirmedAge == milliseconds(100));
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_with_a_newer_configuration_at_a_lower_revision_sends_it_to_readers")
{
  const cache_position reader = mCache->Position();
  mCache->UpdateConfiguration(Object("main", 2), 6, mBegin);
  CHECK(mCache->HasUpdates(reader));
  const auto updates = mCache->UpdatesSince(reader, mBegin);
  REQUIRE(updates.mConfiguration);
  CHECK(updates.mConfiguration->mRevision == At(2));
  CHECK(updates.mConfigurationVersion == 6);
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_age_counts_from_the_last_confirmation_and_not_from_an_earlier_one")
{
  mCache->Confirmed(mBegin + milliseconds(50));
  mCache->Confirmed(mBegin + milliseconds(20));
  CHECK(mCache->UpdatesSince({}, mBegin + milliseconds(60)).mConfirmedAge == milliseconds(10));
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_that_lost_its_list_notifies_its_readers_at_once")
{
  bool isNotified = false;
  mCache->OnUpdates([&] { isNotified = true; });
  mCache->ListLost();
  CHECK(isNotified);
  CHECK(mCache->HasUpdates({ 5, At(10) }));
  CHECK(mCache->UpdatesSince({ 5, At(10) }, mBegin).mListIsLost);
}

TEST_CASE_METHOD(store_cache_fixture, "store_cache_omits_objects_that_are_too_large_to_relay")
{
  wire::record large = Object("main", 6);
  large.mSpec.assign(kMaxRelayedBytes + 1, ' ');
  mCache->UpdateConfiguration(large, 6, mBegin);
  wire::record member = Object("one", 20);
  member.mSpec.assign(kMaxRelayedBytes + 1, ' ');
  mCache->Listed({ member }, At(20));
  const cache_updates updates = mCache->UpdatesSince({ 5, At(10) }, mBegin);
  CHECK_FALSE(updates.mConfiguration);
  CHECK(updates.mConfigurationVersion == 6);
  CHECK(updates.mIsTooLarge);
  CHECK(updates.mChanges.empty());
}

TEST_CASE("store_cache_readers_that_poll_at_any_time_end_with_the_current_list")
{
  rc::check([] {
    auto cache = MakeRef<store_cache>();
    reader reader;
    std::map<std::string, std::uint64_t> expected;
    std::uint64_t revision = 1;
    cache->Listed({}, At(revision));
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      std::vector<wire::record_change> changes;
      const auto count = *rc::gen::inRange(1, 4);
      for (int index = 0; index < count; ++index) {
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        const bool isDeleted = *rc::gen::arbitrary<bool>();
        changes.push_back({ Object(name, ++revision), isDeleted });
        if (isDeleted) {
          expected.erase(name);
        } else {
          expected[name] = revision;
        }
      }
      cache->Changed(changes, At(revision));
      if (*rc::gen::inRange(0, 10) == 0) {
        std::string fault;
        const auto response = DecodeRelayResponse(
          EncodeRelayResponse({ cache->UpdatesSince(reader.mPosition, instant()), duration::zero() }), fault);
        RC_ASSERT(response);
        reader.Apply(response->mUpdates);
        RC_ASSERT(reader.mMembers == expected);
      }
    }
    reader.Apply(cache->UpdatesSince(reader.mPosition, instant()));
    RC_ASSERT(reader.mMembers == expected);
  });
}

TEST_CASE("relay_request_decodes_to_what_was_encoded")
{
  const auto decoded = DecodeRelayRequest(EncodeRelayRequest({ { 12, At(34, 9) }, milliseconds(700) }));
  REQUIRE(decoded);
  CHECK(decoded->mPosition.mConfiguration == 12);
  CHECK(decoded->mPosition.mMembers == At(34, 9));
  CHECK(decoded->mWait == milliseconds(700));
}

TEST_CASE("relay_messages_that_are_malformed_are_rejected_with_a_reason")
{
  for (const char* text :
       { "",
         "{}",
         "[1]",
         R"({"waited_us":-1,"configuration_version":1,"members_revision":1,"changes":[]})",
         R"({"waited_us":1,"configuration_version":1,"members_revision":1})",
         R"({"waited_us":1,"configuration_version":1,"members_revision":1,"changes":[{"name":1}]})" }) {
    std::string fault;
    INFO(text);
    CHECK_FALSE(DecodeRelayResponse(text, fault));
    CHECK_FALSE(fault.empty());
  }
  net::http_request request;
  for (const char* target : { "/", "/relay", "/relay?version=1&members=x&wait_us=1", "/other?configuration=1" }) {
    request.mTarget = target;
    CHECK_FALSE(DecodeRelayRequest(request));
  }
}

TEST_CASE("relay_response_with_a_huge_age_is_never_fresh")
{
  std::string fault;
  const auto response = DecodeRelayResponse(
    R"({"waited_us":9007199254740991,"confirmed_age_us":9007199254740991,"configuration_version":1,)"
    R"("members_revision":1,"changes":[]})",
    fault);
  REQUIRE(response);
  CHECK(response->mWaited <= std::chrono::hours(24));
  CHECK(response->mUpdates.mConfirmedAge == std::chrono::hours(24));
}
