#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "chervilpulley/policy_types.h"
#include "policy/request_rank.h"

/// Divides what a rank is admitted between workspaces. It answers a workspace that sends many times its share: without
/// it, all workspaces of the rank are rejected alike. See docs/design/workspace-fairness.md.
namespace chervilpulley::policy {

/// Identifies a workspace in announcements: a hash of its name. Two workspaces with the same hash share one cap; among
/// 9,300 workspaces the probability that any two do is about 1 %.
using workspace_hash = std::uint32_t;

/// The hash of a workspace's name, the same on all gateways.
workspace_hash HashWorkspace(const workspace_id& aWorkspace);

/// Maximum number of workspaces whose demand a gateway announces singly.
inline constexpr std::size_t kMaxLargestWorkspaces = 4;
/// Maximum number of pairs of rank and workspace of which state is kept. The largest platform has 9,300 workspaces.
inline constexpr std::size_t kMaxTrackedWorkspaces = 10000;
/// Time constant of the decay of the measured demand.
inline constexpr duration kDemandDecayTime = std::chrono::seconds(1);
/// A workspace without requests for this time has no demand: 5 % of the weight of its last request is left.
inline constexpr duration kDemandMemory = 3 * kDemandDecayTime;

/// Demand of one workspace in one rank.
struct workspace_demand
{
  std::size_t mRank = 0;
  workspace_hash mWorkspace = 0;
  double mTokens = 0; ///< wanted within the horizon of the capacity allocation
};

/// Demand of a rank, by workspace.
struct rank_demand
{
  std::vector<workspace_demand> mLargest; ///< of single workspaces, each workspace once
  double mOthers = 0;                     ///< tokens wanted by all other workspaces together
  std::size_t mOtherWorkspaces = 0;       ///< estimated number of the other workspaces; counts as 1 if mOthers is not 0
};

/// How much of each workspace's demand is admitted.
struct workspace_split
{
  double mCap = 0;            ///< max-min fair share: tokens that a workspace gets at most
  double mOthersAdmitted = 1; ///< admitted fraction of the demand of workspaces that are not among the largest
};

/// Max-min fair division: no workspace gets more than the cap, and all demands limited to it add up to aAdmitted, if
/// the demand is as large. Workspaces outside mLargest count as equal. Amounts that are negative or not finite count
/// as 0.
/// @param aAdmitted tokens of the rank that may start.
workspace_split SplitByWorkspace(const rank_demand& aDemand, double aAdmitted);

/// Admitted fraction of the demand of one workspace, from 0 to 1.
double AdmittedFraction(const rank_demand& aDemand, const workspace_split& aSplit, workspace_hash aWorkspace);

/// Demand of the workspaces of one gateway, as announced.
struct gateway_demand
{
  std::vector<workspace_demand> mLargest;              ///< of all ranks
  rank_amounts mOthers{};                              ///< by rank, tokens wanted by workspaces not in mLargest
  std::array<std::uint32_t, kRankCount> mWorkspaces{}; ///< by rank, workspaces with demand, those in mLargest included
};

/// Sums the demand of several gateways in one rank; the order of the gateways does not matter. What a workspace wants
/// at gateways that do not announce it singly is counted in mOthers, so the demand of an announced workspace is a lower
/// bound. The number of other workspaces is estimated, because gateways do not tell which ones they count: it is the
/// sum over the gateways, divided by the number of gateways that typically announce the same workspace, and at least
/// the largest number of one gateway.
/// @param aRank less than kRankCount.
rank_demand MergeDemand(std::span<const gateway_demand> aGateways, std::size_t aRank);

/// Measures the demand of a gateway's workspaces. It keeps at most kMaxTrackedWorkspaces pairs of rank and workspace:
/// beyond that the smallest are dropped, whose demand then counts with that of the others.
class workspace_demand_meter
{
public:
  /// Records a request, whether or not it is admitted.
  /// @param aTokens memory that the request needs.
  void Arrived(std::size_t aRank, workspace_hash aWorkspace, double aTokens, instant aNow);
  /// Returns the demand for kAllocationHorizon, and forgets workspaces without demand. The largest are those with most
  /// demand here and elsewhere together: so a workspace that is large at one gateway is announced by all at which it
  /// has demand, and does not take from the others there.
  /// @param aMaxLargest number of workspaces to return singly, at most kMaxLargestWorkspaces.
  /// @param aElsewhere entries that other gateways have announced; a workspace may have several.
  gateway_demand Measure(std::size_t aMaxLargest, std::span<const workspace_demand> aElsewhere, instant aNow);
  /// Number of pairs of rank and workspace of which state is kept.
  std::size_t Size() const { return mDemands.size(); }

private:
  /// A sum of tokens in which each token's weight decays with its age.
  struct decaying_sum
  {
    double mTokens = 0; ///< at mAt
    instant mAt;

    double At(instant aNow) const;
    void Add(double aTokens, instant aNow);
  };

  void Forget(instant aNow);
  void DropSmallest(instant aNow);

  std::unordered_map<std::uint64_t, decaying_sum> mDemands; ///< by rank and workspace
  std::array<decaying_sum, kRankCount> mTotals;             ///< by rank, dropped workspaces included
};

/// Admits a given fraction of the requests of each workspace, without random numbers. The number of admitted requests
/// of a pair of rank and workspace differs from the sum of the fractions by less than 2, also when the fraction
/// changes; only fractions strictly between 0 and 1 count. The order does not follow a period, so that requests which
/// recur regularly, such as every second one being large, are admitted alike. It keeps at most kMaxTrackedWorkspaces
/// pairs of rank and workspace; beyond that those without requests for the longest time are dropped.
class admission_credit
{
public:
  /// Whether the next request is admitted.
  /// @param aFraction admitted fraction, from 0 to 1; one that is not a number counts as 1.
  bool Admit(std::size_t aRank, workspace_hash aWorkspace, double aFraction, instant aNow);
  /// Number of pairs of rank and workspace of which state is kept.
  std::size_t Size() const { return mCredits.size(); }

private:
  struct credit
  {
    double mUntilNext = 0; ///< sum of fractions after which a request is admitted; at least -1
    double mOffset = 0;    ///< in [0, 1): where the next admission is between two whole sums
    std::size_t mHash = 0; ///< gives the offsets
    instant mUsedAt;
  };

  void DropOldest();

  std::unordered_map<std::uint64_t, credit> mCredits; ///< by rank and workspace
};

} // namespace chervilpulley::policy
