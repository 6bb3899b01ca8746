#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/load_plan.h"

/// What became of each call, and which promises were broken as far as a caller can see.
namespace chervilpulley::cli {

/// How a call ended.
enum class call_outcome
{
  Complete,  ///< with the whole answer
  NotRun,    ///< with the answer that it was not run
  Unknown,   ///< with the answer that it may have run
  Failed,    ///< with another error
  Lost,      ///< without any answer
  Incomplete ///< with a part of the answer
};
inline constexpr std::size_t kCallOutcomes = 6;
const char* TextOf(call_outcome aEnd);

/// A call that is over.
struct call_record
{
  call_kind mKind = call_kind::Stream;
  std::size_t mWorkspace = 0;
  call_outcome mOutcome = call_outcome::Lost;
  duration mStart{ 0 };      ///< since the start of the load
  duration mTotal{ 0 };      ///< until the end of the answer
  duration mFirstToken{ 0 }; ///< of a stream that brought a token
  std::uint32_t mTokens = 0;
  std::uint32_t mRequestedTokens = 0;
};

/// Broken promises.
struct guarantee_violations
{
  std::uint64_t mLost = 0;       ///< calls that were never answered
  std::uint64_t mDuplicates = 0; ///< tokens that came twice, and keys with two different results
  std::uint64_t mMismatches = 0; ///< answers, or tokens, of another request or out of order
  std::uint64_t mIncomplete = 0; ///< answers that are not whole
  std::uint64_t Total() const { return mLost + mDuplicates + mMismatches + mIncomplete; }
};

/// Collects records; for one thread.
class load_results
{
public:
  /// @param aSameAnswers the same prompt must always give the same tokens.
  explicit load_results(bool aSameAnswers);

  void Add(const call_record& aRecord);
  void AddGap(duration aGap) { mGaps.push_back(aGap); }
  void AddResumed() { ++mResumed; }
  void AddRetried() { ++mRetried; }
  /// A booking with this key got this result; another result under the same key is a doubled booking.
  void AddBooking(const std::string& aKey, const std::string& aResult);
  /// An answer to a prompt, whole or not; of two answers one must be the beginning of the other.
  void AddOutput(const std::string& aPrompt, const std::string& aText);
  void AddDuplicates(std::uint64_t aCount, const std::string& aExample);
  void AddMismatch(const std::string& aExample);
  void AddExample(const std::string& aText);

  const std::vector<call_record>& Records() const { return mRecords; }
  const std::vector<duration>& Gaps() const { return mGaps; }
  const guarantee_violations& Violations() const { return mViolations; }
  const std::vector<std::string>& Examples() const { return mExamples; }
  std::uint64_t Resumed() const { return mResumed; }
  std::uint64_t Retried() const { return mRetried; }
  std::uint64_t Count(call_outcome aEnd) const { return mCounts[static_cast<std::size_t>(aEnd)]; }

private:
  const bool mSameAnswers;
  std::vector<call_record> mRecords;
  std::vector<duration> mGaps; ///< between tokens of streams
  std::array<std::uint64_t, kCallOutcomes> mCounts{};
  guarantee_violations mViolations;
  std::vector<std::string> mExamples;
  std::map<std::string, std::string> mBookings; ///< result of each key
  std::map<std::string, std::string> mAnswers;  ///< longest answer to each prompt
  std::uint64_t mResumed = 0;
  std::uint64_t mRetried = 0;
};

} // namespace chervilpulley::cli
