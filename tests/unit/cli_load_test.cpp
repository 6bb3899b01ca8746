#include "cli/load_plan.h"
#include "cli/load_report.h"
#include "cli/load_results.h"
#include "cli/load_stream.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace chervilpulley;
using namespace chervilpulley::cli;

namespace {

std::vector<planned_call> AllCalls(const load_options& aOptions)
{
  std::vector<planned_call> calls;
  load_plan plan(aOptions);
  while (auto call = plan.Next()) {
    calls.push_back(std::move(*call));
  }
  return calls;
}

struct load_plan_fixture
{
  load_plan_fixture()
  {
    mOptions.mRate = 200;
    mOptions.mWorkspaces = 3;
    mOptions.mEntries = 2;
    mOptions.mLength = std::chrono::seconds(20);
  }
  load_options mOptions;
};

/// A chunk of a completion, as an entry streams it.
std::string Chunk(const std::string& aId, const std::string& aText, const std::string& aReason)
{
  const std::string reason = aReason.empty() ? "null" : "\"" + aReason + "\"";
  return "{\"id\":\"" + aId + "\",\"choices\":[{\"index\":0,\"text\":\"" + aText + "\",\"finish_reason\":" + reason +
         "}]}";
}

/// Events of a stream and what the checker reports for them.
struct stream_case
{
  std::string mName;
  std::vector<sse_event> mEvents;
  bool mIsComplete;
  std::uint32_t mDuplicates;
  bool mIsMismatched;
};

} // namespace

TEST_CASE_METHOD(load_plan_fixture, "load_plan_with_same_seed_is_identical")
{
  const auto first = AllCalls(mOptions);
  const auto second = AllCalls(mOptions);
  REQUIRE(first.size() == second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    REQUIRE(first[i].mAt == second[i].mAt);
    REQUIRE(first[i].mPrompt == second[i].mPrompt);
  }
  mOptions.mSeed = 2;
  REQUIRE(AllCalls(mOptions).front().mAt != first.front().mAt);
}

TEST_CASE_METHOD(load_plan_fixture, "load_plan_generates_calls_in_order_at_the_rate")
{
  mOptions.mRetryShare = 0;
  const auto calls = AllCalls(mOptions);
  REQUIRE(std::is_sorted(
    calls.begin(), calls.end(), [](const auto& aLeft, const auto& aRight) { return aLeft.mAt < aRight.mAt; }));
  // 4000 arrivals are expected; five standard deviations are 316.
  REQUIRE(calls.size() > 3684);
  REQUIRE(calls.size() < 4316);
}

TEST_CASE_METHOD(load_plan_fixture, "load_plan_with_bursts_sends_more_inside_them")
{
  mOptions.mBursts = { 5, std::chrono::seconds(10), std::chrono::seconds(1) };
  std::size_t inside = 0;
  std::size_t outside = 0;
  for (const auto& call : AllCalls(mOptions)) {
    (call.mAt % std::chrono::seconds(10) < std::chrono::seconds(1) ? inside : outside) += 1;
  }
  // 2 s at 1000 a second against 18 s at 200 a second.
  REQUIRE(inside > 1700);
  REQUIRE(outside > 3200);
}

TEST_CASE_METHOD(load_plan_fixture, "load_plan_retries_bookings_with_same_key_at_another_entry")
{
  mOptions.mRetryShare = 1;
  std::map<std::string, std::set<std::size_t>> entries;
  for (const auto& call : AllCalls(mOptions)) {
    if (call.mKind == call_kind::Booking) {
      entries[call.mKey].insert(call.mEntry);
    }
  }
  REQUIRE(entries.size() > 100);
  for (const auto& each : entries) {
    REQUIRE(each.second.size() == 2);
  }
}

TEST_CASE("sse_reader_body_split_anywhere_gives_the_same_events")
{
  const std::string body = ": comment\r\nid: a\r\ndata: one\r\n\r\ndata: two\ndata: lines\n\nid: c\n\ndata:[DONE]\n\n";
  for (std::size_t split = 0; split <= body.size(); ++split) {
    std::vector<sse_event> events;
    sse_reader reader;
    const auto handle = [&](const sse_event& aEvent) { events.push_back(aEvent); };
    reader.Handle(body.substr(0, split), handle);
    reader.Handle(body.substr(split), handle);
    REQUIRE(events.size() == 3);
    REQUIRE(events[0].mId == "a");
    REQUIRE(events[0].mData == "one");
    REQUIRE(events[1].mData == "two\nlines");
    REQUIRE(events[2].mData == "[DONE]");
  }
}

