#include "gateway/store_copy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "gateway/relay_messages.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;
using std::chrono::milliseconds;

namespace {

wire::record Object(const std::string& aName, std::uint64_t aRevision)
{
  return { aName, aRevision, "\"" + std::to_string(aRevision) + "\"" };
}

struct store_copy_fixture
{
  const instant mBegin = instant() + std::chrono::hours(1);
  ref<store_copy> mCopy = MakeRef<store_copy>();

  store_copy_fixture()
  {
    mCopy->ConfigurationIs(Object("main", 5), mBegin);
    mCopy->Listed({ Object("one", 3), Object("two", 7) }, 10);
  }
};

/// The list as a reader knows it.
struct reader
{
  copy_position mHas;
  std::map<std::string, std::uint64_t> mMembers;

  void Take(const copy_news& aNews)
  {
    if (aNews.mMembersRevision < mHas.mMembers) {
      return;
    }
    if (aNews.mIsWhole) {
      mMembers.clear();
    }
    for (const wire::record_change& change : aNews.mChanges) {
      if (change.mIsDeleted) {
        mMembers.erase(change.mObject.mName);
      } else {
        mMembers[change.mObject.mName] = change.mObject.mRevision;
      }
    }
    mHas.mMembers = aNews.mMembersRevision;
  }
};

} // namespace

