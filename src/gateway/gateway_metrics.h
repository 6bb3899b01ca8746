#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "gateway/overload_control.h"
#include "gateway/retry_limits.h"
#include "gateway/server_limits.h"

/// Metrics of a gateway, served at /metrics. They show overload, failing backend servers and a store that is down.
namespace chervilpulley::gateway {

/// Outcome of a caller's request.
enum class request_end
{
  Served,        ///< the backend server's complete response was forwarded
  BackendFailed, ///< the backend server's failure was forwarded
  Refused,       ///< not run; the response has a retry-after time, unless the request is blocked
  Unknown,       ///< sent to a backend server, but no response arrived
  TimedOut,
  Abort, ///< interrupted after the response had begun
  CallerLeft,
  NotAllowed ///< no route, no valid key, or not a valid request
};

/// What callers' connections hold, and what was rejected for it since the start.
struct caller_load
{
  std::size_t mHeldBytes;
  std::size_t mBudgetBytes;
  std::size_t mConnections;
  std::size_t mMaxConnections;
  std::uint64_t mRejectedRequests;
  std::uint64_t mDroppedResponses;
  std::uint64_t mClosedConnections;
};

/// How a request continued after its backend server failed.
enum class repair_kind
{
  Retried, ///< sent again before any output had arrived
  Resumed, ///< resumed on another backend server after some events
  Repathed ///< a stage of its path was replaced
};

/// Records the metrics of one gateway; Create() gives the Prometheus implementation.
class gateway_metrics : public ref_counted
{
public:
  static ref<gateway_metrics> Create();

  /// Counts the end of a request, aTime after it arrived.
  virtual void Ended(request_end aEnd, duration aTime) = 0;
  /// Time to the first event of a stream.
  virtual void FirstEvent(duration aTime) = 0;
  /// Time between two events of a stream.
  virtual void Gap(duration aTime) = 0;
  virtual void Repaired(repair_kind aKind) = 0;
  virtual void StoreCall(bool aSucceeded, duration aTime) = 0;
  /// Counts a layer order to an engine.
  virtual void OrderGiven(bool aAccepted) = 0;
  /// Listed backend servers, and layers with no and with a single usable engine in this failure domain.
  virtual void Backends(std::size_t aListed, std::size_t aUncoveredLayers, std::size_t aLayersHeldOnce) = 0;
  /// Entries of the list of backend servers that can't be decoded and are skipped.
  virtual void UnreadableEntries(std::size_t aCount) = 0;
  virtual void SlowEngines(std::size_t aCount) = 0;
  /// Limits that backend servers name, and what this gateway uses of them.
  virtual void Limits(const std::vector<server_limit>& aLimits) = 0;
  /// Retries that are available now for each pool, and the share of the slack.
  virtual void Retries(const std::vector<retry_limit>& aLimits) = 0;
  /// Version of the configuration in force, and the time since it was confirmed as the newest.
  virtual void Configuration(std::uint64_t aVersion, duration aAge) = 0;
  /// Samples the times since the configuration and the list of backend servers were known to be current.
  virtual void StoreDataAges(std::optional<duration> aConfiguration, std::optional<duration> aList) = 0;
  /// Live gateways including this one, and requests that wait for capacity on engines.
  virtual void PeersAndQueue(std::size_t aGateways, std::size_t aWaiting) = 0;
  /// Overload control of a pool, and the announcements that it is based on.
  virtual void Overload(const overload_state& aState, std::size_t aHeard, std::uint64_t aAnnouncedBytes) = 0;
  /// Whether this gateway reads the store through another one, and the number of gateways that read through this one.
  virtual void Relaying(bool aReadsThroughRelay, std::size_t aReaders) = 0;
  /// Adds to the number of servers that were found crashed by a request.
  virtual void CrashesFound(std::size_t aCount) = 0;
  virtual void BlockedTraits(std::size_t aCount) = 0;
  virtual void LogLinesDropped(std::uint64_t aLines) = 0;
  virtual void CallerLimits(const caller_load& aLoad) = 0;
  /// All metrics in the Prometheus text format.
  virtual std::string Text() const = 0;
};

} // namespace chervilpulley::gateway
