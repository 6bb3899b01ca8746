#pragma once

#include <vector>

#include "policy/request_rank.h"

/// Divides the capacity of the engines of one failure domain between the gateways that use it. It answers a load
/// beyond the engines' memory: without it, each gateway sends until engines queue or reject, where neither priority nor
/// deadline counts. All gateways compute the allocation from the same announcements, so that no central service and no
/// call for each request is needed.
namespace chervilpulley::policy {

/// Demand is stated for this time ahead. It is longer than the time between two announcements, so that a gateway does
/// not use up its quota before it hears of the next one.
inline constexpr duration kAllocationHorizon = std::chrono::milliseconds(500);

/// Share of what all requests together get, relative to their demand, that on-time requests of each priority get at
/// least. The platform counts a kind of request as starved that is served a quarter as often as all.
inline constexpr double kMinAdmittedShare = 0.4;

/// What one gateway uses and demands of the engines of one failure domain.
struct domain_load
{
  bool mIsHome = false;   ///< the gateway is in this failure domain
  double mInUse = 0;      ///< tokens of its streams in progress there
  rank_amounts mWanted{}; ///< tokens that it would start there within kAllocationHorizon, waiting ones included
};

/// What a gateway may use of a failure domain.
struct capacity_allocation
{
  double mQuota = 0;      ///< tokens that it may have in use
  rank_amounts mStarts{}; ///< of the wanted tokens, those that may start within kAllocationHorizon
  double mInUse = 0;      ///< tokens in use by all gateways
  bool mIsScarce = false; ///< the demand of all gateways exceeds what becomes free
};

/// Allocates the capacity of a failure domain to one gateway.
/// @param aCapacity tokens that the engines have memory for.
/// @param aRunTime average time from the start of a stream to its end; its capacity becomes free at that rate.
/// @param aSelf index of the gateway in aLoads.
capacity_allocation AllocateCapacity(double aCapacity,
                                     duration aRunTime,
                                     const std::vector<domain_load>& aLoads,
                                     std::size_t aSelf);

} // namespace chervilpulley::policy
