#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "chervilpulley/policy_types.h"

/// Shares the rate of requests that a backend server takes from all gateways together. A gateway sends the server a
/// request only with a permit. One gateway, the coordinator, grants the permits of a server, by demand and never faster
/// than the server's limit, so that the sum holds however many gateways there are and however unevenly callers are
/// spread over them. Guards against overloading a server that has asked for less.
namespace chervilpulley::policy {

/// Time for which a permit may be used. Unused ones expire, so that they can't pile up at gateways.
inline constexpr duration kPermitTime = std::chrono::seconds(1);
/// Time between two asks of a gateway for permits of one server.
inline constexpr duration kPermitAskInterval = std::chrono::milliseconds(400);
/// The same after a request found no permit.
inline constexpr duration kPermitMissInterval = std::chrono::milliseconds(100);

/// What a gateway asks the coordinator for.
struct permit_demand
{
  double mPerSecond = 0;      ///< rate of requests that would be sent to the server, for a fair share
  std::uint32_t mWanted = 0;  ///< permits needed until the next ask
  std::uint32_t mExpired = 0; ///< permits that expired unused since the last ask; others may get them
};

/// Grants the permits of one server; used by its coordinator.
class permit_source
{
public:
  /// Returns how many permits a gateway gets now.
  /// @param aLimit requests a second that the server takes from all gateways together.
  std::uint32_t Grant(const instance_id& aGateway, const permit_demand& aDemand, double aLimit, instant aNow);

private:
  struct asker
  {
    double mPerSecond = 0;
    double mCredit = 0; ///< permits that its share of the limit has earned it so far
    instant mAskedAt;
  };

  double TotalDemand(instant aNow);

  std::map<instance_id, asker> mAskers;
  double mAvailable = 0;
  std::optional<instant> mFilledAt;
};

/// The permits of one server that a gateway holds, and its demand for more.
class held_permits
{
public:
  /// Adds permits that were granted in response to an ask.
  /// @param aAskedAt when the ask was first sent. The permits' time counts from then, as they may have been granted at
  /// any time since.
  void Received(std::uint32_t aCount, instant aAskedAt, instant aNow);
  bool Has(instant aNow) const;
  /// Uses up a permit, if there is one, for a request that is sent.
  void Use(instant aNow);
  /// Records that a request would have been sent with a permit, and waits for one or goes elsewhere.
  /// @param aIsNew the request has not been recorded before.
  void Missed(bool aIsNew, instant aNow);
  /// Whether an ask was answered lately without enough permits: asking again at once would be in vain.
  bool AreExhausted(instant aNow) const;
  /// What to ask for now; nothing when no ask is due. Recent requests alone cause asks.
  std::optional<permit_demand> DueAsk(instant aNow);
  /// Permits a second that were granted lately; nothing before it was measured.
  std::optional<double> GrantedPerSecond() const;
  /// Permits used in the last second.
  std::size_t UsedLately(instant aNow) const;

private:
  void DropExpired(instant aNow);
  void MeasureDemand(instant aNow);

  std::deque<instant> mExpiries; ///< of each permit, the oldest first
  std::deque<instant> mUsed;
  std::uint32_t mRequests = 0; ///< sent or missed since mMeasuredAt
  std::uint32_t mMissed = 0;   ///< requests without a permit since the last ask
  std::uint32_t mExpired = 0;  ///< since the last ask
  double mDemandPerSecond = 0;
  std::optional<instant> mDemandAt;   ///< of the last request
  std::optional<instant> mMeasuredAt; ///< when mDemandPerSecond was computed
  std::optional<instant> mAskedAt;
  std::optional<instant> mReceivedAt;
  std::optional<instant> mExhaustedAt; ///< when an ask was last answered without a permit
  std::optional<double> mGrantedPerSecond;
};

} // namespace chervilpulley::policy
