#include <catch2/catch.hpp>

#include <functional>

#include "base/random.h"
#include "processes/judge.h"
#include "standin/demo_model.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint32_t kLayers = 8;
constexpr std::uint64_t kTokens = 3;

/// Two engines that run three positions of one request as they should, after a prefill.
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

struct runs_mutation
{
  const char* mName;
  std::function<void(std::vector<engine_run>&)> mApply;
};

struct stream_mutation
{
  const char* mName;
  std::function<void(seen_stream&)> mApply;
};

struct bookings_case
{
  const char* mName;
  std::size_t mRuns;
  told mTold;
  bool mHeld;
};

/// Runs of one booking, as often as said.
std::vector<service_run> RunsOfBooking(std::size_t aTimes)
{
  return { aTimes, service_run{ "", "/reserve", Sha256Hex("winch 3") } };
}

} // namespace

TEST_CASE("layers_judge_undisturbed_run_finds_nothing")
{
  CHECK(Text(JudgeLayers(GoodRuns(), "r", kTokens, kLayers)).empty());
}

TEST_CASE("layers_judge_resumed_run_with_kept_output_finds_nothing")
{
  std::vector<engine_run> runs = GoodRuns();
  runs.back().mEngine = "spare";
  runs.back().mAttempt = 2;
  CHECK(Text(JudgeLayers(runs, "r", kTokens, kLayers)).empty());
}

TEST_CASE("layers_judge_mutated_run_is_rejected")
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
    CHECK_FALSE(JudgeLayers(runs, "r", kTokens, kLayers).empty());
  }
}

TEST_CASE("stream_judge_mutated_stream_is_rejected")
{
  const std::string prompt = "Lift plan for yard 7";
  const seen_stream good{ standin::ExpectedOutput(prompt, kTokens, kLayers), "length", true };
  CHECK(Text(JudgeStream(good, prompt, kTokens, kLayers)).empty());
  const std::vector<stream_mutation> mutations = {
    { "last token lost",
      [](auto& aStream) { aStream.mText.erase(aStream.mText.rfind(' ', aStream.mText.size() - 2)); } },
    { "token doubled", [](auto& aStream) { aStream.mText.insert(0, aStream.mText, 0, aStream.mText.find(' ') + 1); } },
    { "answer to another prompt",
      [](auto& aStream) { aStream.mText = standin::ExpectedOutput("Lift plan for yard 8", kTokens, kLayers); } },
    { "one layer fewer",
      [&](auto& aStream) { aStream.mText = standin::ExpectedOutput(prompt, kTokens, kLayers - 1); } },
    { "cut", [](auto& aStream) { aStream.mDone = false; } },
    { "ended with an error", [](auto& aStream) { aStream.mFinishReason = "error"; } },
  };
  for (const stream_mutation& mutation : mutations) {
    INFO(mutation.mName);
    seen_stream stream = good;
    mutation.mApply(stream);
    CHECK_FALSE(JudgeStream(stream, prompt, kTokens, kLayers).empty());
  }
}

TEST_CASE("bookings_judge_each_outcome_is_held_against_the_runs")
{
  const std::vector<bookings_case> cases = {
    { "confirmed, ran once", 1, told::Booked, true },   { "confirmed, ran twice", 2, told::Booked, false },
    { "confirmed, never ran", 0, told::Booked, false }, { "not run, never ran", 0, told::NotRun, true },
    { "not run, ran once", 1, told::NotRun, false },    { "unknown, never ran", 0, told::Unknown, true },
    { "unknown, ran once", 1, told::Unknown, true },    { "unknown, ran twice", 2, told::Unknown, false },
    { "failed, ran once", 1, told::Failed, true },      { "failed, ran twice", 2, told::Failed, false },
  };
  for (const bookings_case& each : cases) {
    INFO(each.mName);
    CHECK(JudgeBookings(RunsOfBooking(each.mRuns), { { "winch 3", each.mTold } }).empty() == each.mHeld);
  }
}

TEST_CASE("bookings_judge_repeated_calls_are_judged_together")
{
  const std::vector<booking> calls = { { "winch 3", told::NotRun }, { "winch 3", told::Booked } };
  CHECK(JudgeBookings(RunsOfBooking(1), calls).empty());
  CHECK_FALSE(JudgeBookings(RunsOfBooking(0), calls).empty());
  CHECK_FALSE(JudgeBookings(RunsOfBooking(2), calls).empty());
}

TEST_CASE("revisions_judge_lower_revision_is_rejected")
{
  CHECK(JudgeRevisions({ 1, 1, 2, 5 }).empty());
  CHECK_FALSE(JudgeRevisions({ 1, 3, 2, 5 }).empty());
}

TEST_CASE("leaving_judge_late_start_is_rejected")
{
  CHECK(JudgeNoNewWork(GoodRuns(), 1).empty());
  std::vector<engine_run> runs = GoodRuns();
  runs.push_back({ "front", "late", 1, 0, 0, 3, true, 100 });
  CHECK_FALSE(JudgeNoNewWork(runs, 50).empty());
}
