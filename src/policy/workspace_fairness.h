#pragma once

#include <cstdint>
#include <vector>

#include "policy/request_rank.h"

/// Divides what a rank is admitted between workspaces. It answers a workspace that sends many times its share: without
/// it, all workspaces of the rank are rejected alike.
namespace chervilpulley::policy {

/// Identifies a workspace in announcements: a hash of its name.
using workspace_hash = std::uint32_t;

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
  std::size_t mWorkspaces = 1;            ///< estimated number of workspaces with demand, those in mLargest included
};

/// How much of each workspace's demand is admitted.
struct workspace_split
{
  double mCap = 0;            ///< max-min fair share: tokens that a workspace gets at most
  double mOthersAdmitted = 1; ///< admitted fraction of the demand of workspaces that are not among the largest
};

/// Max-min fair division: no workspace gets more than the cap, and all demands limited to it add up to aAdmitted, if
/// the demand is as large. Workspaces outside mLargest count as equal.
/// @param aAdmitted tokens of the rank that may start.
workspace_split SplitByWorkspace(const rank_demand& aDemand, double aAdmitted);

/// Admitted fraction of the demand of one workspace, from 0 to 1.
double AdmittedFraction(const rank_demand& aDemand, const workspace_split& aSplit, workspace_hash aWorkspace);

} // namespace chervilpulley::policy
