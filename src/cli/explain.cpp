#include "cli/explain.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <set>

#include "base/log_events.h"

namespace chervilpulley::cli {

namespace {

using std::chrono::system_clock;

/// How long before a request's first line a state change may be the cause of its failure: a backend server that was
/// marked as lost stays so until the list of instances is updated, which takes some seconds.
constexpr std::chrono::seconds kCauseWindow{ 5 };

bool IsEvent(const log_record& aLine, log_event aEvent)
{
  return EventNamed(aLine.mEvent) == aEvent;
}

/// False for events of another release, whose topic is unknown.
bool IsAbout(const log_record& aLine, log_topic aTopic)
{
  const auto event = EventNamed(aLine.mEvent);
  return event && EntryOf(*event).mTopic == aTopic;
}

bool IsServed(const log_record& aLine)
{
  return IsEvent(aLine, log_event::StreamServed) || IsEvent(aLine, log_event::CallServed);
}

/// Fields that are printed in a column of their own or in the header.
bool IsShownElsewhere(std::string_view aName)
{
  return aName == "time" || aName == "instance" || aName == "event" || aName == "request";
}

std::string FormatValue(const boost::json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.as_string());
  }
  return aValue.is_number() ? fmt::format("{:.10g}", aValue.to_number<double>()) : boost::json::serialize(aValue);
}

/// Collects the instances, backend servers and paths that a request's own lines name, and selects the other lines that
/// are related to it.
class request_timeline
{
public:
  request_timeline(const parsed_log& aLog, const std::string& aRequest)
    : mLog(aLog)
    , mRequest(aRequest)
  {
    for (const log_record& line : mLog.mLines) {
      if (IsOwnRecord(line)) {
        AddOwnRecord(line);
      } else if (IsEvent(line, log_event::BackendSeen)) {
        mAddresses[line.Text("address")].insert(line.Text("backend"));
      }
    }
    for (const std::string& path : mPaths) {
      AddPath(path);
    }
  }

  bool IsEmpty() const { return !mBegin; }

  std::string Print() const
  {
    std::string text;
    std::set<std::string> events;
    for (const log_record& line : mLog.mLines) {
      if (IsRelated(line)) {
        events.insert(line.mEvent);
        PrintLine(line, text);
      }
    }
    return Header() + text + EventMeanings(events) + DroppedLines();
  }

private:
  bool IsOwnRecord(const log_record& aLine) const { return aLine.Text("request") == mRequest; }

  void AddOwnRecord(const log_record& aLine)
  {
    if (!mBegin) {
      mBegin = aLine.mTime;
    }
    mEnd = aLine.mTime;
    mLast = &aLine;
    mInstances.insert(aLine.mInstance);
    mBackends.insert(aLine.Text("backend"));
    mPaths.insert(aLine.Text("path"));
    mLacksCapacity = mLacksCapacity || IsEvent(aLine, log_event::NoPath);
  }

  /// "10.1.64.44:8688=54-63,..."
  void AddPath(const std::string& aPath)
  {
    std::size_t begin = 0;
    while (begin < aPath.size()) {
      const std::size_t end = std::min(aPath.find(',', begin), aPath.size());
      const std::string stage = aPath.substr(begin, end - begin);
      const auto known = mAddresses.find(stage.substr(0, stage.find('=')));
      if (known != mAddresses.end()) {
        mBackends.insert(known->second.begin(), known->second.end());
      }
      begin = end + 1;
    }
  }

  bool IsRelated(const log_record& aLine) const
  {
    if (IsOwnRecord(aLine)) {
      return true;
    }
    if (aLine.mTime < *mBegin - kCauseWindow || aLine.mTime > mEnd || !aLine.Text("request").empty()) {
      return false;
    }
    // Before the request, this event only shows that the backend server was known.
    if (aLine.mTime < *mBegin && IsEvent(aLine, log_event::BackendSeen)) {
      return false;
    }
    const bool isHere = mInstances.count(aLine.mInstance) > 0;
    const std::string backend = aLine.Text("backend");
    return (isHere && IsAbout(aLine, log_topic::Gateway)) || (mLacksCapacity && IsAbout(aLine, log_topic::Layers)) ||
           (!backend.empty() && mBackends.count(backend) > 0 && (isHere || IsAbout(aLine, log_topic::Layers)));
  }

