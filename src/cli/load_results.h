#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cli/load_plan.h"

/// Records the outcome of each call and counts violated guarantees, as far as a caller can observe them: lost calls,
/// duplicated or misdirected tokens, doubled bookings and incomplete responses.
namespace chervilpulley::cli {

/// Outcome of a call, as observed by the caller.
enum class call_outcome
{
  Complete,  ///< a complete response
  NotRun,    ///< an error saying that the call was not run
  Unknown,   ///< an error saying that the call may have run
  Failed,    ///< any other error
  Lost,      ///< no response at all
  Incomplete ///< only a part of the response
};
inline constexpr std::size_t kCallOutcomes = 6;
/// Name of an outcome in the reports, such as "whole" for Complete; scripts rely on these names.
const char* TextOf(call_outcome aOutcome);

/// A finished call.
struct call_record
{
  call_kind mKind = call_kind::Stream;
  std::size_t mWorkspace = 0;
  call_outcome mOutcome = call_outcome::Lost;
  duration mStart{ 0 };      ///< planned time, since the start of the load
  duration mTotal{ 0 };      ///< from the planned time to the end of the response
  duration mFirstToken{ 0 }; ///< from the planned time to the first token; for streams with at least one token
  std::uint32_t mTokens = 0;
  std::uint32_t mRequestedTokens = 0;
};

/// Counts of violated guarantees.
struct guarantee_violations
{
  std::uint64_t mLost = 0;       ///< calls without any response
  std::uint64_t mDuplicates = 0; ///< tokens received twice, and idempotency keys with two different results
  std::uint64_t mMismatches = 0; ///< responses or tokens of another request, or out of order
  std::uint64_t mIncomplete = 0; ///< responses that are not complete
  std::uint64_t Total() const { return mLost + mDuplicates + mMismatches + mIncomplete; }
};

/// Collects the records of one load run. Not thread-safe.
class load_results
{
public:
  /// @param aSameOutputs whether different outputs for the same prompt count as a mismatch.
  explicit load_results(bool aSameOutputs);

  void Add(const call_record& aRecord);
  /// Records the time between two tokens of a stream.
  void AddGap(duration aGap) { mGaps.push_back(aGap); }
  /// Counts a stream that is resumed after its connection broke.
  void AddResumed() { ++mResumed; }
  /// Counts a request that is retried after its connection broke.
  void AddRetried() { ++mRetried; }
  /// Records the result of a booking; a different result under the same key counts as a duplicate.
  void AddBooking(const std::string& aKey, const std::string& aResult);
  /// Records the output for a prompt, complete or not; of two outputs one must be a prefix of the other.
  void AddOutput(const std::string& aPrompt, const std::string& aText);
  void AddDuplicates(std::uint64_t aCount, const std::string& aExample);
  void AddMismatch(const std::string& aExample);
  /// Adds the description of a violation to the report, up to a limit.
  void AddExample(const std::string& aText);

  const std::vector<call_record>& Records() const { return mRecords; }
  const std::vector<duration>& Gaps() const { return mGaps; }
  const guarantee_violations& Violations() const { return mViolations; }
  const std::vector<std::string>& Examples() const { return mExamples; }
  std::uint64_t Resumed() const { return mResumed; }
  std::uint64_t Retried() const { return mRetried; }
  std::uint64_t Count(call_outcome aOutcome) const { return mCounts[static_cast<std::size_t>(aOutcome)]; }

private:
  const bool mSameOutputs;
  std::vector<call_record> mRecords;
  std::vector<duration> mGaps; ///< between tokens of streams
  std::array<std::uint64_t, kCallOutcomes> mCounts{};
  guarantee_violations mViolations;
  std::vector<std::string> mExamples;
  std::map<std::string, std::string> mBookings; ///< result by idempotency key
  std::map<std::string, std::string> mOutputs;  ///< longest output by prompt
  std::uint64_t mResumed = 0;
  std::uint64_t mRetried = 0;
};

} // namespace chervilpulley::cli
