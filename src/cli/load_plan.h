#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chervilpulley/units.h"

/// What the load tool sends, and when. Arrivals are open-loop: they do not wait for answers. The same options and seed
/// give the same plan.
namespace chervilpulley::cli {

/// Kinds of calls.
enum class call_kind
{
  Stream,  ///< a completion, streamed
  Plain,   ///< a completion, whole
  Booking, ///< a call with an Idempotency-Key that must run at most once
  Lookup   ///< an idempotent call of a plain service
};
inline constexpr std::size_t kCallKinds = 4;

/// Shares of the kinds; they need not add up to 1.
struct call_mix
{
  double mStream = 0.6;
  double mPlain = 0.2;
  double mBooking = 0.1;
  double mLookup = 0.1;
};

/// Times of a higher rate that come again and again.
struct load_bursts
{
  double mFactor = 1;                            ///< rate in a burst against the rate outside; 1 is no bursts
  duration mInterval = std::chrono::seconds(10); ///< from the start of one to the start of the next
  duration mLength = std::chrono::seconds(1);
};

struct load_options
{
  double mRate = 20; ///< calls a second, outside of bursts
  duration mLength = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
  load_bursts mBursts;
  call_mix mMix;
  std::size_t mWorkspaces = 1;
  std::size_t mEntries = 1;
  std::size_t mPrefixes = 8; ///< beginnings that prompts share
  std::size_t mPrefixWords = 64;
  std::size_t mSuffixes = 32;    ///< different endings to each beginning
  std::uint32_t mMaxTokens = 32; ///< most tokens of an answer; drawn from half of it upwards
  double mRetryShare = 0.3;      ///< bookings that are sent a second time, to another entry
  std::string mRunId;            ///< stands in idempotency keys, so that two runs do not meet
};

/// One call to send.
struct planned_call
{
  duration mAt{ 0 }; ///< since the start
  call_kind mKind = call_kind::Stream;
  std::size_t mWorkspace = 0;
  std::size_t mEntry = 0;
  std::string mPrompt;
  std::uint32_t mMaxTokens = 0;
  std::string mKey; ///< idempotency key of a booking
};

/// Gives calls in the order of their times.
class load_plan
{
public:
  explicit load_plan(load_options aOptions);
  /// The next call; nothing when the time is over.
  std::optional<planned_call> Next();

private:
  double Uniform();
  std::size_t Below(std::size_t aLimit);
  double RateAt(duration aTime) const;
  void Advance();
  call_kind DrawKind();
  std::string DrawPrompt();
  planned_call Draw();
  void PlanRepeat(const planned_call& aBooking);
  std::optional<planned_call> TakeRepeat();

  const load_options mOptions;
  std::mt19937_64 mRandom;
  duration mNow{ 0 };
  std::uint64_t mBookings = 0;
  std::deque<planned_call> mRepeats; ///< in order of their times
};

} // namespace chervilpulley::cli
