#include "cli/load_report.h"

#include <boost/json.hpp>

namespace chervilpulley::cli {

namespace {

namespace json = boost::json;

json::object Json(const percentiles& aTimes)
{
  return { { "count", aTimes.mCount },
           { "p50_us", aTimes.mP50.count() },
           { "p90_us", aTimes.mP90.count() },
           { "p99_us", aTimes.mP99.count() },
           { "max_us", aTimes.mMax.count() } };
}

json::object Json(const workspace_summary& aWorkspace)
{
  return { { "workspace", aWorkspace.mName },
           { "sent", aWorkspace.mSent },
           { "whole", aWorkspace.mComplete },
           { "tokens", aWorkspace.mTokens },
           { "tokens_asked", aWorkspace.mRequestedTokens },
           { "first_token", Json(aWorkspace.mFirstToken) } };
}

json::object Json(const second_summary& aSecond)
{
  return { { "sent", aSecond.mSent },
           { "whole", aSecond.mComplete },
           { "tokens", aSecond.mTokens },
           { "first_token", Json(aSecond.mFirstToken) } };
}

json::object Json(const guarantee_violations& aViolations)
{
  return { { "lost", aViolations.mLost },
           { "doubled", aViolations.mDuplicates },
           { "mixed_up", aViolations.mMismatches },
           { "cut", aViolations.mIncomplete } };
}

template<class Item>
json::array JsonArray(const std::vector<Item>& aItems)
{
  json::array all;
  for (const Item& item : aItems) {
    all.push_back(Json(item));
  }
  return all;
}

json::object OutcomeCounts(const load_summary& aSummary)
{
  json::object counts;
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    counts[TextOf(static_cast<call_outcome>(i))] = aSummary.mOutcomes[i];
  }
  return counts;
}

} // namespace

std::string ReportJson(const load_summary& aSummary)
{
  json::object report;
  report["length_us"] = aSummary.mLength.count();
  report["sent"] = aSummary.mSent;
  report["ends"] = OutcomeCounts(aSummary);
  report["resumed"] = aSummary.mResumed;
  report["sent_again"] = aSummary.mRetried;
  report["whole_per_second"] = aSummary.mCompletePerSecond;
  report["tokens_per_second"] = aSummary.mTokensPerSecond;
  report["first_token"] = Json(aSummary.mFirstToken);
  report["between_tokens"] = Json(aSummary.mGap);
  report["whole_stream"] = Json(aSummary.mTotals[static_cast<std::size_t>(call_kind::Stream)]);
  report["whole_plain"] = Json(aSummary.mTotals[static_cast<std::size_t>(call_kind::Plain)]);
  report["whole_booking"] = Json(aSummary.mTotals[static_cast<std::size_t>(call_kind::Booking)]);
  report["whole_lookup"] = Json(aSummary.mTotals[static_cast<std::size_t>(call_kind::Lookup)]);
  report["workspaces"] = JsonArray(aSummary.mWorkspaces);
  report["fairness"] = aSummary.mFairness;
  report["seconds"] = JsonArray(aSummary.mSeconds);
  report["promises"] = Json(aSummary.mViolations);
  report["examples"] = json::value_from(aSummary.mExamples);
  return json::serialize(report) + "\n";
}

} // namespace chervilpulley::cli
