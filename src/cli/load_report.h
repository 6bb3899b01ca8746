#pragma once

#include <array>
#include <string>
#include <vector>

#include "cli/load_results.h"

/// Summarizes a load run: latency, throughput, fairness and violated guarantees, as text, JSON and HTML.
namespace chervilpulley::cli {

/// Percentiles of a set of durations; all zero for an empty set.
struct percentiles
{
  std::size_t mCount = 0;
  duration mP50{ 0 };
  duration mP90{ 0 };
  duration mP99{ 0 };
  duration mMax{ 0 };
};

/// Percentiles by the nearest-rank method.
percentiles PercentilesOf(std::vector<duration> aTimes);

/// Calls and tokens of one workspace.
struct workspace_summary
{
  std::string mName;
  std::uint64_t mSent = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mRequestedTokens = 0;
  percentiles mFirstToken;
};

/// Calls whose planned time is in one second of the load.
struct second_summary
{
  std::uint64_t mSent = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mTokens = 0;
  percentiles mFirstToken;
};

/// Figures of a load run, as all reports show them.
struct load_summary
{
  duration mLength{ 0 }; ///< until the end of the last response
  std::uint64_t mSent = 0;
  std::array<std::uint64_t, kCallOutcomes> mOutcomes{};
  std::uint64_t mResumed = 0;
  std::uint64_t mRetried = 0;
  double mCompletePerSecond = 0;
  double mTokensPerSecond = 0;
  percentiles mFirstToken;
  percentiles mGap;
  std::array<percentiles, kCallKinds> mTotals{}; ///< of complete responses, by kind of call
  std::vector<workspace_summary> mWorkspaces;
  double mFairness = 1; ///< Jain's index of received to requested tokens of each workspace; 1 is perfectly fair
  std::vector<second_summary> mSeconds;
  guarantee_violations mViolations;
  std::vector<std::string> mExamples;
};

/// Computes the figures of a load run.
/// @param aWorkspaces names of the workspaces, in the order of their indices in the plan.
load_summary Summarize(const load_results& aResults, const std::vector<std::string>& aWorkspaces);

/// Tables for a terminal.
std::string ReportText(const load_summary& aSummary);
/// One line of JSON for scripts.
std::string ReportJson(const load_summary& aSummary);
/// A self-contained page with plots.
std::string ReportHtml(const load_summary& aSummary);

} // namespace chervilpulley::cli
