#pragma once

#include <cstdint>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"

/// Metrics of a process, served at /metrics.
namespace chervilpulley::metrics {

/// Why a request was retried.
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

/// All metrics of one process. Thread-safe.
class process_metrics : public ref_counted
{
public:
  /// Creates metrics in a registry of their own.
  static ref<process_metrics> Create();

  /// Records the time from a request's arrival to its first token.
  virtual void FirstToken(duration aTime) = 0;
  /// Records the time between two tokens of a stream, as delivered to the caller.
  virtual void TokenGap(duration aTime) = 0;
  /// Records the time from a request's arrival at a sidecar to its start at the backend server.
  virtual void QueueWait(duration aTime) = 0;
  /// Counts a retry.
  virtual void Retry(retry_cause aCause) = 0;
  /// Counts a refused request.
  virtual void Refusal(refusal_cause aCause) = 0;
  /// Counts a response with this status.
  virtual void Response(unsigned aStatus) = 0;
  /// Counts a response that ended before it was complete.
  virtual void InterruptedResponse() = 0;
  /// Sets the revision of the configuration in force.
  virtual void Revision(std::uint64_t aRevision) = 0;
  /// Sets the number of requests in progress.
  virtual void InProgress(std::uint64_t aRequests) = 0;
  /// Sets whether the platform responds.
  virtual void PlatformUp(bool aIsUp) = 0;

  /// All metrics in Prometheus's text format.
  virtual std::string Text() const = 0;
};

} // namespace chervilpulley::metrics
