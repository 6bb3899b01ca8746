#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/log_events.h"

/// Structured lines on standard output: one JSON object for each decision about a request and for each change of what
/// the process believes. Never blocks and is bounded: what the reader does not take, and what goes over a budget a
/// second, is dropped and counted.
namespace chervilpulley {

/// Starts the log; lines before this are dropped.
void StartDecisionLog(const std::string& aInstance);
/// Lines dropped so far.
std::uint64_t DroppedLogLines();

/// One line, written when it goes out of scope. Field names are literals.
class log_line
{
public:
  explicit log_line(log_event aEvent);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  ~log_line();

  log_line& Text(std::string_view aName, std::string_view aValue);
  /// The beginning of a text from outside, which may have any length.
  log_line& Quote(std::string_view aName, std::string_view aValue);
  log_line& Number(std::string_view aName, double aValue);
  log_line& Count(std::string_view aName, std::uint64_t aValue);

private:
  bool mIsKept = false;
  std::string mFields;
};

} // namespace chervilpulley
