#include "processes/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/random.h"
#include "standin/demo_model.h"

namespace chervilpulley::processes {

namespace {

constexpr std::string_view kBookingPath = "/reserve";

std::string Describe(const engine_run& aRun)
{
  return "request " + aRun.mRequest + " attempt " + std::to_string(aRun.mAttempt) + " position " +
         std::to_string(aRun.mPosition) + " layers " + std::to_string(aRun.mFirstLayer) + "-" +
         std::to_string(aRun.mLastLayer) + " on " + aRun.mEngine;
}

std::vector<engine_run> StepsOf(const std::vector<engine_run>& aRuns, std::string_view aRequest)
{
  std::vector<engine_run> steps;
  for (const engine_run& run : aRuns) {
    if (!run.mPrefill && run.mRequest == aRequest) {
      steps.push_back(run);
    }
  }
  std::stable_sort(steps.begin(), steps.end(), [](const engine_run& aLeft, const engine_run& aRight) {
    return aLeft.mTimeUs < aRight.mTimeUs;
  });
  return steps;
}

void CheckCoverage(const std::vector<engine_run>& aSteps,
                   std::uint64_t aPositions,
                   std::uint32_t aLayerCount,
                   violations& aViolations)
{
  std::map<std::uint64_t, std::set<std::uint32_t>> ran;
  for (const engine_run& step : aSteps) {
    for (std::uint32_t layer = step.mFirstLayer; layer <= step.mLastLayer; ++layer) {
      ran[step.mPosition].insert(layer);
    }
  }
  for (std::uint64_t position = 0; position < aPositions; ++position) {
    std::string missing;
    for (std::uint32_t layer = 0; layer < aLayerCount; ++layer) {
      missing += ran[position].contains(layer) ? "" : " " + std::to_string(layer);
    }
    if (!missing.empty()) {
      aViolations.push_back("layers that did not run for position " + std::to_string(position) + ":" + missing);
    }
  }
}

void CheckOrderInAttempt(const std::vector<engine_run>& aSteps, violations& aViolations)
{
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> nextLayer;
  for (const engine_run& step : aSteps) {
    std::uint32_t& next = nextLayer[{ step.mAttempt, step.mPosition }];
    if (step.mFirstLayer < next) {
      aViolations.push_back("layers ran twice or out of order: " + Describe(step));
    }
    next = std::max(next, step.mLastLayer + 1);
  }
}

void CheckEngineRepeats(const std::vector<engine_run>& aSteps, violations& aViolations)
{
  std::set<std::pair<std::string, std::uint64_t>> seen;
  for (const engine_run& step : aSteps) {
    if (!seen.insert({ step.mEngine, step.mPosition }).second) {
      aViolations.push_back("the engine had already run the position: " + Describe(step));
    }
  }
}

void CheckBooking(const booking& aBooking, std::size_t aRuns, violations& aViolations)
{
  if (aRuns > 1) {
    aViolations.push_back("booking " + aBooking.mBody + " ran " + std::to_string(aRuns) + " times");
  }
  if (aBooking.mReportedOutcome == booking_outcome::Booked && aRuns == 0) {
    aViolations.push_back("booking " + aBooking.mBody + " was confirmed but did not run");
  }
  if (aBooking.mReportedOutcome == booking_outcome::NotRun && aRuns > 0) {
    aViolations.push_back("booking " + aBooking.mBody + " was reported as \"not run\" but ran");
  }
}

} // namespace

std::vector<engine_run> EngineRuns(std::string_view aEngine, const std::vector<boost::json::object>& aRecords)
{
  std::vector<engine_run> runs;
  for (const boost::json::object& record : aRecords) {
    if (!record.contains("request")) {
      continue;
    }
    engine_run run;
    run.mEngine = std::string(aEngine) + "/" + std::to_string(record.at("pid").to_number<std::int64_t>());
    run.mRequest = record.at("request").as_string();
    run.mAttempt = record.at("attempt").to_number<std::uint64_t>();
    run.mPosition = record.at("position").to_number<std::uint64_t>();
    run.mFirstLayer = record.at("first_layer").to_number<std::uint32_t>();
    run.mLastLayer = record.at("last_layer").to_number<std::uint32_t>();
    run.mPrefill = record.at("prefill").as_bool();
    run.mTimeUs = record.at("time_us").to_number<std::uint64_t>();
    runs.push_back(std::move(run));
  }
  return runs;
}

std::vector<service_run> ServiceRuns(const std::vector<boost::json::object>& aRecords)
{
  std::vector<service_run> runs;
  for (const boost::json::object& record : aRecords) {
    service_run run;
    run.mKey = record.at("key").as_string();
    run.mPath = record.at("path").as_string();
    run.mBodyDigest = record.at("body_sha256").as_string();
    runs.push_back(std::move(run));
  }
  return runs;
}

violations CheckLayers(const std::vector<engine_run>& aRuns,
                       std::string_view aRequest,
                       std::uint64_t aPositions,
                       std::uint32_t aLayerCount)
{
  violations found;
  const std::vector<engine_run> steps = StepsOf(aRuns, aRequest);
  CheckCoverage(steps, aPositions, aLayerCount, found);
  CheckOrderInAttempt(steps, found);
  CheckEngineRepeats(steps, found);
  return found;
}

violations CheckStream(const observed_stream& aStream,
                       std::string_view aPrompt,
                       std::uint64_t aMaxTokens,
                       std::uint32_t aLayerCount)
{
  violations found;
  const std::string expected = standin::ExpectedOutput(aPrompt, aMaxTokens, aLayerCount);
  if (aStream.mText != expected) {
    found.push_back("the output is \"" + aStream.mText + "\" instead of \"" + expected + "\"");
  }
  if (aStream.mFinishReason != "length") {
    found.push_back("the finish reason is \"" + aStream.mFinishReason + "\"");
  }
  if (!aStream.mDone) {
    found.push_back("the stream ended before [DONE]");
  }
  return found;
}

violations CheckBookings(const std::vector<service_run>& aRuns, const std::vector<booking>& aBookings)
{
  std::map<std::string, std::size_t> runCounts;
  for (const service_run& run : aRuns) {
    if (run.mPath == kBookingPath) {
      ++runCounts[run.mBodyDigest];
    }
  }
  std::map<std::string, booking_outcome> strongestOutcomes;
  for (const booking& each : aBookings) {
    const auto [at, isNew] = strongestOutcomes.try_emplace(each.mBody, each.mReportedOutcome);
    at->second = std::min(at->second, each.mReportedOutcome);
  }
  violations found;
  for (const auto& [body, strongest] : strongestOutcomes) {
    CheckBooking({ body, strongest }, runCounts[Sha256Hex(body)], found);
  }
  return found;
}

violations CheckRevisions(const std::vector<std::uint64_t>& aRevisions)
{
  violations found;
  for (std::size_t i = 1; i < aRevisions.size(); ++i) {
    if (aRevisions[i] < aRevisions[i - 1]) {
      found.push_back("revision " + std::to_string(aRevisions[i]) + " came after " + std::to_string(aRevisions[i - 1]));
    }
  }
  return found;
}

violations CheckNoNewWork(const std::vector<engine_run>& aRuns, std::uint64_t aTimeUs)
{
  std::map<std::string, std::uint64_t> firstSeen;
  for (const engine_run& run : aRuns) {
    const auto [at, isNew] = firstSeen.try_emplace(run.mRequest, run.mTimeUs);
    at->second = std::min(at->second, run.mTimeUs);
  }
  violations found;
  for (const auto& [request, time] : firstSeen) {
    if (time > aTimeUs) {
      found.push_back("request " + request + " started " + std::to_string(time - aTimeUs) + " us too late");
    }
  }
  return found;
}

std::string Text(const violations& aViolations)
{
  std::string text;
  for (const std::string& violation : aViolations) {
    text += violation + "\n";
  }
  return text;
}

} // namespace chervilpulley::processes
