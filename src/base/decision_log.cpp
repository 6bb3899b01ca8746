#include "base/decision_log.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <unistd.h>

#include <iterator>
#include <memory>

#include "base/clock.h"

namespace chervilpulley {

namespace {

/// Limits of lines per second for each rank; at 25 requests per second an entry writes about 60.
constexpr std::uint32_t kRoutineLinesPerSecond = 150;
constexpr std::uint32_t kNotableLinesPerSecond = 400;

/// Quoted bytes of a response; an engine's refusal states its reason in fewer.
constexpr std::size_t kMaxQuotedBytes = 200;

std::uint64_t sDropped = 0;

/// Non-blocking sink for standard output. A line of which the pipe accepts nothing is dropped; the rest of a line that
/// was written in part is written before the next line.
class pipe_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  pipe_sink()
  {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    flush_();
    if (!mUnwritten.empty()) {
      ++sDropped;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    mUnwritten.assign(line.data(), line.size());
    const std::size_t lineSize = mUnwritten.size();
    flush_();
    if (mUnwritten.size() == lineSize) {
      mUnwritten.clear();
      ++sDropped;
    }
  }

  void flush_() override
  {
    while (!mUnwritten.empty()) {
      const ssize_t written = ::write(STDOUT_FILENO, mUnwritten.data(), mUnwritten.size());
      if (written <= 0) {
        return;
      }
      mUnwritten.erase(0, static_cast<std::size_t>(written));
    }
  }

private:
  std::string mUnwritten; ///< rest of a line that was written in part
};

/// Limits the number of lines per second, for each rank.
class line_budget
{
public:
  /// Counts one line; false, and the line is counted as dropped, when this second's limit is reached.
  bool TryTake(log_rank aRank)
  {
    const instant now = Now();
    if (now - mSecond >= std::chrono::seconds(1)) {
      mSecond = now;
      mRoutine = 0;
      mNotable = 0;
    }
    std::uint32_t& used = aRank == log_rank::Routine ? mRoutine : mNotable;
    const std::uint32_t maxLines = aRank == log_rank::Routine ? kRoutineLinesPerSecond : kNotableLinesPerSecond;
    if (used >= maxLines) {
      ++sDropped;
      return false;
    }
    ++used;
    return true;
  }

private:
  instant mSecond;
  std::uint32_t mRoutine = 0;
  std::uint32_t mNotable = 0;
};

std::shared_ptr<spdlog::logger> sLogger;
line_budget sBudget;
std::uint64_t sReportedDropped = 0;

void AppendText(std::string& aLine, std::string_view aValue)
{
  aLine += boost::json::serialize(boost::json::string(aValue.data(), aValue.size()));
}

} // namespace

void StartDecisionLog(const std::string& aInstance)
{
  sLogger = std::make_shared<spdlog::logger>(aInstance, std::make_shared<pipe_sink>());
  sLogger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","instance":"%n",%v})");
}

std::uint64_t DroppedLogLines()
{
  return sDropped;
}

log_line::log_line(log_event aEvent)
  : mIsKept(sLogger != nullptr && sBudget.TryTake(EntryOf(aEvent).mRank))
{
  if (mIsKept) {
    mFields = fmt::format(R"("event":"{}")", EntryOf(aEvent).mName);
  }
}

log_line::~log_line()
{
  if (!mIsKept) {
    return;
  }
  if (sDropped != sReportedDropped) {
    Count("log_lines_dropped", sDropped);
    sReportedDropped = sDropped;
  }
  sLogger->info(mFields);
}

log_line& log_line::Text(std::string_view aName, std::string_view aValue)
{
  if (mIsKept) {
    fmt::format_to(std::back_inserter(mFields), R"(,"{}":)", aName);
    AppendText(mFields, aValue);
  }
  return *this;
}

log_line& log_line::Quote(std::string_view aName, std::string_view aValue)
{
  return Text(aName, aValue.substr(0, kMaxQuotedBytes));
}

log_line& log_line::Number(std::string_view aName, double aValue)
{
  if (mIsKept) {
    fmt::format_to(std::back_inserter(mFields), R"(,"{}":{:.3f})", aName, aValue);
  }
  return *this;
}

log_line& log_line::Count(std::string_view aName, std::uint64_t aValue)
{
  if (mIsKept) {
    fmt::format_to(std::back_inserter(mFields), R"(,"{}":{})", aName, aValue);
  }
  return *this;
}

} // namespace chervilpulley
