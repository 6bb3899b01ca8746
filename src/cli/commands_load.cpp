#include "cli/commands.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <sstream>

#include "base/random.h"
#include "base/result.h"
#include "cli/exit_code.h"
#include "cli/load_report.h"
#include "cli/load_run.h"

DEFINE_string(load_address, "", "Callers' addresses of entries, ip:port, separated by commas.");
DEFINE_string(load_key_file,
              "",
              "File with a workspace's key on each line; else the variable CHERVILPULLEY_KEYS, by commas.");
DEFINE_string(load_model, "demo", "Model of the completions.");
DEFINE_double(load_rate, 20, "Calls a second, outside of bursts.");
DEFINE_double(load_seconds, 10, "Time in which calls are sent.");
DEFINE_uint64(load_seed, 1, "Seed of the plan; the same seed gives the same calls.");
DEFINE_double(load_burst, 1, "Rate in a burst against the rate outside; 1 is no bursts.");
DEFINE_double(load_burst_every, 10, "Seconds from the start of a burst to the start of the next.");
DEFINE_double(load_burst_length, 1, "Seconds that a burst lasts.");
DEFINE_double(load_streams, 0.6, "Share of streamed completions.");
DEFINE_double(load_plain, 0.2, "Share of whole completions.");
DEFINE_double(load_bookings, 0.1, "Share of calls with an Idempotency-Key.");
DEFINE_double(load_lookups, 0.1, "Share of idempotent calls.");
DEFINE_double(load_repeats, 0.3, "Share of bookings that are sent a second time, to another entry.");
DEFINE_uint32(load_prefixes, 8, "Beginnings that prompts share.");
DEFINE_uint32(load_prefix_words, 64, "Words of a beginning.");
DEFINE_uint32(load_max_tokens, 32, "Most tokens of an answer.");
DEFINE_uint32(load_timeout_ms, 30000, "Longest wait for an answer, or for the next piece of a stream, in ms.");
DEFINE_string(load_booking_path, "/services/bookings/reserve", "Path of bookings.");
DEFINE_string(load_lookup_path, "/services/stock/rope", "Path of lookups.");
DEFINE_bool(load_same_answers, false, "Check that the same prompt always gets the same tokens.");
DEFINE_bool(load_progress, true, "Print a line every second.");
DEFINE_string(load_json, "", "File for the report as JSON.");
DEFINE_string(load_html, "", "File for the report as a page with drawings.");

