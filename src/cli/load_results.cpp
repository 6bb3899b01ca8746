#include "cli/load_results.h"

#include <fmt/format.h>

namespace chervilpulley::cli {

namespace {

/// Violations that are described by an example in the report.
constexpr std::size_t kMaxExamples = 20;

bool IsPrefix(const std::string& aShort, const std::string& aLong)
{
  return aLong.compare(0, aShort.size(), aShort) == 0;
}

} // namespace

const char* TextOf(call_outcome aOutcome)
{
  switch (aOutcome) {
    case call_outcome::Complete:
      return "whole";
    case call_outcome::NotRun:
      return "not_run";
    case call_outcome::Unknown:
      return "unknown";
    case call_outcome::Failed:
      return "failed";
    case call_outcome::Lost:
      return "lost";
    case call_outcome::Incomplete:
      return "cut";
  }
  return "";
}

load_results::load_results(bool aSameOutputs)
  : mSameOutputs(aSameOutputs)
{
}

void load_results::Add(const call_record& aRecord)
{
  mRecords.push_back(aRecord);
  ++mCounts[static_cast<std::size_t>(aRecord.mOutcome)];
  mViolations.mLost += aRecord.mOutcome == call_outcome::Lost ? 1 : 0;
  mViolations.mIncomplete += aRecord.mOutcome == call_outcome::Incomplete ? 1 : 0;
}

void load_results::AddBooking(const std::string& aKey, const std::string& aResult)
{
  const auto [found, isNew] = mBookings.emplace(aKey, aResult);
  if (!isNew && found->second != aResult) {
    AddDuplicates(1, fmt::format("key \"{}\" has two different results", aKey));
  }
}

void load_results::AddOutput(const std::string& aPrompt, const std::string& aText)
{
  if (!mSameOutputs) {
    return;
  }
  std::string& longest = mOutputs[aPrompt];
  const bool isLonger = aText.size() > longest.size();
  const bool isPrefix = isLonger ? IsPrefix(longest, aText) : IsPrefix(aText, longest);
  if (!isPrefix) {
    AddMismatch("the same prompt got two different answers");
  } else if (isLonger) {
    longest = aText;
  }
}

void load_results::AddDuplicates(std::uint64_t aCount, const std::string& aExample)
{
  mViolations.mDuplicates += aCount;
  AddExample(aExample);
}

void load_results::AddMismatch(const std::string& aExample)
{
  ++mViolations.mMismatches;
  AddExample(aExample);
}

void load_results::AddExample(const std::string& aText)
{
  if (mExamples.size() < kMaxExamples) {
    mExamples.push_back(aText);
  }
}

} // namespace chervilpulley::cli
