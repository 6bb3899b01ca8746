#include "cli/load_ledger.h"

#include <fmt/format.h>

namespace chervilpulley::cli {

namespace {

/// Faults that are told in words.
constexpr std::size_t kMaxExamples = 20;

bool IsBeginning(const std::string& aShort, const std::string& aLong)
{
  return aLong.compare(0, aShort.size(), aShort) == 0;
}

} // namespace

const char* TextOf(call_end aEnd)
{
  switch (aEnd) {
    case call_end::Whole:
      return "whole";
    case call_end::NotRun:
      return "not_run";
    case call_end::Unknown:
      return "unknown";
    case call_end::Failed:
      return "failed";
    case call_end::Lost:
      return "lost";
    case call_end::Cut:
      return "cut";
  }
  return "";
}

load_ledger::load_ledger(bool aSameAnswers)
  : mSameAnswers(aSameAnswers)
{
}

void load_ledger::Add(const call_record& aRecord)
{
  mRecords.push_back(aRecord);
  ++mCounts[static_cast<std::size_t>(aRecord.mEnd)];
  mFaults.mLost += aRecord.mEnd == call_end::Lost ? 1 : 0;
  mFaults.mCut += aRecord.mEnd == call_end::Cut ? 1 : 0;
}

void load_ledger::AddBooking(const std::string& aKey, const std::string& aResult)
{
  const auto [found, isNew] = mBookings.emplace(aKey, aResult);
  if (!isNew && found->second != aResult) {
    AddDoubled(1, fmt::format("key \"{}\" has two different results", aKey));
  }
}

void load_ledger::AddAnswer(const std::string& aPrompt, const std::string& aText)
{
  if (!mSameAnswers) {
    return;
  }
  std::string& longest = mAnswers[aPrompt];
  const bool isLonger = aText.size() > longest.size();
  const bool fits = isLonger ? IsBeginning(longest, aText) : IsBeginning(aText, longest);
  if (!fits) {
    AddMixedUp("the same prompt got two different answers");
  } else if (isLonger) {
    longest = aText;
  }
}

void load_ledger::AddDoubled(std::uint64_t aCount, const std::string& aExample)
{
  mFaults.mDoubled += aCount;
  AddExample(aExample);
}

void load_ledger::AddMixedUp(const std::string& aExample)
{
  ++mFaults.mMixedUp;
  AddExample(aExample);
}

void load_ledger::AddExample(const std::string& aText)
{
  if (mExamples.size() < kMaxExamples) {
    mExamples.push_back(aText);
  }
}

} // namespace chervilpulley::cli
