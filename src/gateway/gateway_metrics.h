#pragma once

#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"

/// What a gateway measures of itself, for /metrics.
namespace chervilpulley::gateway {

/// How a request of a caller ended.
enum class request_end
{
  Served,        ///< the backend server's whole answer
  BackendFailed, ///< the backend server's failure, handed on
  Refused,       ///< not run; the caller was told when to come back
  Unknown,       ///< sent, and no answer came
  TimedOut,
  Cut, ///< an answer that had begun was broken off
  CallerLeft,
  NotAllowed ///< no route, no key, or no request
};

enum class repair_kind
{
  Retried, ///< sent once more before anything had come
  Resumed, ///< taken up elsewhere after some events
  Repathed ///< a part of its path was replaced
};

class gateway_metrics : public ref_counted
{
public:
  static ref<gateway_metrics> Create();

  virtual void Ended(request_end aEnd, duration aTime) = 0;
  virtual void FirstEvent(duration aTime) = 0;
  virtual void Gap(duration aTime) = 0;
  virtual void Repaired(repair_kind aKind) = 0;
  virtual void StoreCall(bool aSucceeded, duration aTime) = 0;
  virtual void OrderGiven(bool aAccepted) = 0;
  virtual void Backends(std::size_t aListed, std::size_t aUncoveredLayers, std::size_t aLayersHeldOnce) = 0;
  virtual void SlowEngines(std::size_t aCount) = 0;
  virtual void Configuration(std::uint64_t aVersion, duration aAge) = 0;
  /// Gateways that are counted, this one too, and requests that wait for room on engines.
  virtual void Sharing(std::size_t aGateways, std::size_t aWaiting) = 0;
  /// Whether what the store says is taken from another gateway, and gateways that take it from this one.
  virtual void Relaying(bool aFollows, std::size_t aReaders) = 0;
  /// Servers that were found ended by a request.
  virtual void CrashesFound(std::size_t aCount) = 0;
  virtual void LogLinesDropped(std::uint64_t aLines) = 0;
  virtual std::string Text() const = 0;
};

} // namespace chervilpulley::gateway
