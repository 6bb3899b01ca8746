#include "cli/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace chervilpulley::cli {

namespace {

constexpr double kUsPerMs = 1000;
constexpr std::array<const char*, kCallKinds> kCallKindNames{ "stream", "plain", "booking", "lookup" };

double Ms(duration aTime)
{
  return static_cast<double>(aTime.count()) / kUsPerMs;
}

duration ValueAtRank(const std::vector<duration>& aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(aSorted.size())));
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

bool HasFirstToken(const call_record& aRecord)
{
  return aRecord.mKind == call_kind::Stream && aRecord.mTokens > 0;
}

/// Percentiles of the time to the first token, over the records that pass the filter.
template<class Filter>
percentiles FirstTokenTimes(const std::vector<call_record>& aRecords, Filter&& aFilter)
{
  std::vector<duration> times;
  for (const call_record& record : aRecords) {
    if (HasFirstToken(record) && aFilter(record)) {
      times.push_back(record.mFirstToken);
    }
  }
  return PercentilesOf(std::move(times));
}

void SummarizeWorkspaces(load_summary& aSummary, const std::vector<call_record>& aRecords)
{
  for (const call_record& record : aRecords) {
    workspace_summary& workspace = aSummary.mWorkspaces[record.mWorkspace];
    ++workspace.mSent;
    workspace.mComplete += record.mOutcome == call_outcome::Complete ? 1 : 0;
    workspace.mTokens += record.mTokens;
    workspace.mRequestedTokens += record.mRequestedTokens;
  }
  for (std::size_t i = 0; i < aSummary.mWorkspaces.size(); ++i) {
    aSummary.mWorkspaces[i].mFirstToken =
      FirstTokenTimes(aRecords, [i](const call_record& aRecord) { return aRecord.mWorkspace == i; });
  }
}

void SummarizeSeconds(load_summary& aSummary, const std::vector<call_record>& aRecords)
{
  constexpr duration kSecond = std::chrono::seconds(1);
  for (const call_record& record : aRecords) {
    const auto index = static_cast<std::size_t>(record.mStart / kSecond);
    aSummary.mSeconds.resize(std::max(aSummary.mSeconds.size(), index + 1));
    second_summary& second = aSummary.mSeconds[index];
    ++second.mSent;
    second.mComplete += record.mOutcome == call_outcome::Complete ? 1 : 0;
    second.mTokens += record.mTokens;
  }
  for (std::size_t i = 0; i < aSummary.mSeconds.size(); ++i) {
    aSummary.mSeconds[i].mFirstToken = FirstTokenTimes(aRecords, [i, kSecond](const call_record& aRecord) {
      return static_cast<std::size_t>(aRecord.mStart / kSecond) == i;
    });
  }
}

/// Jain's fairness index of the ratio of received to requested tokens of each workspace.
double Fairness(const std::vector<workspace_summary>& aSummaries)
{
  double sum = 0;
  double squares = 0;
  double count = 0;
  for (const workspace_summary& workspace : aSummaries) {
    if (workspace.mRequestedTokens == 0) {
      continue;
    }
    const double ratio = static_cast<double>(workspace.mTokens) / static_cast<double>(workspace.mRequestedTokens);
    sum += ratio;
    squares += ratio * ratio;
    ++count;
  }
  return squares == 0 ? 1 : sum * sum / (count * squares);
}

void SummarizeCalls(load_summary& aSummary, const std::vector<call_record>& aRecords)
{
  std::array<std::vector<duration>, kCallKinds> totals;
  std::uint64_t tokens = 0;
  for (const call_record& record : aRecords) {
    ++aSummary.mOutcomes[static_cast<std::size_t>(record.mOutcome)];
    aSummary.mLength = std::max(aSummary.mLength, record.mStart + record.mTotal);
    tokens += record.mTokens;
    if (record.mOutcome == call_outcome::Complete) {
      totals[static_cast<std::size_t>(record.mKind)].push_back(record.mTotal);
    }
  }
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    aSummary.mTotals[i] = PercentilesOf(std::move(totals[i]));
  }
  const double seconds = std::chrono::duration<double>(aSummary.mLength).count();
  if (seconds > 0) {
    const auto complete = aSummary.mOutcomes[static_cast<std::size_t>(call_outcome::Complete)];
    aSummary.mCompletePerSecond = static_cast<double>(complete) / seconds;
    aSummary.mTokensPerSecond = static_cast<double>(tokens) / seconds;
  }
}