TEST_CASE_METHOD(store_copy_fixture, "store_copy_gives_a_new_reader_configuration_and_whole_list")
{
  const copy_news news = mCopy->Since({}, mBegin + milliseconds(70));
  REQUIRE(news.mConfiguration);
  CHECK(news.mConfiguration->mRevision == 5);
  CHECK(news.mIsWhole);
  CHECK(news.mChanges.size() == 2);
  CHECK(news.mMembersRevision == 10);
  CHECK(news.mConfirmedAge == milliseconds(70));
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_gives_a_reader_that_is_current_nothing_but_ages")
{
  const copy_position current{ 5, 10 };
  CHECK_FALSE(mCopy->HasNews(current));
  const copy_news news = mCopy->Since(current, mBegin);
  CHECK_FALSE(news.mConfiguration);
  CHECK_FALSE(news.mIsWhole);
  CHECK(news.mChanges.empty());
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_gives_changes_since_the_readers_revision_only")
{
  mCopy->Changed({ { Object("two", 12), false } }, 12);
  mCopy->Changed({ { Object("one", 14), true } }, 14);
  const copy_news news = mCopy->Since({ 5, 12 }, mBegin);
  REQUIRE(news.mChanges.size() == 1);
  CHECK(news.mChanges.front().mObject.mName == "one");
  CHECK(news.mChanges.front().mIsDeleted);
  CHECK(mCopy->HasNews({ 5, 12 }));
  CHECK_FALSE(mCopy->HasNews({ 5, 14 }));
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_never_steps_back_to_an_older_configuration_or_revision")
{
  mCopy->ConfigurationIs(Object("main", 4), mBegin + milliseconds(100));
  mCopy->Changed({ { Object("three", 9), false } }, 9);
  CHECK(mCopy->Position().mConfiguration == 5);
  CHECK(mCopy->Position().mMembers == 10);
  CHECK(mCopy->Since({ 5, 10 }, mBegin + milliseconds(100)).mConfirmedAge == milliseconds(100));
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_age_counts_from_the_last_confirmation_and_not_from_an_earlier_one")
{
  mCopy->Confirmed(mBegin + milliseconds(50));
  mCopy->Confirmed(mBegin + milliseconds(20));
  CHECK(mCopy->Since({}, mBegin + milliseconds(60)).mConfirmedAge == milliseconds(10));
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_whose_list_is_lost_tells_its_readers_at_once")
{
  bool told = false;
  mCopy->OnNews([&] { told = true; });
  mCopy->ListLost();
  CHECK(told);
  CHECK(mCopy->HasNews({ 5, 10 }));
  CHECK(mCopy->Since({ 5, 10 }, mBegin).mListIsLost);
}

TEST_CASE_METHOD(store_copy_fixture, "store_copy_leaves_what_is_too_large_to_its_readers")
{
  wire::record large = Object("main", 6);
  large.mSpec.assign(kMostRelayedBytes + 1, ' ');
  mCopy->ConfigurationIs(large, mBegin);
  wire::record member = Object("one", 20);
  member.mSpec.assign(kMostRelayedBytes + 1, ' ');
  mCopy->Listed({ member }, 20);
  const copy_news news = mCopy->Since({ 5, 10 }, mBegin);
  CHECK_FALSE(news.mConfiguration);
  CHECK(news.mConfigurationRevision == 6);
  CHECK(news.mIsTooLarge);
  CHECK(news.mChanges.empty());
}

TEST_CASE("store_copy_readers_that_ask_at_any_time_end_with_the_list_as_it_is")
{
  rc::check([] {
    auto copy = MakeRef<store_copy>();
    reader reader;
    std::map<std::string, std::uint64_t> truth;
    std::uint64_t revision = 1;
    copy->Listed({}, revision);
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      std::vector<wire::record_change> changes;
      const auto count = *rc::gen::inRange(1, 4);
      for (int each = 0; each < count; ++each) {
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        const bool isDeleted = *rc::gen::arbitrary<bool>();
        changes.push_back({ Object(name, ++revision), isDeleted });
        if (isDeleted) {
          truth.erase(name);
        } else {
          truth[name] = revision;
        }
      }
      copy->Changed(changes, revision);
      if (*rc::gen::inRange(0, 10) == 0) {
        std::string fault;
        const auto answer =
          DecodeRelayAnswer(EncodeRelayAnswer({ copy->Since(reader.mHas, instant()), duration::zero() }), fault);
        RC_ASSERT(answer);
        reader.Take(answer->mNews);
        RC_ASSERT(reader.mMembers == truth);
      }
    }
    reader.Take(copy->Since(reader.mHas, instant()));
    RC_ASSERT(reader.mMembers == truth);
  });
}

TEST_CASE("relay_question_is_read_as_it_was_written")
{
  const auto question = DecodeRelayQuestion(EncodeRelayQuestion({ { 12, 34 }, milliseconds(700) }));
  REQUIRE(question);
  CHECK(question->mHas.mConfiguration == 12);
  CHECK(question->mHas.mMembers == 34);
  CHECK(question->mWait == milliseconds(700));
}

TEST_CASE("relay_messages_that_are_none_are_refused_with_a_reason")
{
  for (const char* text :
       { "",
         "{}",
         "[1]",
         R"({"waited_us":-1,"configuration_revision":1,"members_revision":1,"changes":[]})",
         R"({"waited_us":1,"configuration_revision":1,"members_revision":1})",
         R"({"waited_us":1,"configuration_revision":1,"members_revision":1,"changes":[{"name":1}]})" }) {
    std::string fault;
    INFO(text);
    CHECK_FALSE(DecodeRelayAnswer(text, fault));
    CHECK_FALSE(fault.empty());
  }
  net::http_request request;
  for (const char* target : { "/", "/relay", "/relay?configuration=1&members=x&wait_us=1", "/other?configuration=1" }) {
    request.mTarget = target;
    CHECK_FALSE(DecodeRelayQuestion(request));
  }
}

TEST_CASE("relay_answer_with_a_huge_age_makes_nothing_fresh")
{
  std::string fault;
  const auto answer =
    DecodeRelayAnswer(R"({"waited_us":9007199254740991,"confirmed_age_us":9007199254740991,"configuration_revision":1,)"
                      R"("members_revision":1,"changes":[]})",
                      fault);
  REQUIRE(answer);
  CHECK(answer->mWaited <= std::chrono::hours(24));
  CHECK(answer->mNews.mConfirmedAge == std::chrono::hours(24));
}
