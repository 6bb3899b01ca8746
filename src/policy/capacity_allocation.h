#pragma once

#include <vector>

#include "policy/request_rank.h"

/// Divides the capacity of a pool's engines between the gateways that use them. It answers a demand beyond the engines'
/// memory: without it, each gateway sends until engines queue or reject, where neither priority nor deadline counts.
/// All gateways compute the allocation from the same announcements, so that no central service and no call for each
/// request is needed.
namespace chervilpulley::policy {

/// Demand is stated for this time ahead. It is about the time between two announcements, so that a gateway does not use
/// up its quota before it hears of the next one.
inline constexpr duration kAllocationHorizon = std::chrono::milliseconds(500);

/// Share of what all requests together get, relative to their demand, that on-time requests of each priority get at
/// least. The platform counts a kind of request as starved that is served a quarter as often as all.
inline constexpr double kMinAdmittedShare = 0.4;

/// What one gateway uses and demands of a pool's engines.
struct gateway_load
{
  double mInUse = 0;      ///< tokens of its streams in progress
  rank_amounts mWanted{}; ///< tokens that it would start within kAllocationHorizon, waiting ones included
};

/// What all gateways together may start.
struct capacity_allocation
{
  rank_amounts mWanted{}; ///< tokens wanted by all gateways
  rank_amounts mStarts{}; ///< of these, those that may start within kAllocationHorizon
  double mInUse = 0;      ///< tokens in use by all gateways
  double mUnclaimed = 0;  ///< tokens that become free and that nobody wants
  bool mIsScarce = false; ///< clearly more is wanted than becomes free, so that not all may start
  double mEnding = 1;     ///< part of what is in use that ends within kAllocationHorizon
  std::size_t mGateways = 0;

  /// The fraction of a rank's demand that may start, from 0 to 1.
  double AdmittedFraction(std::size_t aRank) const;
};

/// Allocates capacity to the ranks.
/// @param aCapacity tokens that the engines have memory for.
/// @param aRunTime average time from the start of a stream to its end; capacity becomes free at that rate.
capacity_allocation AllocateCapacity(double aCapacity, duration aRunTime, const std::vector<gateway_load>& aLoads);

/// Tokens that one gateway may have in use. The quotas of all gateways add up to the capacity.
/// @param aOwn the gateway's load, one of those that were allocated.
/// @param aOwnStarts of its wanted tokens, those that may start.
double QuotaOf(const capacity_allocation& aAllocation, const gateway_load& aOwn, double aOwnStarts);

} // namespace chervilpulley::policy
