#include "cli/load_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilpulley::cli {

namespace {

/// Longest time between a booking and its repeat.
constexpr duration kMaxRepeatDelay = std::chrono::milliseconds(800);
/// One in so many repeats is sent at the same moment as the booking itself.
constexpr std::size_t kImmediateRepeats = 4;

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

/// In (0, 1]; made here because the standard's distributions differ from library to library.
double load_plan::Uniform()
{
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>((mRandom() >> (64 - kMantissaBits)) + 1), -kMantissaBits);
}

std::size_t load_plan::Below(std::size_t aLimit)
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

/// Goes to the next arrival of a Poisson process whose rate changes, by thinning one of the highest rate.
void load_plan::Advance()
{
  const double highest = mOptions.mRate * std::max(1.0, mOptions.mBursts.mFactor);
  do {
    mNow += Seconds(-std::log(Uniform()) / highest);
  } while (mNow < mOptions.mLength && Uniform() * highest > RateAt(mNow));
}

call_kind load_plan::DrawKind()
{
  const call_mix& mix = mOptions.mMix;
  double at = Uniform() * (mix.mStream + mix.mPlain + mix.mBooking + mix.mLookup);
  if ((at -= mix.mStream) <= 0) {
    return call_kind::Stream;
  }
  if ((at -= mix.mPlain) <= 0) {
    return call_kind::Plain;
  }
  return (at -= mix.mBooking) <= 0 ? call_kind::Booking : call_kind::Lookup;
}

std::string load_plan::DrawPrompt()
{
  const std::size_t prefix = Below(mOptions.mPrefixes);
  std::string prompt = fmt::format("Prefix {}:", prefix);
  for (std::size_t i = 0; i < mOptions.mPrefixWords; ++i) {
    prompt += ' ';
    prompt += kWords[(prefix + i * (prefix + 1)) % kWords.size()];
  }
  return prompt + fmt::format(" Note {}.", Below(mOptions.mSuffixes));
}

planned_call load_plan::Draw()
{
  planned_call call;
  call.mAt = mNow;
  call.mKind = DrawKind();
  call.mWorkspace = Below(mOptions.mWorkspaces);
  call.mEntry = Below(mOptions.mEntries);
  if (call.mKind == call_kind::Stream || call.mKind == call_kind::Plain) {
    call.mPrompt = DrawPrompt();
    const std::uint32_t least = std::max(1U, mOptions.mMaxTokens / 2);
    call.mMaxTokens = least + static_cast<std::uint32_t>(Below(mOptions.mMaxTokens - least + 1));
  }
  if (call.mKind == call_kind::Booking) {
    call.mKey = fmt::format("load-{}-{}-{}", mOptions.mRunId, mOptions.mSeed, ++mBookings);
  }
  return call;
}

void load_plan::PlanRepeat(const planned_call& aBooking)
{
  if (Uniform() > mOptions.mRetryShare) {
    return;
  }
  planned_call repeat = aBooking;
  repeat.mEntry = (aBooking.mEntry + 1) % std::max<std::size_t>(1, mOptions.mEntries);
  if (Below(kImmediateRepeats) != 0) {
    repeat.mAt += Seconds(Uniform() * std::chrono::duration<double>(kMaxRepeatDelay).count());
  }
  const auto later = [](const planned_call& aLeft, const planned_call& aRight) { return aLeft.mAt < aRight.mAt; };
  mRepeats.insert(std::upper_bound(mRepeats.begin(), mRepeats.end(), repeat, later), repeat);
}

std::optional<planned_call> load_plan::TakeRepeat()
{
  if (mRepeats.empty()) {
    return std::nullopt;
  }
  planned_call repeat = std::move(mRepeats.front());
  mRepeats.pop_front();
  return repeat;
}

std::optional<planned_call> load_plan::Next()
{
  const bool isOver = mNow >= mOptions.mLength;
  if (isOver || (!mRepeats.empty() && mRepeats.front().mAt <= mNow)) {
    return TakeRepeat();
  }
  planned_call call = Draw();
  Advance();
  if (call.mKind == call_kind::Booking) {
    PlanRepeat(call);
  }
  return call;
}

} // namespace chervilpulley::cli
