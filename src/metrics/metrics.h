#pragma once

#include <cstdint>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"

/// What a process measures of itself, for /metrics.
namespace chervilpulley::metrics {

/// Why a request was sent again.
enum class retry_cause
{
  Refused,
  StageLost,
  EngineCrashed,
  Stalled
};

/// Why a request was refused.
enum class refusal_cause
{
  Unauthorized,
  BadRequest,
  RateLimited,
  Overloaded,
  NoRoute,
  Suspect,
  PlatformDown,
  Leaving,
  Other
};

/// All measures of one process. Thread-safe.
class process_metrics : public ref_counted
{
public:
  static ref<process_metrics> Create();

  /// From the request's arrival to its first token.
  virtual void FirstToken(duration aTime) = 0;
  /// Between two tokens of a stream, as delivered.
  virtual void TokenGap(duration aTime) = 0;
  /// From the arrival at a sidecar to the start at its backend server.
  virtual void QueueWait(duration aTime) = 0;
  virtual void Retry(retry_cause aCause) = 0;
  virtual void Refusal(refusal_cause aCause) = 0;
  /// A request was answered with this status.
  virtual void Response(unsigned aStatus) = 0;
  /// An answer ended before it was whole.
  virtual void InterruptedResponse() = 0;
  virtual void Revision(std::uint64_t aRevision) = 0;
  virtual void InProgress(std::uint64_t aRequests) = 0;
  virtual void PlatformUp(bool aIsUp) = 0;

  /// All measures in the text form that scrapers read.
  virtual std::string Text() const = 0;
};

} // namespace chervilpulley::metrics
