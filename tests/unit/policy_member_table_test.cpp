#include "policy/member_table.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace std::chrono_literals;

namespace {

struct member_table_fixture
{
  member_table mTable{ 2s };
  instant mNow{ 100s };

  static backend_member Member(const std::string& aId)
  {
    backend_member member;
    member.mId = backend_id(aId);
    return member;
  }

  std::optional<instant> mReturnedAt; ///< of the store; nothing: it was never away

  void List(const std::vector<std::string>& aIds)
  {
    std::vector<backend_member> members;
    members.reserve(aIds.size());
    for (const std::string& id : aIds) {
      members.push_back(Member(id));
    }
    mTable.Listed(std::move(members), mNow, mReturnedAt);
  }

  bool Has(const std::string& aId) const { return mTable.Find(backend_id(aId)) != nullptr; }
};

} // namespace

TEST_CASE_METHOD(member_table_fixture, "member_table_of_a_steady_list_drops_a_removed_server_at_once")
{
  List({ "a", "b" });
  mNow += 5s;
  mTable.Removed(backend_id("a"), mNow);
  CHECK(!Has("a"));
  CHECK(Has("b"));
}

// Guards against a gateway that has just started and goes on sending to a server whose entry was removed.
TEST_CASE_METHOD(member_table_fixture, "member_table_after_its_first_list_drops_a_removed_server_at_once")
{
  List({ "a", "b" });
  mNow += 55ms;
  mTable.Removed(backend_id("a"), mNow);
  CHECK(!Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_keeps_servers_while_the_list_is_lost")
{
  List({ "a" });
  mNow += 60s;
  mTable.TimePassed(mNow);
  CHECK(Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_after_an_outage_waits_for_lapsed_servers_to_return")
{
  List({ "a", "b" });
  mNow += 10s;
  mReturnedAt = mNow;
  List({ "b" });
  CHECK(Has("a"));
  mNow += 1s;
  mTable.Changed(member_table_fixture::Member("a"));
  mNow += 5s;
  mTable.TimePassed(mNow);
  CHECK(Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_after_an_outage_drops_what_does_not_return_in_time")
{
  List({ "a", "b" });
  mNow += 10s;
  mReturnedAt = mNow;
  List({ "b" });
  mNow += 2s;
  mTable.TimePassed(mNow);
  CHECK(!Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_counts_up_with_every_change")
{
  List({ "a" });
  const auto before = mTable.Version();
  mTable.Changed(member_table_fixture::Member("b"));
  CHECK(mTable.Version() > before);
}

TEST_CASE_METHOD(member_table_fixture, "member_table_after_an_outage_waits_for_no_server_whose_entry_is_malformed")
{
  List({ "a", "b" });
  mNow += 10s;
  mReturnedAt = mNow;
  List({ "b" });
  REQUIRE(Has("a"));
  const auto version = mTable.Version();
  mTable.Discard(backend_id("a"));
  CHECK(!Has("a"));
  CHECK(Has("b"));
  CHECK(mTable.Version() > version);
  mTable.Changed(Member("a"));
  mNow += 60s;
  mTable.TimePassed(mNow);
  CHECK(Has("a"));
}

// Guards against a partition of this gateway that is taken for an outage of the store.
TEST_CASE_METHOD(member_table_fixture, "member_table_that_learns_of_an_earlier_return_drops_a_missing_server_at_once")
{
  List({ "a", "b" });
  mNow += 10s;
  mReturnedAt = mNow;
  List({ "b" });
  REQUIRE(Has("a"));
  mTable.ReturnLearned(mNow, mNow - 60s);
  CHECK(!Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_during_a_second_outage_drops_a_missing_server_when_it_was_due")
{
  List({ "a", "b" });
  mNow += 10s;
  mReturnedAt = mNow;
  List({ "b" });
  mNow += 1s;
  mReturnedAt = mNow;
  List({ "b" });
  mTable.ReturnLearned(mNow, mReturnedAt);
  mNow += 1s;
  mTable.TimePassed(mNow);
  CHECK(!Has("a"));
}

TEST_CASE_METHOD(member_table_fixture, "member_table_shortly_after_an_outage_holds_a_removal_that_is_read_as_an_event")
{
  List({ "a", "b" });
  mReturnedAt = mNow;
  mNow += 500ms;
  mTable.Removed(backend_id("a"), mNow, mReturnedAt);
  CHECK(Has("a"));
  CHECK(mTable.HeldRemovals().at(backend_id("a")).mUntil == *mReturnedAt + 2s);
}
