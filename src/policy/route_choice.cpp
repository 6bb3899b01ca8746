#include "policy/route_choice.h"

#include <algorithm>
#include <cmath>

namespace chervilpulley::policy {

namespace {

/// Age at which a report has half its weight.
constexpr duration kReportHalfLife = std::chrono::seconds(16);
/// Fraction of its full share of the traffic that a new instance gets initially.
constexpr double kSlowStartFloor = 0.1;
/// Costs that differ by at most this fraction are treated as equal.
constexpr double kTieFraction = 0.02;
/// Assumed step time of an instance that has not reported one.
constexpr duration kUnknownStep = std::chrono::milliseconds(30);
/// Assumed number of batch slots of an instance that has not reported it.
constexpr double kUnknownSlots = 16.0;
/// Number of requests by which a reported load may be off.
constexpr double kLoadUncertainty = 1.0;
/// Argument above which the smoothed wait equals the linear one.
constexpr double kSmoothRange = 30.0;
constexpr double kRandomRange = 18446744073709551616.0; // 2^64

std::uint64_t Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

/// Element aIndex of the random sequence that the pair seeds, in [0, 1).
double Draw(random_pair aRandom, std::size_t aIndex)
{
  const std::uint64_t bits = aIndex == 0 ? aRandom.mFirst : Mix(aRandom.mSecond + aIndex * 0x9e3779b97f4a7c15ULL);
  return static_cast<double>(bits) / kRandomRange;
}

double RampUp(const route_candidate& aCandidate)
{
  if (!aCandidate.mJoinedFor || *aCandidate.mJoinedFor >= kSlowStartTime) {
    return 1.0;
  }
  const double share =
    static_cast<double>(aCandidate.mJoinedFor->count()) / static_cast<double>(kSlowStartTime.count());
  return std::max(kSlowStartFloor, share);
}

/// Step time, scaled up while the instance is ramped up.
double EffectiveStep(const route_candidate& aCandidate)
{
  const duration step = aCandidate.mStep.count() > 0 ? aCandidate.mStep : kUnknownStep;
  return static_cast<double>(step.count()) / RampUp(aCandidate);
}

double UncachedTokens(const route_candidate& aCandidate, const route_request& aRequest)
{
  if (aCandidate.mPreferred || aCandidate.mCachedTokens.Value() >= aRequest.mPromptTokens.Value()) {
    return 0.0;
  }
  return static_cast<double>(aRequest.mPromptTokens.Value() - aCandidate.mCachedTokens.Value());
}

/// Expected wait of one more request for a free batch slot, in microseconds, when there are aLoad others. It is
/// smoothed around the last free slot, because the requests that others have sent since the report are unknown.
double Wait(double aLoad, double aSlots, double aStep, double aSteps)
{
  const double perRequest = aSteps * aStep / aSlots;
  const double waiting = (aLoad + 1.0 - aSlots) / kLoadUncertainty;
  const double smoothed = waiting > kSmoothRange ? waiting : std::log1p(std::exp(waiting));
  return perRequest * kLoadUncertainty * smoothed;
}

double Slots(std::uint32_t aSlots)
{
  return aSlots > 0 ? aSlots : kUnknownSlots;
}

double Load(const route_candidate& aCandidate)
{
  return static_cast<double>(aCandidate.mQueued) + aCandidate.mRunning;
}

double Speed(const route_candidate& aCandidate)
{
  return Slots(aCandidate.mSlots) / EffectiveStep(aCandidate);
}

/// Time from the candidate's first output to that of the last stage, according to its report; 0 when unknown.
double Downstream(const route_candidate& aCandidate)
{
  const double slots = Slots(aCandidate.mSlots);
  const auto step = static_cast<double>(aCandidate.mStep.count());
  const double own = step + Wait(Load(aCandidate), slots, step, kTypicalSteps);
  return std::max(0.0, static_cast<double>(aCandidate.mCostToGo.count()) - own);
}

double Cost(const route_candidate& aCandidate, const route_request& aRequest, const route_fallback& aFallback)
{
  const double halfLife = static_cast<double>(kReportHalfLife.count());
  const double trust = halfLife / (halfLife + static_cast<double>(aCandidate.mReportAge.count()));
  const double slots = Slots(aCandidate.mSlots);
  const double step = EffectiveStep(aCandidate);
  const double reported = trust * Load(aCandidate) + (1.0 - trust) * aFallback.mLoadPerSlot * slots;
  const double wait = Wait(reported + aCandidate.mInFlightSinceReport, slots, step, aRequest.mSteps);
  const double prefill =
    static_cast<double>(aCandidate.mPrefillPerToken.count()) * UncachedTokens(aCandidate, aRequest);
  const double downstream = aCandidate.mCostToGo.count() > 0 ? Downstream(aCandidate) : aFallback.mMaxDownstream;
  return static_cast<double>(aCandidate.mLinkDelay.count()) + wait + prefill + step + downstream;
}

/// Sum of the speeds of the eligible candidates; 0 when there is none.
double TotalSpeed(std::span<const route_candidate> aCandidates, const route_request& aRequest)
{
  double speed = 0.0;
  for (const route_candidate& candidate : aCandidates) {
    speed += IsEligible(candidate, aRequest) ? Speed(candidate) : 0.0;
  }
  return speed;
}

/// The eligible candidate, other than aExcept, at aPoint on the cumulative sum of the speeds.
std::optional<std::size_t> AtSpeedPoint(std::span<const route_candidate> aCandidates,
                                        const route_request& aRequest,
                                        std::optional<std::size_t> aExcept,
                                        double aPoint)
{
  std::optional<std::size_t> last;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (aExcept == i || !IsEligible(aCandidates[i], aRequest)) {
      continue;
    }
    last = i;
    aPoint -= Speed(aCandidates[i]);
    if (aPoint < 0.0) {
      break;
    }
  }
  return last;
}

std::uint64_t InFlightOfDomain(std::span<const route_candidate> aCandidates, const failure_domain_id& aDomain)
{
  std::uint64_t total = 0;
  for (const route_candidate& candidate : aCandidates) {
    if (candidate.mFailureDomain == aDomain) {
      total += candidate.mInFlight;
    }
  }
  return total;
}

/// Keeps the cheapest of the candidates passed to Consider().
class cheapest_route
{
public:
  cheapest_route(std::span<const route_candidate> aCandidates,
                 const route_request& aRequest,
                 const route_fallback& aFallback)
    : mCandidates(aCandidates)
    , mRequest(aRequest)
    , mFallback(aFallback)
  {
  }
  void Consider(std::size_t aIndex)
  {
    if (mBest == aIndex) {
      return;
    }
    const double cost = Cost(mCandidates[aIndex], mRequest, mFallback);
    if (!mBest || IsBetter(aIndex, cost)) {
      mBest = aIndex;
      mCost = cost;
    }
  }
  std::optional<std::size_t> Best() const { return mBest; }

private:
  bool IsBetter(std::size_t aIndex, double aCost) const
  {
    const route_candidate& best = mCandidates[*mBest];
    const route_candidate& other = mCandidates[aIndex];
    const bool tie = std::abs(aCost - mCost) <= kTieFraction * std::min(aCost, mCost);
    if (!tie || best.mFailureDomain == other.mFailureDomain) {
      return aCost < mCost;
    }
    return InFlightOfDomain(mCandidates, other.mFailureDomain) < InFlightOfDomain(mCandidates, best.mFailureDomain);
  }

