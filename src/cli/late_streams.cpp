#include "cli/late_streams.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "base/log_events.h"

namespace chervilpulley::cli {

namespace {

using std::chrono::system_clock;

/// Quantile that is printed beside the median.
constexpr double kHighQuantile = 0.9;

double MillisecondsBetween(system_clock::time_point aFrom, system_clock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

struct send
{
  system_clock::time_point mTime;
  double mPredictedMs = 0; ///< time to the first event
};

/// Where a served stream spent the time until its first event, in milliseconds.
struct first_event_times
{
  double mHereMs = 0;      ///< in the gateway's queue, before the first send
  double mRetriesMs = 0;   ///< in sends that brought no event
  double mEngineMs = 0;    ///< after the last send
  double mPredictedMs = 0; ///< forecast of mEngineMs

  double TotalMs() const { return mHereMs + mRetriesMs + mEngineMs; }
};

/// @param aSends of the stream, in the order of their times, and at least one.
first_event_times TimesOf(const log_record& aServed, const std::vector<send>& aSends)
{
  const auto arrived = aServed.mTime - std::chrono::duration_cast<system_clock::duration>(
                                         std::chrono::duration<double, std::milli>(aServed.Number("after_ms")));
  const double firstEventMs = aServed.Number("first_event_ms");
  // Sends after the first event resumed the stream.
  const send* last = &aSends.front();
  for (const send& each : aSends) {
    last = MillisecondsBetween(arrived, each.mTime) <= firstEventMs ? &each : last;
  }
  first_event_times times;
  times.mHereMs = std::max(0.0, MillisecondsBetween(arrived, aSends.front().mTime));
  times.mRetriesMs = MillisecondsBetween(aSends.front().mTime, last->mTime);
  times.mEngineMs = std::max(0.0, firstEventMs - times.mHereMs - times.mRetriesMs);
  times.mPredictedMs = last->mPredictedMs;
  return times;
}

std::vector<first_event_times> ServedStreams(const parsed_log& aLog)
{
  std::map<std::pair<std::string, std::string>, std::vector<send>> sends;
  std::vector<first_event_times> served;
  for (const log_record& line : aLog.mLines) {
    const auto event = EventNamed(line.mEvent);
    const auto key = std::make_pair(line.mInstance, line.Text("request"));
    if (event == log_event::StreamSent) {
      sends[key].push_back({ line.mTime, line.Number("predicted_first_ms") });
    } else if (event == log_event::StreamServed && sends.contains(key)) {
      served.push_back(TimesOf(line, sends[key]));
    }
  }
  return served;
}

double Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

void PrintForecast(const std::string& aName, const std::vector<first_event_times>& aStreams, std::string& aText)
{
  std::vector<double> predicted;
  std::vector<double> actual;
  for (const first_event_times& each : aStreams) {
    predicted.push_back(each.mPredictedMs);
    actual.push_back(each.mEngineMs);
  }
  fmt::format_to(std::back_inserter(aText),
                 "{:<12} {:>8} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f}\n",
                 aName,
                 aStreams.size(),
                 Quantile(predicted, 0.5),
                 Quantile(actual, 0.5),
                 Quantile(predicted, kHighQuantile),
                 Quantile(actual, kHighQuantile));
}

} // namespace

std::string SummarizeLateStreams(const parsed_log& aLog, double aObjectiveMs)
{
  const std::vector<first_event_times> served = ServedStreams(aLog);
  std::vector<first_event_times> late;
  std::copy_if(served.begin(), served.end(), std::back_inserter(late), [&](const first_event_times& aStream) {
    return aStream.TotalMs() > aObjectiveMs;
  });
  std::size_t atEngine = 0;
  std::size_t inRetries = 0;
  for (const first_event_times& each : late) {
    const double longest = std::max({ each.mHereMs, each.mRetriesMs, each.mEngineMs });
    atEngine += each.mEngineMs == longest ? 1 : 0;
    inRetries += each.mEngineMs < longest && each.mRetriesMs == longest ? 1 : 0;
  }
  std::string text = fmt::format("{} streams served, {} began later than {:.0f} ms; these waited longest\n"
                                 "  at engines after the last send    {}\n"
                                 "  in sends that brought no event    {}\n"
                                 "  in the gateway's queue            {}\n\n",
                                 served.size(),
                                 late.size(),
                                 aObjectiveMs,
                                 atEngine,
                                 inRetries,
                                 late.size() - atEngine - inRetries);
  fmt::format_to(std::back_inserter(text),
                 "{:<12} {:>8} {:>9} {:>9} {:>9} {:>9}\n",
                 "ms at engine",
                 "streams",
                 "forecast",
                 "actual",
                 "90 % f.",
                 "90 % a.");
  PrintForecast("all", served, text);
  PrintForecast("late", late, text);
  return text;
}

} // namespace chervilpulley::cli
