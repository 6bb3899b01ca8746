#include "cli/load_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilpulley::cli {

namespace {

/// Longest time between a booking and its retry.
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(800);
/// One in this many retries is sent at the same time as the booking itself.
constexpr std::size_t kRetriesPerImmediateRetry = 4;

constexpr std::array<std::string_view, 16> kWords{ "north",  "cable", "plate",  "slot",    "gate", "load",
                                                   "spring", "river", "bridge", "village", "list", "quote",
                                                   "survey", "lift",  "yard",   "tower" };

duration Seconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

load_plan::load_plan(load_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  Advance();
}

/// A random number in (0, 1]. Not a standard distribution, because their results differ between standard libraries.
double load_plan::RandomUniform()
{
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>((mRandom() >> (64 - kMantissaBits)) + 1), -kMantissaBits);
}

std::size_t load_plan::RandomBelow(std::size_t aLimit)
{
  return aLimit == 0 ? 0 : mRandom() % aLimit;
}

double load_plan::RateAt(duration aTime) const
{
  const load_bursts& bursts = mOptions.mBursts;
  if (bursts.mFactor <= 1 || bursts.mInterval.count() <= 0) {
    return mOptions.mRate;
  }
  return aTime % bursts.mInterval < bursts.mLength ? mOptions.mRate * bursts.mFactor : mOptions.mRate;
}

/// Advances to the next arrival of a Poisson process with varying rate, by thinning a process of the maximum rate.
void load_plan::Advance()
{
  const double maxRate = mOptions.mRate * std::max(1.0, mOptions.mBursts.mFactor);
  do {
    mNow += Seconds(-std::log(RandomUniform()) / maxRate);
  } while (mNow < mOptions.mLength && RandomUniform() * maxRate > RateAt(mNow));
}

call_kind load_plan::DrawKind()
{
  const call_mix& mix = mOptions.mMix;
  double remaining = RandomUniform() * (mix.mStream + mix.mPlain + mix.mBooking + mix.mLookup);
  if ((remaining -= mix.mStream) <= 0) {
    return call_kind::Stream;
  }
  if ((remaining -= mix.mPlain) <= 0) {
    return call_kind::Plain;
  }
  return (remaining -= mix.mBooking) <= 0 ? call_kind::Booking : call_kind::Lookup;
}

std::string load_plan::DrawPrompt()
{
  const std::size_t prefix = RandomBelow(mOptions.mPrefixes);
  std::string prompt = fmt::format("Prefix {}:", prefix);
  for (std::size_t i = 0; i < mOptions.mPrefixWords; ++i) {
    prompt += ' ';
    prompt += kWords[(prefix + i * (prefix + 1)) % kWords.size()];
  }
  return prompt + fmt::format(" Note {}.", RandomBelow(mOptions.mSuffixes));
}

planned_call load_plan::Draw()
{
  planned_call call;
  call.mAt = mNow;
  call.mKind = DrawKind();
  call.mWorkspace = RandomBelow(mOptions.mWorkspaces);
  call.mEntry = RandomBelow(mOptions.mEntries);
  if (call.mKind == call_kind::Stream || call.mKind == call_kind::Plain) {
    call.mPrompt = DrawPrompt();
    const std::uint32_t minTokens = std::max(1U, mOptions.mMaxTokens / 2);
    call.mMaxTokens = minTokens + static_cast<std::uint32_t>(RandomBelow(mOptions.mMaxTokens - minTokens + 1));
  }
  if (call.mKind == call_kind::Booking) {
    call.mKey = fmt::format("load-{}-{}-{}", mOptions.mRunId, mOptions.mSeed, ++mBookings);
  }
  return call;
}

void load_plan::PlanRetry(const planned_call& aBooking)
{
  if (RandomUniform() > mOptions.mRetryShare) {
    return;
  }
  planned_call retry = aBooking;
  retry.mEntry = (aBooking.mEntry + 1) % std::max<std::size_t>(1, mOptions.mEntries);
  if (RandomBelow(kRetriesPerImmediateRetry) != 0) {
    retry.mAt += Seconds(RandomUniform() * std::chrono::duration<double>(kMaxRetryDelay).count());
  }
  const auto isEarlier = [](const planned_call& aLeft, const planned_call& aRight) { return aLeft.mAt < aRight.mAt; };
  mRetries.insert(std::upper_bound(mRetries.begin(), mRetries.end(), retry, isEarlier), retry);
}

std::optional<planned_call> load_plan::TakeRetry()
{
  if (mRetries.empty()) {
    return std::nullopt;
  }
  planned_call retry = std::move(mRetries.front());
  mRetries.pop_front();
  return retry;
}

std::optional<planned_call> load_plan::Next()
{
  const bool hasEnded = mNow >= mOptions.mLength;
  if (hasEnded || (!mRetries.empty() && mRetries.front().mAt <= mNow)) {
    return TakeRetry();
  }
  planned_call call = Draw();
  Advance();
  if (call.mKind == call_kind::Booking) {
    PlanRetry(call);
  }
  return call;
}

} // namespace chervilpulley::cli
