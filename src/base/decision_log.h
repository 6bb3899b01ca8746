#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Structured lines on standard output: one JSON object for each decision about a request and for each change of what
/// the process believes. Never blocks and is bounded: what the reader does not take, and what goes over a budget a
/// second, is dropped and counted.
namespace chervilpulley {

/// Which lines are kept when there are too many.
enum class log_rank
{
  Routine, ///< a request that went well
  Notable  ///< a refusal, failure, repeat or repair, or a change of beliefs
};

/// Starts the log; lines before this are dropped.
void StartDecisionLog(const std::string& aInstance);
/// Lines dropped so far.
std::uint64_t DroppedLogLines();

/// One line, written when it goes out of scope. Field names are literals.
class log_line
{
public:
  explicit log_line(std::string_view aEvent, log_rank aRank = log_rank::Routine);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  ~log_line();

  log_line& Text(std::string_view aName, std::string_view aValue);
  log_line& Number(std::string_view aName, double aValue);
  log_line& Count(std::string_view aName, std::uint64_t aValue);

private:
  bool mIsKept = false;
  std::string mFields;
};

} // namespace chervilpulley