  void PrintLine(const log_record& aLine, std::string& aText) const
  {
    const double after = std::chrono::duration<double, std::milli>(aLine.mTime - *mBegin).count();
    fmt::format_to(std::back_inserter(aText),
                   "{} {:>+9.0f} ms  {}  {:<22}",
                   IsOwnRecord(aLine) ? '*' : ' ',
                   after,
                   aLine.mInstance,
                   aLine.mEvent);
    for (const auto& field : aLine.mFields) {
      if (!IsShownElsewhere(field.key())) {
        fmt::format_to(std::back_inserter(aText), " {}={}", std::string(field.key()), FormatValue(field.value()));
      }
    }
    aText += '\n';
  }

  std::string Header() const
  {
    std::string end = "no line says how it ended";
    if (IsAbout(*mLast, log_topic::RequestEnd)) {
      const std::string reason = mLast->Text("reason");
      end = fmt::format(
        "{}{}{} (status {:.0f})", mLast->mEvent, reason.empty() ? "" : ", ", reason, mLast->Number("status"));
    }
    return fmt::format("request {}: {}\nfirst line at {}; * marks its own lines\n\n", mRequest, end, FirstLineTime());
  }

  std::string FirstLineTime() const
  {
    const auto first = std::find_if(
      mLog.mLines.begin(), mLog.mLines.end(), [this](const log_record& aLine) { return IsOwnRecord(aLine); });
    return first->mTimeText;
  }

  static std::string EventMeanings(const std::set<std::string>& aEvents)
  {
    std::string text = "\n";
    for (const std::string& name : aEvents) {
      const auto event = EventNamed(name);
      fmt::format_to(std::back_inserter(text),
                     "{}: {}\n",
                     name,
                     event ? EntryOf(*event).mMeaning : "not in this release's catalogue");
    }
    return text;
  }

  /// Lists the request's gateways that dropped log lines, since a step may be missing then.
  std::string DroppedLines() const
  {
    std::map<std::string, double> dropped;
    for (const log_record& line : mLog.mLines) {
      if (mInstances.count(line.mInstance) > 0 && line.Number("log_lines_dropped") > 0) {
        dropped[line.mInstance] = line.Number("log_lines_dropped");
      }
    }
    std::string text;
    for (const auto& [instance, count] : dropped) {
      fmt::format_to(std::back_inserter(text), "\n{} dropped {:.0f} lines; a step may be missing\n", instance, count);
    }
    return text;
  }

  const parsed_log& mLog;
  const std::string mRequest;
  std::optional<system_clock::time_point> mBegin;
  system_clock::time_point mEnd;
  const log_record* mLast = nullptr;
  std::set<std::string> mInstances;
  std::set<std::string> mBackends;
  std::set<std::string> mPaths;
  std::map<std::string, std::set<std::string>> mAddresses; ///< backend servers seen at each address
  bool mLacksCapacity = false;
};

bool Matches(const log_record& aLine, const request_search& aSearch)
{
  return IsAbout(aLine, log_topic::RequestEnd) &&
         (aSearch.mIncludeServed || aSearch.mFirstEventMs > 0 || !IsServed(aLine)) &&
         aLine.Text("reason").find(aSearch.mReason) != std::string::npos &&
         (aSearch.mWorkspace.empty() || aLine.Text("workspace") == aSearch.mWorkspace) &&
         aLine.mTimeText >= aSearch.mSince && aLine.Number("first_event_ms") >= aSearch.mFirstEventMs;
}

} // namespace

std::string ExplainRequest(const parsed_log& aLog, const std::string& aRequest)
{
  const request_timeline timeline(aLog, aRequest);
  return timeline.IsEmpty() ? std::string() : timeline.Print();
}

std::string FindRequests(const parsed_log& aLog, const request_search& aSearch)
{
  std::string text;
  for (const log_record& line : aLog.mLines) {
    if (Matches(line, aSearch)) {
      fmt::format_to(std::back_inserter(text),
                     "{} {} {} {} status={:.0f} after_ms={:.0f} workspace={} reason={}\n",
                     line.Text("request"),
                     line.mTimeText,
                     line.mInstance,
                     line.mEvent,
                     line.Number("status"),
                     line.Number("after_ms"),
                     line.Text("workspace"),
                     line.Text("reason"));
    }
  }
  return text;
}

} // namespace chervilpulley::cli