  std::span<const route_candidate> mCandidates;
  const route_request& mRequest;
  route_fallback mFallback;
  std::optional<std::size_t> mBest;
  double mCost = 0.0;
};

/// Considers all candidates that hold a state or a cached prefix of the request.
void ConsiderHolders(std::span<const route_candidate> aCandidates,
                     const route_request& aRequest,
                     cheapest_route& aCheapest)
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const route_candidate& candidate = aCandidates[i];
    if ((candidate.mPreferred || candidate.mCachedTokens.Value() > 0) && IsEligible(candidate, aRequest)) {
      aCheapest.Consider(i);
    }
  }
}

} // namespace

bool IsEligible(const route_candidate& aCandidate, const route_request& aRequest)
{
  if (aCandidate.mLeaving || aCandidate.mAvoid || !aCandidate.mBackendUp) {
    return false;
  }
  const std::uint64_t layer = aRequest.mFirstLayer.Value();
  return aCandidate.mFirstLayer.Value() <= layer && layer <= aCandidate.mLastLayer.Value();
}

route_fallback FallbackFor(std::span<const route_candidate> aCandidates, const route_request& aRequest)
{
  route_fallback fallback;
  double load = 0.0;
  double slots = 0.0;
  for (const route_candidate& candidate : aCandidates) {
    if (IsEligible(candidate, aRequest)) {
      load += Load(candidate);
      slots += Slots(candidate.mSlots);
      fallback.mMaxDownstream = std::max(fallback.mMaxDownstream, Downstream(candidate));
    }
  }
  fallback.mLoadPerSlot = slots > 0.0 ? load / slots : 0.0;
  return fallback;
}

duration ExpectedCost(const route_candidate& aCandidate, const route_request& aRequest, const route_fallback& aFallback)
{
  return duration(static_cast<duration::rep>(Cost(aCandidate, aRequest, aFallback)));
}

std::optional<std::size_t> ChooseRoute(std::span<const route_candidate> aCandidates,
                                       const route_request& aRequest,
                                       random_pair aRandom,
                                       std::size_t aChoices)
{
  const double speed = TotalSpeed(aCandidates, aRequest);
  if (speed <= 0.0) {
    return std::nullopt;
  }
  cheapest_route cheapest(aCandidates, aRequest, FallbackFor(aCandidates, aRequest));
  for (std::size_t i = 0; i < std::max<std::size_t>(aChoices, 2); ++i) {
    const std::optional<std::size_t> best = cheapest.Best();
    const double range = speed - (best ? Speed(aCandidates[*best]) : 0.0);
    if (auto drawn = AtSpeedPoint(aCandidates, aRequest, best, Draw(aRandom, i) * range)) {
      cheapest.Consider(*drawn);
    }
  }
  ConsiderHolders(aCandidates, aRequest, cheapest);
  return cheapest.Best();
}

std::optional<duration> CostToGo(const stage_load& aOwn, std::span<const route_candidate> aSuccessors)
{
  const auto step = static_cast<double>(aOwn.mStep.count());
  const double load = static_cast<double>(aOwn.mQueued) + aOwn.mRunning;
  const double own = step + Wait(load, Slots(aOwn.mSlots), step, kTypicalSteps);
  if (aOwn.mLastLayer.Value() + 1 >= aOwn.mLayerCount) {
    return duration(static_cast<duration::rep>(own));
  }
  const route_request next{ aOwn.mLastLayer.Next(), token_count() };
  const route_fallback fallback = FallbackFor(aSuccessors, next);
  std::optional<double> minimum;
  for (const route_candidate& successor : aSuccessors) {
    if (IsEligible(successor, next)) {
      const double cost = Cost(successor, next, fallback);
      minimum = minimum ? std::min(*minimum, cost) : cost;
    }
  }
  if (!minimum) {
    return std::nullopt;
  }
  return duration(static_cast<duration::rep>(own + *minimum));
}

} // namespace chervilpulley::policy