std::string FormatRow(std::string_view aName, const percentiles& aTimes)
{
  return fmt::format("  {:<22} {:>8} {:>10.1f} {:>10.1f} {:>10.1f} {:>10.1f}\n",
                     aName,
                     aTimes.mCount,
                     Ms(aTimes.mP50),
                     Ms(aTimes.mP90),
                     Ms(aTimes.mP99),
                     Ms(aTimes.mMax));
}

} // namespace

percentiles PercentilesOf(std::vector<duration> aTimes)
{
  if (aTimes.empty()) {
    return {};
  }
  std::sort(aTimes.begin(), aTimes.end());
  return {
    aTimes.size(), ValueAtRank(aTimes, 0.5), ValueAtRank(aTimes, 0.9), ValueAtRank(aTimes, 0.99), aTimes.back()
  };
}

load_summary Summarize(const load_results& aResults, const std::vector<std::string>& aWorkspaces)
{
  load_summary summary;
  const std::vector<call_record>& records = aResults.Records();
  summary.mSent = records.size();
  summary.mResumed = aResults.Resumed();
  summary.mRetried = aResults.Retried();
  SummarizeCalls(summary, records);
  summary.mFirstToken = FirstTokenTimes(records, [](const call_record&) { return true; });
  summary.mGap = PercentilesOf(aResults.Gaps());
  for (const std::string& name : aWorkspaces) {
    summary.mWorkspaces.push_back({ name });
  }
  SummarizeWorkspaces(summary, records);
  SummarizeSeconds(summary, records);
  summary.mFairness = Fairness(summary.mWorkspaces);
  summary.mViolations = aResults.Violations();
  summary.mExamples = aResults.Examples();
  return summary;
}

std::string ReportText(const load_summary& aSummary)
{
  std::string text = fmt::format("{} calls in {:.1f} s: {:.1f} whole answers/s, {:.1f} tokens/s\n",
                                 aSummary.mSent,
                                 std::chrono::duration<double>(aSummary.mLength).count(),
                                 aSummary.mCompletePerSecond,
                                 aSummary.mTokensPerSecond);
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    text += fmt::format("  {:<22} {:>8}\n", TextOf(static_cast<call_outcome>(i)), aSummary.mOutcomes[i]);
  }
  text +=
    fmt::format("  {:<22} {:>8}\n  {:<22} {:>8}\n", "resumed", aSummary.mResumed, "sent again", aSummary.mRetried);
  text +=
    fmt::format("\n  {:<22} {:>8} {:>10} {:>10} {:>10} {:>10}\n", "times in ms", "count", "p50", "p90", "p99", "max");
  text += FormatRow("first token", aSummary.mFirstToken);
  text += FormatRow("between tokens", aSummary.mGap);
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    text += FormatRow(fmt::format("whole {}", kCallKindNames[i]), aSummary.mTotals[i]);
  }
  text += fmt::format(
    "\n  {:<22} {:>8} {:>10} {:>10} {:>10} {:>10}\n", "workspace", "sent", "whole", "tokens", "first p50", "first p99");
  for (const workspace_summary& workspace : aSummary.mWorkspaces) {
    text += fmt::format("  {:<22} {:>8} {:>10} {:>10} {:>10.1f} {:>10.1f}\n",
                        workspace.mName,
                        workspace.mSent,
                        workspace.mComplete,
                        workspace.mTokens,
                        Ms(workspace.mFirstToken.mP50),
                        Ms(workspace.mFirstToken.mP99));
  }
  text += fmt::format("  fairness (Jain's index) {:.3f}\n", aSummary.mFairness);
  const guarantee_violations& violations = aSummary.mViolations;
  text += fmt::format("\npromises: lost {}, doubled {}, mixed up {}, cut {}\n",
                      violations.mLost,
                      violations.mDuplicates,
                      violations.mMismatches,
                      violations.mIncomplete);
  for (const std::string& example : aSummary.mExamples) {
    text += "  " + example + "\n";
  }
  return text;
}

} // namespace chervilpulley::cli