namespace chervilpulley::cli {

namespace {

using words = std::vector<std::string>;

constexpr const char* kKeysVariable = "CHERVILPULLEY_KEYS";
constexpr std::size_t kRunIdBytes = 4;
constexpr double kMinRate = 0.001;  // calls a second
constexpr double kMaxRate = 100000; // calls a second
constexpr double kMaxSeconds = 1000000;
constexpr double kMaxBurstFactor = 1000;

/// Why a load can't start.
struct load_fault
{
  std::string mText;
};

words Split(const std::string& aText, const char* aSeparators)
{
  words parts;
  boost::algorithm::split(parts, aText, boost::algorithm::is_any_of(aSeparators));
  for (std::string& part : parts) {
    boost::algorithm::trim(part);
  }
  std::erase(parts, "");
  return parts;
}

words ReadKeys()
{
  if (FLAGS_load_key_file.empty()) {
    const char* keys = std::getenv(kKeysVariable);
    return Split(keys == nullptr ? "" : keys, ",");
  }
  std::ifstream in(FLAGS_load_key_file);
  std::ostringstream text;
  text << in.rdbuf();
  return Split(text.str(), "\n");
}

/// Also false for NaN.
bool IsBetween(double aValue, double aMin, double aMax)
{
  return aValue >= aMin && aValue <= aMax;
}

duration Seconds(double aSeconds)
{
  if (!IsBetween(aSeconds, 0, kMaxSeconds)) {
    return duration::zero(); // rejected by FaultOf()
  }
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(aSeconds));
}

result<load_target, load_fault> ReadTarget()
{
  load_target target;
  for (const std::string& text : Split(FLAGS_load_address, ",")) {
    const auto address = net::ParseEndpoint(text);
    if (!address) {
      return load_fault{ address.error().mMessage };
    }
    target.mEntries.push_back(address.value());
  }
  if (target.mEntries.empty()) {
    return load_fault{ "flag \"--address\" is needed" };
  }
  target.mKeys = ReadKeys();
  if (target.mKeys.empty()) {
    return load_fault{ fmt::format("keys are needed, by flag \"--key-file\" or variable {}", kKeysVariable) };
  }
  target.mModel = FLAGS_load_model;
  target.mBookingPath = FLAGS_load_booking_path;
  target.mLookupPath = FLAGS_load_lookup_path;
  target.mTimeout = std::chrono::milliseconds(FLAGS_load_timeout_ms);
  return target;
}

load_options ReadOptions(const load_target& aTarget)
{
  load_options options;
  options.mRate = FLAGS_load_rate;
  options.mLength = Seconds(FLAGS_load_seconds);
  options.mSeed = FLAGS_load_seed;
  options.mBursts = { FLAGS_load_burst, Seconds(FLAGS_load_burst_every), Seconds(FLAGS_load_burst_length) };
  options.mMix = { FLAGS_load_streams, FLAGS_load_plain, FLAGS_load_bookings, FLAGS_load_lookups };
  options.mWorkspaces = aTarget.mKeys.size();
  options.mEntries = aTarget.mEntries.size();
  options.mPrefixes = FLAGS_load_prefixes;
  options.mPrefixWords = FLAGS_load_prefix_words;
  options.mMaxTokens = FLAGS_load_max_tokens;
  options.mRetryShare = FLAGS_load_repeats;
  options.mRunId = RandomHex(kRunIdBytes);
  return options;
}

/// Describes the first invalid option; empty when all are valid.
std::string FaultOf(const load_options& aOptions)
{
  const call_mix& mix = aOptions.mMix;
  const double minShare = std::min({ mix.mStream, mix.mPlain, mix.mBooking, mix.mLookup });
  if (!IsBetween(aOptions.mRate, kMinRate, kMaxRate)) {
    return fmt::format("flag \"--rate\" must be from {} to {}", kMinRate, kMaxRate);
  }
  if (!IsBetween(FLAGS_load_seconds, 0, kMaxSeconds)) {
    return fmt::format("flag \"--seconds\" must be from 0 to {}", kMaxSeconds);
  }
  if (!IsBetween(aOptions.mBursts.mFactor, 1, kMaxBurstFactor)) {
    return fmt::format("flag \"--burst\" must be from 1 to {}", kMaxBurstFactor);
  }
  if (!(minShare >= 0) || !(mix.mStream + mix.mPlain + mix.mBooking + mix.mLookup > 0)) {
    return "the shares of calls must be 0 or more, and one over 0";
  }
  if (aOptions.mMaxTokens == 0) {
    return "flag \"--max-tokens\" must be over 0";
  }
  return "";
}

/// Names of the workspaces, which are the part of their keys before the dot.
words NamesOf(const words& aKeys)
{
  words names;
  names.reserve(aKeys.size());
  for (const std::string& key : aKeys) {
    names.push_back(key.substr(0, key.find('.')));
  }
  return names;
}

bool WriteFile(const std::string& aFile, const std::string& aText, streams aStreams)
{
  if (aFile.empty()) {
    return true;
  }
  std::ofstream out(aFile);
  out << aText << std::flush;
  if (!out) {
    aStreams.mErr << fmt::format("load: file \"{}\" can't be written\n", aFile);
  }
  return static_cast<bool>(out);
}

int Load(const words&, streams aStreams)
{
  const auto target = ReadTarget();
  if (!target) {
    aStreams.mErr << "load: " << target.error().mText << "\n";
    return ExitUsage;
  }
  const load_options options = ReadOptions(target.value());
  const std::string fault = FaultOf(options);
  if (!fault.empty()) {
    aStreams.mErr << "load: " << fault << "\n";
    return ExitUsage;
  }
  load_results results(FLAGS_load_same_answers);
  RunLoad(options, target.value(), results, FLAGS_load_progress ? &aStreams.mErr : nullptr);
  const load_summary summary = Summarize(results, NamesOf(target.value().mKeys));
  aStreams.mOut << ReportText(summary);
  const bool isJsonWritten = WriteFile(FLAGS_load_json, ReportJson(summary), aStreams);
  const bool isHtmlWritten = WriteFile(FLAGS_load_html, ReportHtml(summary), aStreams);
  return summary.mViolations.Total() == 0 && isJsonWritten && isHtmlWritten ? ExitOk : ExitRefused;
}

std::vector<flag> LoadFlags()
{
  return {
    { "address", "load_address" },
    { "key-file", "load_key_file" },
    { "model", "load_model" },
    { "rate", "load_rate" },
    { "seconds", "load_seconds" },
    { "seed", "load_seed" },
    { "burst", "load_burst" },
    { "burst-every", "load_burst_every" },
    { "burst-length", "load_burst_length" },
    { "streams", "load_streams" },
    { "plain", "load_plain" },
    { "bookings", "load_bookings" },
    { "lookups", "load_lookups" },
    { "repeats", "load_repeats" },
    { "prefixes", "load_prefixes" },
    { "prefix-words", "load_prefix_words" },
    { "max-tokens", "load_max_tokens" },
    { "timeout-ms", "load_timeout_ms" },
    { "booking-path", "load_booking_path" },
    { "lookup-path", "load_lookup_path" },
    { "same-answers", "load_same_answers" },
    { "progress", "load_progress" },
    { "json", "load_json" },
    { "html", "load_html" },
  };
}

} // namespace

command LoadCommand()
{
  return { "load",      "", "Sends calls to entries, reports times, and checks the promises that a caller can see.",
           LoadFlags(), 0,  0,
           Load };
}

} // namespace chervilpulley::cli