TEST_CASE("next_position_of_malformed_event_id_is_absent")
{
  REQUIRE(NextPositionOf("r~7~s1~w~00") == 7);
  for (const char* id : { "", "r", "r~", "r~x~s1", "r~7", "17" }) {
    CHECK_FALSE(NextPositionOf(id));
  }
}

TEST_CASE("stream_checker_detects_each_fault")
{
  const sse_event a{ "r~1~s~w~0", Chunk("me", "a", "") };
  const sse_event b{ "r~2~s~w~0", Chunk("me", "b", "") };
  const sse_event c{ "r~3~s~w~0", Chunk("me", "c", "length") };
  const sse_event done{ "", "[DONE]" };
  const std::vector<stream_case> cases{
    { "whole", { a, b, c, done }, true, 0, false },
    { "stopped early", { a, { "r~2~s~w~0", Chunk("me", "b", "stop") }, done }, true, 0, false },
    { "no [DONE]", { a, b, c }, false, 0, false },
    { "no finish reason", { a, b, done }, false, 0, false },
    { "a token is missing at the end", { a, { "r~2~s~w~0", Chunk("me", "b", "length") }, done }, false, 0, false },
    { "a token is missing inside", { a, c, done }, false, 0, true },
    { "a token came twice", { a, a, b, c, done }, true, 1, false },
    { "another's chunk", { a, { "r~2~s~w~0", Chunk("you", "b", "") }, c, done }, true, 0, true },
    { "error event", { a, { "", "{\"error\":{\"message\":\"gone\"}}" } }, false, 0, false },
    { "not JSON", { a, { "", "nonsense" } }, false, 0, true },
    { "event after the end", { a, b, c, done, a }, true, 0, true },
  };
  for (const stream_case& each : cases) {
    INFO(each.mName);
    stream_checker checker("me", 3);
    for (const sse_event& event : each.mEvents) {
      checker.Handle(event);
    }
    CHECK(checker.IsComplete() == each.mIsComplete);
    CHECK(checker.Duplicates() == each.mDuplicates);
    CHECK(checker.Mismatch().empty() == !each.mIsMismatched);
  }
}

TEST_CASE("load_results_key_with_two_results_counts_as_duplicate")
{
  load_results results(false);
  results.AddBooking("k", "r1");
  results.AddBooking("k", "r1");
  REQUIRE(results.Violations().Total() == 0);
  results.AddBooking("k", "r2");
  REQUIRE(results.Violations().mDuplicates == 1);
}

TEST_CASE("load_results_different_outputs_for_one_prompt_count_as_mismatch")
{
  load_results results(true);
  results.AddOutput("p", "abc");
  results.AddOutput("p", "ab");
  results.AddOutput("p", "abcd");
  results.AddOutput("q", "x");
  REQUIRE(results.Violations().Total() == 0);
  results.AddOutput("p", "ac");
  REQUIRE(results.Violations().mMismatches == 1);
}

TEST_CASE("load_summary_counts_outcomes_percentiles_and_fairness")
{
  load_results results(false);
  for (int i = 1; i <= 100; ++i) {
    call_record record;
    record.mOutcome = i == 100 ? call_outcome::Incomplete : call_outcome::Complete;
    record.mWorkspace = static_cast<std::size_t>(i % 2);
    record.mTokens = i % 2 == 0 ? 10 : 5;
    record.mRequestedTokens = 10;
    record.mFirstToken = std::chrono::milliseconds(i);
    record.mTotal = std::chrono::seconds(1);
    results.Add(record);
  }
  const load_summary summary = Summarize(results, { "a", "b" });
  REQUIRE(summary.mFirstToken.mP50 == std::chrono::milliseconds(50));
  REQUIRE(summary.mFirstToken.mP99 == std::chrono::milliseconds(99));
  REQUIRE(summary.mViolations.mIncomplete == 1);
  REQUIRE(summary.mCompletePerSecond == Approx(99));
  // Parts 1 and 1/2: (3/2)^2 / (2 * 5/4).
  REQUIRE(summary.mFairness == Approx(0.9));
  REQUIRE_THAT(ReportJson(summary), Catch::Contains("\"cut\":1"));
  REQUIRE_THAT(ReportHtml(summary), Catch::Contains("</svg>") && Catch::Contains("</html>"));
}
