#include "cli/explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace chervilpulley::cli;

namespace {

/// Log lines of two gateways, parsed one after the other.
struct explain_fixture
{
  parsed_log mLog;

  void Add(const std::string& aTime, const std::string& aInstance, const std::string& aRest)
  {
    std::istringstream in("{\"time\":\"2026-12-04T" + aTime + "\",\"instance\":\"" + aInstance + "\"," + aRest + "}\n");
    ReadLines(in, mLog);
  }

  std::string Explain(const std::string& aRequest)
  {
    SortLines(mLog);
    return ExplainRequest(mLog, aRequest);
  }
};

using Catch::Contains;

} // namespace

TEST_CASE_METHOD(explain_fixture, "explain_lines_of_several_gateways_are_ordered_by_time_across_time_zones")
{
  Add("10:00:00.500+01:00", "g2", R"("event":"stream_ended","request":"r","reason":"deadline","status":504)");
  Add("09:00:00.100+00:00", "g1", R"("event":"stream_sent","request":"r","backend":"e1")");
  const std::string explanation = Explain("r");
  CHECK_THAT(explanation, Contains("request r: stream_ended, deadline (status 504)"));
  CHECK_THAT(explanation, Contains("+400 ms  g2  stream_ended"));
}

TEST_CASE_METHOD(explain_fixture, "explain_shows_state_changes_of_engines_on_the_path_at_its_gateway")
{
  Add("08:00:00.000+00:00", "g1", R"("event":"backend_seen","backend":"e0","address":"10.0.0.2:1")");
  Add("09:00:00.000+00:00", "g1", R"("event":"backend_seen","backend":"e2","address":"10.0.0.2:1")");
  Add("09:00:07.000+00:00",
      "g1",
      R"("event":"stream_sent","request":"r","backend":"e1","path":"10.0.0.1:1=0-4,10.0.0.2:1=4-8")");
  Add("09:00:07.100+00:00", "g1", R"("event":"backend_believed_lost","backend":"e2")");
  Add("09:00:07.100+00:00", "g1", R"("event":"backend_believed_lost","backend":"e3")");
  Add("09:00:07.100+00:00", "g2", R"("event":"backend_believed_lost","backend":"e2")");
  Add("09:00:07.200+00:00", "g1", R"("event":"stream_ended","request":"r","reason":"no_path","status":502)");
  Add("09:00:07.300+00:00", "g1", R"("event":"backend_gone","backend":"e2")");
  const std::string explanation = Explain("r");
  CHECK_THAT(explanation, Contains("g1  backend_believed_lost  backend=e2"));
  CHECK_THAT(explanation, !Contains("backend=e3"));
  CHECK_THAT(explanation, !Contains("g2"));
  CHECK_THAT(explanation, !Contains("backend_gone"));
}

TEST_CASE_METHOD(explain_fixture, "explain_reports_dropped_lines_and_missing_end")
{
  Add("09:00:00.000+00:00", "g1", R"("event":"stream_sent","request":"r","log_lines_dropped":7)");
  Add("09:00:01.000+00:00", "g1", R"("event":"event_of_next_year","request":"r")");
  const std::string explanation = Explain("r");
  CHECK_THAT(explanation, Contains("no line says how it ended"));
  CHECK_THAT(explanation, Contains("g1 dropped 7 lines"));
  CHECK_THAT(explanation, Contains("event_of_next_year: not in this release's catalogue"));
}

TEST_CASE_METHOD(explain_fixture, "explain_skips_lines_that_are_not_structured_log")
{
  std::istringstream in("hello\n{\"time\":\"yesterday\",\"event\":\"x\"}\n{broken\n[1]\n{\"event\":1}\n\n");
  ReadLines(in, mLog);
  CHECK(mLog.mLines.empty());
  CHECK(mLog.mSkipped == 6);
  CHECK(Explain("r").empty());
}
