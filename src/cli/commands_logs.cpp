#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <ostream>

#include "base/log_events.h"
#include "cli/commands.h"
#include "cli/exit_code.h"
#include "cli/explain.h"
#include "cli/late_streams.h"

DEFINE_string(logs_reason, "", "Only those whose reason holds this text.");
DEFINE_string(logs_workspace, "", "Only those of this workspace.");
DEFINE_string(logs_since, "", "Only those that ended then or later; a time as the lines write it, or its beginning.");
DEFINE_double(logs_late, 0, "Only streams whose first event came after so many milliseconds or later, served or not.");
DEFINE_double(logs_objective, 500, "Latency objective of the first event, in milliseconds.");
DEFINE_bool(logs_all, false, "Also those that were served.");

namespace chervilpulley::cli {

namespace {

/// Reads the files named by the arguments from aFirst on.
/// @return false, after printing an error, when a file can't be read or no line could be parsed.
bool ReadFiles(const std::vector<std::string>& aArguments, std::size_t aFirst, parsed_log& aLog, streams aStreams)
{
  for (std::size_t at = aFirst; at < aArguments.size(); ++at) {
    std::ifstream in(aArguments[at]);
    if (!in) {
      aStreams.mErr << fmt::format("{}: {}\n", aArguments[at], std::strerror(errno));
      return false;
    }
    ReadLines(in, aLog);
  }
  SortLines(aLog);
  if (aLog.mLines.empty()) {
    aStreams.mErr << fmt::format("no line of a gateway's log in these files ({} others)\n", aLog.mSkipped);
    return false;
  }
  return true;
}

int Explain(const std::vector<std::string>& aArguments, streams aStreams)
{
  parsed_log log;
  if (!ReadFiles(aArguments, 1, log, aStreams)) {
    return ExitRefused;
  }
  const std::string text = ExplainRequest(log, aArguments[0]);
  if (text.empty()) {
    aStreams.mErr << fmt::format("{}: no line names this request\n", aArguments[0]);
    return ExitRefused;
  }
  aStreams.mOut << text;
  return ExitOk;
}

int Requests(const std::vector<std::string>& aArguments, streams aStreams)
{
  parsed_log log;
  if (!ReadFiles(aArguments, 0, log, aStreams)) {
    return ExitRefused;
  }
  request_search search;
  search.mReason = FLAGS_logs_reason;
  search.mWorkspace = FLAGS_logs_workspace;
  search.mSince = FLAGS_logs_since;
  search.mFirstEventMs = FLAGS_logs_late;
  search.mIncludeServed = FLAGS_logs_all;
  aStreams.mOut << FindRequests(log, search);
  return ExitOk;
}

int Late(const std::vector<std::string>& aArguments, streams aStreams)
{
  parsed_log log;
  if (!ReadFiles(aArguments, 0, log, aStreams)) {
    return ExitRefused;
  }
  aStreams.mOut << SummarizeLateStreams(log, FLAGS_logs_objective);
  return ExitOk;
}

int PrintEventsReference(const std::vector<std::string>&, streams aStreams)
{
  aStreams.mOut << EventsReference();
  return ExitOk;
}

/// Maximum number of log files that one command reads.
constexpr std::size_t kMaxFiles = 10'000;

} // namespace

std::vector<command> LogCommands()
{
  return {
    { "explain", "ID FILE...", "Tells a request's story from gateways' logs.", {}, 2, kMaxFiles, Explain },
    { "requests",
      "FILE...",
      "Finds requests that failed, or were late, in gateways' logs.",
      { { "reason", "logs_reason" },
        { "workspace", "logs_workspace" },
        { "since", "logs_since" },
        { "late", "logs_late" },
        { "all", "logs_all" } },
      1,
      kMaxFiles,
      Requests },
    { "late",
      "FILE...",
      "Summarizes from gateways' logs where streams that began late had waited.",
      { { "objective", "logs_objective" } },
      1,
      kMaxFiles,
      Late },
    { "events-reference", "", "Prints the reference page of all events of the log.", {}, 0, 0, PrintEventsReference },
  };
}

} // namespace chervilpulley::cli
