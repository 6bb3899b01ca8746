#include "table.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <numeric>

namespace bench {

double sample_set::Mean() const
{
  return std::accumulate(mValues.begin(), mValues.end(), 0.0) / static_cast<double>(mValues.size());
}

double sample_set::Min() const
{
  return *std::min_element(mValues.begin(), mValues.end());
}

double sample_set::Max() const
{
  return *std::max_element(mValues.begin(), mValues.end());
}

void table::Add(row aRow)
{
  mRows.push_back(std::move(aRow));
}

void table::Print() const
{
  std::printf(
    "%-10s %-24s %-26s %-26s %10s %10s %10s\n", "decision", "scenario", "variant", "figure", "mean", "least", "most");
  for (const row& r : mRows) {
    std::printf("%-10s %-24s %-26s %-26s %10.3f %10.3f %10.3f\n",
                r.mDecision.c_str(),
                r.mScenario.c_str(),
                r.mVariant.c_str(),
                r.mFigure.c_str(),
                r.mSamples.Mean(),
                r.mSamples.Min(),
                r.mSamples.Max());
  }
}

void table::WriteJson(const std::string& aFile, const std::vector<unsigned>& aSeeds) const
{
  boost::json::array rows;
  for (const row& r : mRows) {
    rows.push_back({ { "decision", r.mDecision },
                     { "scenario", r.mScenario },
                     { "variant", r.mVariant },
                     { "figure", r.mFigure },
                     { "higher_is_better", r.mHigherIsBetter },
                     { "mean", r.mSamples.Mean() },
                     { "least", r.mSamples.Min() },
                     { "most", r.mSamples.Max() },
                     { "samples", r.mSamples.mValues.size() } });
  }
  boost::json::object document{ { "seeds", boost::json::value_from(aSeeds) }, { "rows", std::move(rows) } };
  std::ofstream(aFile) << boost::json::serialize(document) << "\n";
}

} // namespace bench
