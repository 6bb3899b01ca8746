#pragma once

#include <array>
#include <string>
#include <vector>

#include "cli/load_results.h"

/// What a load has shown, for people, scripts and browsers.
namespace chervilpulley::cli {

/// Percentiles of a set of times; all zero when there are none.
struct percentiles
{
  std::size_t mCount = 0;
  duration mP50{ 0 };
  duration mP90{ 0 };
  duration mP99{ 0 };
  duration mMax{ 0 };
};

/// By nearest rank.
percentiles PercentilesOf(std::vector<duration> aTimes);

/// What one workspace got.
struct workspace_summary
{
  std::string mName;
  std::uint64_t mSent = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mRequestedTokens = 0;
  percentiles mFirstToken;
};

/// One second of the load, by the time at which calls were sent.
struct second_summary
{
  std::uint64_t mSent = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mTokens = 0;
  percentiles mFirstToken;
};

struct load_summary
{
  duration mLength{ 0 }; ///< until the last answer
  std::uint64_t mSent = 0;
  std::array<std::uint64_t, kCallOutcomes> mOutcomes{};
  std::uint64_t mResumed = 0;
  std::uint64_t mRetried = 0;
  double mCompletePerSecond = 0;
  double mTokensPerSecond = 0;
  percentiles mFirstToken;
  percentiles mGap;
  std::array<percentiles, kCallKinds> mTotals{}; ///< of whole answers, by kind
  std::vector<workspace_summary> mWorkspaces;
  double mFairness = 1; ///< Jain's index of the part that each workspace got of what it asked for; 1 is even
  std::vector<second_summary> mSeconds;
  guarantee_violations mViolations;
  std::vector<std::string> mExamples;
};

/// @param aWorkspaces names, in the order of the plan's numbers.
load_summary Summarize(const load_results& aResults, const std::vector<std::string>& aWorkspaces);

std::string ReportText(const load_summary& aSummary);
std::string ReportJson(const load_summary& aSummary);
/// One page with its drawings inside.
std::string ReportHtml(const load_summary& aSummary);

} // namespace chervilpulley::cli
