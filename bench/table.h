#pragma once

#include <string>
#include <vector>

/// Table of measured results, printed to the terminal and written as JSON.
namespace bench {

/// Results of one variant, one for each seed.
struct sample_set
{
  std::vector<double> mValues;

  void Add(double aValue) { mValues.push_back(aValue); }
  double Mean() const;
  double Min() const;
  double Max() const;
};

/// One measured figure of one variant in one scenario.
struct row
{
  std::string mDecision; ///< name of the compared policy, such as "route"
  std::string mScenario; ///< size and load
  std::string mVariant;  ///< "chervilpulley" or the name of a baseline
  std::string mFigure;   ///< what is measured, with its unit
  sample_set mSamples;
  bool mHigherIsBetter = false;
};

/// Collects rows, prints them as one table, and writes them as JSON.
class table
{
public:
  void Add(row aRow);
  void Print() const;
  void WriteJson(const std::string& aFile, const std::vector<unsigned>& aSeeds) const;

private:
  std::vector<row> mRows;
};

} // namespace bench
