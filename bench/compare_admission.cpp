#include "comparisons.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "policy/admission_queue.h"

namespace bench {

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr double kSeconds = 900.0;
constexpr double kDeadline = 5.0;    // seconds to the first token
constexpr double kMeanCost = 240.0;  // tokens
constexpr double kFastRate = 1200.0; // tokens per second
constexpr double kSlowRate = 500.0;
constexpr double kMeanPhase = 12.0; // seconds in one state of arrivals or of service
constexpr std::size_t kCapacity = 128;

instant At(double aSeconds)
{
  return instant(duration(static_cast<duration::rep>(aSeconds * 1e6)));
}

/// Estimates the rate at which the queue drains.
struct estimator
{
  virtual ~estimator() = default;
  virtual void Drained(double aCost, double aBusySince, double aNow) = 0;
  virtual double PerSecond(double aNow) const = 0;
};

/// The estimator of the admission queue.
struct drain_estimator : estimator
{
  drain_rate mRate;
  void Drained(double aCost, double aBusySince, double aNow) override
  {
    mRate.Restarted(At(aBusySince));
    mRate.Drained(aCost, At(aNow));
  }
  double PerSecond(double) const override { return kForecastRateFraction * mRate.PerSecond(); }
};

/// Exponentially smoothed mean rate; an earlier version of drain_estimator.
struct mean_estimator : estimator
{
  double mTimeConstant;
  double mFactor;
  double mCost = 0.0;
  double mBusy = 0.0;
  mean_estimator(double aTimeConstant, double aFactor)
    : mTimeConstant(aTimeConstant)
    , mFactor(aFactor)
  {
  }
  void Drained(double aCost, double aBusySince, double aNow) override
  {
    const double decay = std::exp(-(aNow - aBusySince) / mTimeConstant);
    mCost = mCost * decay + aCost;
    mBusy = mBusy * decay + aNow - aBusySince;
  }
  double PerSecond(double) const override { return mBusy > 0.2 ? mFactor * mCost / mBusy : 0.0; }
};

/// Lowest rate of several windows, after the worst case over monitoring windows in MEAD (Russo Russo et al.).
struct worst_window_estimator : estimator
{
  mean_estimator mShort{ 2.0, 1.0 };
  mean_estimator mLong{ 10.0, 1.0 };
  void Drained(double aCost, double aBusySince, double aNow) override
  {
    mShort.Drained(aCost, aBusySince, aNow);
    mLong.Drained(aCost, aBusySince, aNow);
  }
  double PerSecond(double aNow) const override { return std::min(mShort.PerSecond(aNow), mLong.PerSecond(aNow)); }
};

/// Mean drain rate, lowered by the burstiness of the work: the waiting time of a queue with correlated arrivals exceeds
/// the mean by the index of dispersion.
struct dispersion_estimator : estimator
{
  mean_estimator mMean{ 2.0, 1.0 };
  double mSum = 0.0;
  double mSquares = 0.0;
  double mBlock = 0.0;
  double mBlockEnd = 0.0;
  std::size_t mBlocks = 0;
  void Drained(double aCost, double aBusySince, double aNow) override
  {
    mMean.Drained(aCost, aBusySince, aNow);
    if (aNow > mBlockEnd) {
      mSum += mBlock;
      mSquares += mBlock * mBlock;
      ++mBlocks;
      mBlock = 0.0;
      mBlockEnd = aNow + 2.0;
    }
    mBlock += aCost;
  }
  double PerSecond(double aNow) const override
  {
    if (mBlocks < 5) {
      return mMean.PerSecond(aNow);
    }
    const double mean = mSum / static_cast<double>(mBlocks);
    const double variance = std::max(0.0, mSquares / static_cast<double>(mBlocks) - mean * mean);
    const double relative = std::min(0.5, std::sqrt(variance) / std::max(1.0, mean));
    return mMean.PerSecond(aNow) * (1.0 - relative);
  }
};

/// Never refuses: reports no rate.
struct no_estimator : estimator
{
  void Drained(double, double, double) override {}
  double PerSecond(double) const override { return 0.0; }
};

/// Results of one run.
struct admission_outcome
{
  double mInTime = 0.0;         ///< served in time, as a fraction of all offered
  double mLate = 0.0;           ///< admitted and late, as a fraction of all offered
  double mRefusedWrongly = 0.0; ///< refused but would have been in time, as a fraction of all offered
};

/// Rate that alternates between two values after exponentially distributed times.
class modulated_rate
{
public:
  modulated_rate(double aFirst, double aSecond, std::mt19937_64& aRandom)
    : mRates{ aFirst, aSecond }
    , mRandom(aRandom)
  {
  }
  double RateAt(double aNow)
  {
    while (aNow >= mEnd) {
      mState = 1 - mState;
      mEnd += std::exponential_distribution<double>(1.0 / kMeanPhase)(mRandom);
    }
    return mRates[mState];
  }

private:
  double mRates[2];
  std::mt19937_64& mRandom;
  int mState = 0;
  double mEnd = 0.0;
};

/// Simulates one server that serves one request after the other, at a rate that alternates between two values.
admission_outcome RunAdmission(estimator& aEstimator, double aLoad, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  std::mt19937_64 serviceRandom(aSeed + 1000);
  modulated_rate service(kFastRate, kSlowRate, serviceRandom);
  const double meanRate = (kFastRate + kSlowRate) / 2.0 * aLoad / kMeanCost;
  modulated_rate arrivals(1.7 * meanRate, 0.3 * meanRate, random);
  std::exponential_distribution<double> cost(1.0 / kMeanCost);
  struct queued_request
  {
    double mCost;
    double mArrived;
    bool mIsRefused; ///< kept in the queue to learn whether it would have been in time
  };
  std::deque<queued_request> queue;
  double backlog = 0.0;
  double freeAt = 0.0;
  admission_outcome outcome;
  double offered = 0.0;
  auto serveUntil = [&](double aNow) {
    while (!queue.empty() && freeAt <= aNow) {
      const queued_request next = queue.front();
      queue.pop_front();
      if (next.mIsRefused) {
        outcome.mRefusedWrongly += freeAt - next.mArrived <= kDeadline ? 1.0 : 0.0;
        continue;
      }
      backlog -= next.mCost;
      const double start = std::max(freeAt, next.mArrived);
      const bool inTime = start - next.mArrived <= kDeadline;
      outcome.mInTime += inTime ? 1.0 : 0.0;
      outcome.mLate += inTime ? 0.0 : 1.0;
      freeAt = start + next.mCost / service.RateAt(start);
      aEstimator.Drained(next.mCost, start, freeAt);
    }
  };
  for (double now = 0.0; now < kSeconds;) {
    now += std::exponential_distribution<double>(arrivals.RateAt(now))(random);
    serveUntil(now);
    const double tokens = 1.0 + cost(random);
    const double rate = aEstimator.PerSecond(now);
    const double inService = std::max(0.0, freeAt - now);
    const bool tooLate = rate > 0.0 && inService + backlog / rate > kDeadline;
    const bool refused = tooLate || queue.size() >= kCapacity;
    offered += 1.0;
    queue.push_back({ tokens, now, refused });
    backlog += refused ? 0.0 : tokens;
  }
  outcome.mInTime /= offered;
  outcome.mLate /= offered;
  outcome.mRefusedWrongly /= offered;
  return outcome;
}

template<class Make>
void AddRows(table& aTable, const std::string& aVariant, double aLoad, const seed_list& aSeeds, Make&& aMake)
{
  char scenario[64];
  std::snprintf(scenario, sizeof scenario, "bursts, load %.1f", aLoad);
  row inTime{ "admission", scenario, aVariant, "in time / offered", {}, true };
  row late{ "admission", scenario, aVariant, "admitted but late", {}, false };
  row wrong{ "admission", scenario, aVariant, "refused wrongly", {}, false };
  for (unsigned seed : aSeeds) {
    auto made = aMake();
    const admission_outcome outcome = RunAdmission(made, aLoad, seed);
    inTime.mSamples.Add(outcome.mInTime);
    late.mSamples.Add(outcome.mLate);
    wrong.mSamples.Add(outcome.mRefusedWrongly);
  }
  aTable.Add(inTime);
  aTable.Add(late);
  aTable.Add(wrong);
}

} // namespace

void CompareAdmission(table& aTable, const seed_list& aSeeds)
{
  for (double load : { 0.9, 1.5, 3.0 }) {
    AddRows(aTable, "chervilpulley", load, aSeeds, [] { return drain_estimator(); });
    AddRows(aTable, "no forecast", load, aSeeds, [] { return no_estimator(); });
    AddRows(aTable, "mean of 2 s", load, aSeeds, [] { return mean_estimator(2.0, 1.0); });
    AddRows(aTable, "mean of 2 s x 0.5", load, aSeeds, [] { return mean_estimator(2.0, 0.5); });
    AddRows(aTable, "mean of 10 s", load, aSeeds, [] { return mean_estimator(10.0, 1.0); });
    AddRows(aTable, "worst of 2, 10 s (MEAD)", load, aSeeds, [] { return worst_window_estimator(); });
    AddRows(aTable, "less dispersion (MEAD)", load, aSeeds, [] { return dispersion_estimator(); });
  }
}

} // namespace bench
