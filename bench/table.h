#pragma once

#include <string>
#include <vector>

/// Rows of the measured table, on the terminal and as JSON.
namespace bench {

/// Figures of one variant over several seeds.
struct sample_set
{
  std::vector<double> mValues;

  void Add(double aValue) { mValues.push_back(aValue); }
  double Mean() const;
  double Least() const;
  double Most() const;
};

/// One measured figure of one variant in one scenario.
struct row
{
  std::string mDecision; ///< what decides, such as "route"
  std::string mScenario; ///< size and load
  std::string mVariant;  ///< "chervilpulley", or the baseline's name
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
