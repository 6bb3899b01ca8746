#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/log_events.h"

/// Structured log on standard output: one JSON object for each decision about a request and for each change of the
/// process's state. Never blocks and is bounded: lines that the reader does not accept in time or that exceed a budget
/// per second are dropped and counted.
namespace chervilpulley {

/// Starts the log; lines written before this call are discarded.
void StartDecisionLog(const std::string& aInstance);
/// Number of lines dropped since the process started.
std::uint64_t DroppedLogLines();

/// One line of the log, written by the destructor. Field names are string literals, since a test reads them from the
/// sources.
class log_line
{
public:
  explicit log_line(log_event aEvent);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  ~log_line();

  /// Adds a string field, escaped for JSON.
  log_line& Text(std::string_view aName, std::string_view aValue);
  /// Adds the first bytes of a text from another process, which may have any length.
  log_line& Quote(std::string_view aName, std::string_view aValue);
  /// Adds a number field with three decimals.
  log_line& Number(std::string_view aName, double aValue);
  /// Adds an integer field.
  log_line& Count(std::string_view aName, std::uint64_t aValue);

private:
  bool mIsKept = false;
  std::string mFields;
};

} // namespace chervilpulley
