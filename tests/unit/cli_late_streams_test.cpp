#include "cli/late_streams.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace chervilpulley::cli;
using Catch::Contains;

namespace {

/// Streams of one gateway that arrived at 09:00:00.
struct late_streams_fixture
{
  parsed_log mLog;

  void Add(const std::string& aTime, const std::string& aRest)
  {
    std::istringstream in(R"({"time":"2026-12-04T09:00:0)" + aTime + R"(+00:00","instance":"g1",)" + aRest + "}\n");
    ReadLines(in, mLog);
  }

  void Sent(const std::string& aTime, const std::string& aRequest, const std::string& aPredictedMs)
  {
    Add(aTime, R"("event":"stream_sent","request":")" + aRequest + R"(","predicted_first_ms":)" + aPredictedMs);
  }

  /// A stream that was served three seconds after its arrival.
  void Served(const std::string& aRequest, const std::string& aFirstEventMs)
  {
    Add("3.000",
        R"("event":"stream_served","request":")" + aRequest + R"(","after_ms":3000,"first_event_ms":)" + aFirstEventMs);
  }

  std::string Summarize()
  {
    SortLines(mLog);
    return SummarizeLateStreams(mLog, 500);
  }
};

} // namespace

TEST_CASE_METHOD(late_streams_fixture, "late_streams_are_counted_by_the_place_where_they_waited_longest")
{
  Sent("0.010", "engine", "50");
  Served("engine", "900");
  Sent("0.800", "here", "50");
  Served("here", "900");
  Sent("0.010", "retried", "50");
  Sent("0.700", "retried", "50");
  Served("retried", "900");
  Sent("0.010", "in-time", "50");
  Served("in-time", "500");
  const std::string summary = Summarize();
  CHECK_THAT(summary, Contains("4 streams served, 3 began later than 500 ms"));
  CHECK_THAT(summary, Contains("at engines after the last send    1\n"));
  CHECK_THAT(summary, Contains("in sends that brought no event    1\n"));
  CHECK_THAT(summary, Contains("in the gateway's queue            1\n"));
}

TEST_CASE_METHOD(late_streams_fixture, "late_streams_forecast_is_that_of_the_last_send_before_the_first_event")
{
  Sent("0.000", "r", "50");
  Sent("0.200", "r", "70");
  Sent("1.500", "r", "4000");
  Served("r", "900");
  const std::string summary = Summarize();
  CHECK_THAT(summary, Contains("late                1        70       700        70       700\n"));
}

TEST_CASE_METHOD(late_streams_fixture, "late_streams_without_any_line_about_streams_are_none")
{
  Add("0.000", R"("event":"ready")");
  CHECK_THAT(Summarize(), Contains("0 streams served, 0 began later"));
}
