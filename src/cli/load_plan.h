#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chervilpulley/units.h"

/// Plans which calls the load tool sends, and when. Arrivals are open-loop: they do not wait for responses, so that an
/// overloaded system does not slow down its own load. The same options and seed give the same plan.
namespace chervilpulley::cli {

/// Kinds of calls that the load tool sends.
enum class call_kind
{
  Stream,  ///< a completion, streamed
  Plain,   ///< a completion, not streamed
  Booking, ///< a call with an Idempotency-Key that must run at most once
  Lookup   ///< an idempotent call of a plain service
};
inline constexpr std::size_t kCallKinds = 4;

/// Relative weights of the kinds of calls; they need not add up to 1.
struct call_mix
{
  double mStream = 0.6;
  double mPlain = 0.2;
  double mBooking = 0.1;
  double mLookup = 0.1;
};

/// Periodic bursts with a higher rate.
struct load_bursts
{
  double mFactor = 1;                            ///< rate in a burst relative to the rate outside; 1 disables bursts
  duration mInterval = std::chrono::seconds(10); ///< from the start of one to the start of the next
  duration mLength = std::chrono::seconds(1);
};

/// Parameters of a load plan.
struct load_options
{
  double mRate = 20; ///< calls a second, outside of bursts
  duration mLength = std::chrono::seconds(10);
  std::uint64_t mSeed = 1;
  load_bursts mBursts;
  call_mix mMix;
  std::size_t mWorkspaces = 1;
  std::size_t mEntries = 1;
  std::size_t mPrefixes = 8; ///< number of distinct prompt prefixes
  std::size_t mPrefixWords = 64;
  std::size_t mSuffixes = 32;    ///< number of distinct suffixes of each prefix
  std::uint32_t mMaxTokens = 32; ///< upper limit of a completion's max_tokens, which is drawn from half of it upwards
  double mRetryShare = 0.3;      ///< share of bookings that are sent a second time, to another entry
  std::string mRunId;            ///< part of the idempotency keys, so that the keys of two runs differ
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

/// Generates calls in the order of their times.
class load_plan
{
public:
  explicit load_plan(load_options aOptions);
  /// The next call; nothing after the last one.
  std::optional<planned_call> Next();

private:
  double RandomUniform();
  std::size_t RandomBelow(std::size_t aLimit);
  double RateAt(duration aTime) const;
  void Advance();
  call_kind DrawKind();
  std::string DrawPrompt();
  planned_call Draw();
  void PlanRetry(const planned_call& aBooking);
  std::optional<planned_call> TakeRetry();

  const load_options mOptions;
  std::mt19937_64 mRandom;
  duration mNow{ 0 };
  std::uint64_t mBookings = 0;
  std::deque<planned_call> mRetries; ///< ordered by time
};

} // namespace chervilpulley::cli
