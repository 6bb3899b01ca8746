#include <catch2/catch.hpp>

#include <functional>

#include "base/random.h"
#include "processes/checker.h"
#include "standin/demo_model.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint32_t kLayers = 8;
constexpr std::uint64_t kTokens = 3;

/// Correct runs of two engines: three positions of one request after a prefill.
std::vector<engine_run> GoodRuns()
{
  std::vector<engine_run> runs;
  std::uint64_t time = 0;
  runs.push_back({ "front", "r", 1, 0, 0, 3, true, ++time });
  runs.push_back({ "back", "r", 1, 0, 4, 7, true, ++time });
  for (std::uint64_t position = 0; position < kTokens; ++position) {
    runs.push_back({ "front", "r", 1, position, 0, 3, false, ++time });
    runs.push_back({ "back", "r", 1, position, 4, 7, false, ++time });
  }
  return runs;
}

/// A change that turns correct runs into incorrect ones.
struct runs_mutation
{
  const char* mName;
  std::function<void(std::vector<engine_run>&)> mApply;
};

/// A change that turns a correct stream into an incorrect one.
struct stream_mutation
{
  const char* mName;
  std::function<void(observed_stream&)> mApply;
};

/// A number of runs, the outcome that the caller got, and whether they agree.
struct bookings_case
{
  const char* mName;
  std::size_t mRuns;
  booking_outcome mReportedOutcome;
  bool mIsAllowed;
};

/// Runs of one booking, repeated aTimes.
std::vector<service_run> RunsOfBooking(std::size_t aTimes)
{
  return { aTimes, service_run{ "", "/reserve", Sha256Hex("winch 3") } };
}

} // namespace

TEST_CASE("layers_checker_undisturbed_run_finds_nothing")
{
  CHECK(Text(CheckLayers(GoodRuns(), "r", kTokens, kLayers)).empty());
}

TEST_CASE("layers_checker_resumed_run_with_kept_output_finds_nothing")
{
  std::vector<engine_run> runs = GoodRuns();
  runs.back().mEngine = "spare";
  runs.back().mAttempt = 2;
  CHECK(Text(CheckLayers(runs, "r", kTokens, kLayers)).empty());
}

TEST_CASE("layers_checker_mutated_run_is_rejected")
{
  const std::vector<runs_mutation> mutations = {
    { "position skipped", [](auto& aRuns) { aRuns.erase(aRuns.begin() + 4, aRuns.begin() + 6); } },
    { "last stage skipped", [](auto& aRuns) { aRuns.pop_back(); } },
    { "first stage skipped", [](auto& aRuns) { aRuns.erase(aRuns.begin() + 2); } },
    { "layer skipped", [](auto& aRuns) { aRuns[3].mFirstLayer = 5; } },
    { "layer doubled", [](auto& aRuns) { aRuns[3].mFirstLayer = 3; } },
    { "step doubled on its engine", [](auto& aRuns) { aRuns.push_back(aRuns.back()); } },
    { "step doubled on another engine",
      [](auto& aRuns) {
        aRuns.push_back(aRuns.back());
        aRuns.back().mEngine = "spare";
      } },
    { "step doubled in a later attempt on its engine",
      [](auto& aRuns) {
        aRuns.push_back(aRuns.back());
        aRuns.back().mAttempt = 2;
      } },
    { "stages out of order", [](auto& aRuns) { std::swap(aRuns[2].mTimeUs, aRuns[3].mTimeUs); } },
    { "prefill in place of a step", [](auto& aRuns) { aRuns.back().mPrefill = true; } },
    { "step of another request", [](auto& aRuns) { aRuns.back().mRequest = "s"; } },
  };
  for (const runs_mutation& mutation : mutations) {
    INFO(mutation.mName);
    std::vector<engine_run> runs = GoodRuns();
    mutation.mApply(runs);
    CHECK_FALSE(CheckLayers(runs, "r", kTokens, kLayers).empty());
  }
}

TEST_CASE("stream_checker_mutated_stream_is_rejected")
{
  const std::string prompt = "Lift plan for yard 7";
  const observed_stream good{ standin::ExpectedOutput(prompt, kTokens, kLayers), "length", true };
  CHECK(Text(CheckStream(good, prompt, kTokens, kLayers)).empty());
  const std::vector<stream_mutation> mutations = {
    { "last token lost",
      [](auto& aStream) { aStream.mText.erase(aStream.mText.rfind(' ', aStream.mText.size() - 2)); } },
    { "token doubled", [](auto& aStream) { aStream.mText.insert(0, aStream.mText, 0, aStream.mText.find(' ') + 1); } },
    { "output of another prompt",
      [](auto& aStream) { aStream.mText = standin::ExpectedOutput("Lift plan for yard 8", kTokens, kLayers); } },
    { "one layer fewer",
      [&](auto& aStream) { aStream.mText = standin::ExpectedOutput(prompt, kTokens, kLayers - 1); } },
    { "cut", [](auto& aStream) { aStream.mDone = false; } },
    { "ended with an error", [](auto& aStream) { aStream.mFinishReason = "error"; } },
  };
  for (const stream_mutation& mutation : mutations) {
    INFO(mutation.mName);
    observed_stream stream = good;
    mutation.mApply(stream);
    CHECK_FALSE(CheckStream(stream, prompt, kTokens, kLayers).empty());
  }
}

TEST_CASE("bookings_checker_each_outcome_is_compared_with_the_runs")
{
  const std::vector<bookings_case> cases = {
    { "confirmed, ran once", 1, booking_outcome::Booked, true },
    { "confirmed, ran twice", 2, booking_outcome::Booked, false },
    { "confirmed, never ran", 0, booking_outcome::Booked, false },
    { "not run, never ran", 0, booking_outcome::NotRun, true },
    { "not run, ran once", 1, booking_outcome::NotRun, false },
    { "unknown, never ran", 0, booking_outcome::Unknown, true },
    { "unknown, ran once", 1, booking_outcome::Unknown, true },
    { "unknown, ran twice", 2, booking_outcome::Unknown, false },
    { "failed, ran once", 1, booking_outcome::Failed, true },
    { "failed, ran twice", 2, booking_outcome::Failed, false },
  };
  for (const bookings_case& each : cases) {
    INFO(each.mName);
    CHECK(CheckBookings(RunsOfBooking(each.mRuns), { { "winch 3", each.mReportedOutcome } }).empty() ==
          each.mIsAllowed);
  }
}

TEST_CASE("bookings_checker_retried_calls_are_checked_together")
{
  const std::vector<booking> calls = { { "winch 3", booking_outcome::NotRun }, { "winch 3", booking_outcome::Booked } };
  CHECK(CheckBookings(RunsOfBooking(1), calls).empty());
  CHECK_FALSE(CheckBookings(RunsOfBooking(0), calls).empty());
  CHECK_FALSE(CheckBookings(RunsOfBooking(2), calls).empty());
}

TEST_CASE("revisions_checker_lower_revision_is_rejected")
{
  CHECK(CheckRevisions({ 1, 1, 2, 5 }).empty());
  CHECK_FALSE(CheckRevisions({ 1, 3, 2, 5 }).empty());
}

TEST_CASE("leaving_checker_late_start_is_rejected")
{
  CHECK(CheckNoNewWork(GoodRuns(), 1).empty());
  std::vector<engine_run> runs = GoodRuns();
  runs.push_back({ "front", "late", 1, 0, 0, 3, true, 100 });
  CHECK_FALSE(CheckNoNewWork(runs, 50).empty());
}
