#include "policy/event_cursor.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace chervilpulley::policy;

namespace {

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t" + std::to_string(aId) + "\n\n";
}

struct event_cursor_fixture
{
  event_cursor mCursor{ std::nullopt };
  std::string mOut;

  event_cursor::verdict Append(const std::string& aBytes) { return mCursor.Append(aBytes, mOut); }
};

} // namespace

TEST_CASE_METHOD(event_cursor_fixture, "event_cursor_forwards_whole_events_only")
{
  Append(Event(1) + "id: 2\nda");
  CHECK(mOut == Event(1));
  CHECK(mCursor.HasPartialEvent());
  Append("ta: t2\n\n");
  CHECK(mOut == Event(1) + Event(2));
  CHECK(!mCursor.HasPartialEvent());
}

TEST_CASE_METHOD(event_cursor_fixture, "event_cursor_at_a_new_source_drops_the_partial_event_and_duplicates")
{
  Append(Event(1) + Event(2) + "id: 3\nda");
  mCursor.SourceChanged();
  Append(Event(2) + Event(3));
  CHECK(mOut == Event(1) + Event(2) + Event(3));
}

TEST_CASE_METHOD(event_cursor_fixture, "event_cursor_with_a_missing_event_forwards_nothing_after_it")
{
  CHECK(Append(Event(1)) == event_cursor::verdict::InOrder);
  CHECK(Append(Event(3)) == event_cursor::verdict::Gap);
  CHECK(mOut == Event(1));
}

TEST_CASE_METHOD(event_cursor_fixture,
                 "event_cursor_with_a_source_that_ends_before_the_callers_last_event_does_not_end")
{
  Append(Event(1) + Event(2));
  CHECK(mCursor.CountFromSource() == 2);
  mCursor.SourceChanged();
  CHECK(mCursor.CountFromSource() == 0);
  CHECK(mCursor.EndsWithSource());
  Append(Event(1));
  CHECK(!mCursor.EndsWithSource());
  Append(Event(2));
  CHECK(mCursor.EndsWithSource());
  CHECK(mCursor.CountFromSource() == 0);
  Append(Event(3));
  CHECK(mCursor.EndsWithSource());
  CHECK(mCursor.CountFromSource() == 1);
}

TEST_CASE_METHOD(event_cursor_fixture, "event_cursor_refuses_an_event_without_an_id")
{
  CHECK(Append("data: t\n\n") == event_cursor::verdict::Gap);
  CHECK(mOut.empty());
}

TEST_CASE("event_cursor_over_any_chunks_and_sources_forwards_each_event_once_and_in_order")
{
  REQUIRE(rc::check([] {
    const int count = *rc::gen::inRange(1, 30);
    event_cursor cursor(std::nullopt);
    std::string out;
    while (!cursor.Last() || *cursor.Last() < static_cast<std::uint64_t>(count)) {
      const int begin = static_cast<int>(cursor.Last().value_or(0));
      std::string source;
      for (int id = std::max(1, begin - *rc::gen::inRange(0, 3)); id <= count; ++id) {
        source += Event(id);
      }
      source.resize(*rc::gen::inRange<std::size_t>(0, source.size() + 1));
      cursor.SourceChanged();
      for (std::size_t at = 0; at < source.size();) {
        const std::size_t size = std::min<std::size_t>(*rc::gen::inRange<std::size_t>(1, 40), source.size() - at);
        RC_ASSERT(cursor.Append(source.substr(at, size), out) == event_cursor::verdict::InOrder);
        at += size;
      }
      // Otherwise a run of empty sources would never end.
      if (source.empty()) {
        RC_ASSERT(cursor.Append(Event(begin + 1), out) == event_cursor::verdict::InOrder);
      }
    }
    std::string all;
    for (int id = 1; id <= count; ++id) {
      all += Event(id);
    }
    RC_ASSERT(out == all);
  }));
}
