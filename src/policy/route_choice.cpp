#include "policy/route_choice.h"

#include <algorithm>
#include <limits>

namespace chervilpulley::policy {

namespace {

/// Age at which a report counts half.
constexpr duration kReportHalfLife = std::chrono::seconds(4);
/// Share of its traffic that a new instance gets at first.
constexpr double kSlowStartFloor = 0.1;
/// Costs that differ by less than this fraction are equal.
constexpr double kTieFraction = 0.02;
/// Step time of an instance that has reported none.
constexpr duration kUnknownStep = std::chrono::milliseconds(30);
constexpr double kRandomRange = 18446744073709551616.0; // 2^64

std::uint64_t Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

/// Number aIndex of the sequence that the pair stands for, in [0, 1).
double Draw(random_pair aRandom, std::size_t aIndex)
{
  const std::uint64_t bits = aIndex == 0 ? aRandom.mFirst : Mix(aRandom.mSecond + aIndex * 0x9e3779b97f4a7c15ULL);
  return static_cast<double>(bits) / kRandomRange;
}

double RampUp(const route_candidate& aCandidate)
{
  if (!aCandidate.mJoinedFor || *aCandidate.mJoinedFor >= kSlowStart) {
    return 1.0;
  }
  const double share = static_cast<double>(aCandidate.mJoinedFor->count()) / static_cast<double>(kSlowStart.count());
  return std::max(kSlowStartFloor, share);
}

/// Step time, longer while the instance is ramped up.
double EffectiveStep(const route_candidate& aCandidate)
{
  const duration step = aCandidate.mStep.count() > 0 ? aCandidate.mStep : kUnknownStep;
  return static_cast<double>(step.count()) / RampUp(aCandidate);
}

double ReportedCost(const route_candidate& aCandidate)
{
  const double own = EffectiveStep(aCandidate) * (1.0 + aCandidate.mQueued + aCandidate.mRunning);
  return std::max(own, static_cast<double>(aCandidate.mCostToGo.count()));
}

double UncachedTokens(const route_candidate& aCandidate, const route_request& aRequest)
{
  if (aCandidate.mPreferred || aCandidate.mCachedTokens.Value() >= aRequest.mPromptTokens.Value()) {
    return 0.0;
  }
  return static_cast<double>(aRequest.mPromptTokens.Value() - aCandidate.mCachedTokens.Value());
}

double Cost(const route_candidate& aCandidate, const route_request& aRequest, double aMeanCost)
{
  const double halfLife = static_cast<double>(kReportHalfLife.count());
  const double trust = halfLife / (halfLife + static_cast<double>(aCandidate.mReportAge.count()));
  const double reported = trust * ReportedCost(aCandidate) + (1.0 - trust) * aMeanCost;
  const double sentSince = EffectiveStep(aCandidate) * aCandidate.mInFlightSinceReport;
  const double prefill =
    static_cast<double>(aCandidate.mPrefillPerToken.count()) * UncachedTokens(aCandidate, aRequest);
  return static_cast<double>(aCandidate.mLinkDelay.count()) + reported + sentSince + prefill;
}

/// Sums over the eligible candidates.
struct candidate_totals
{
  std::size_t mCount = 0;
  double mSpeed = 0.0;
  double mCost = 0.0;
};

candidate_totals Total(std::span<const route_candidate> aCandidates, const route_request& aRequest)
{
  candidate_totals totals;
  for (const route_candidate& candidate : aCandidates) {
    if (IsEligible(candidate, aRequest)) {
      ++totals.mCount;
      totals.mSpeed += 1.0 / EffectiveStep(candidate);
      totals.mCost += ReportedCost(candidate);
    }
  }
  return totals;
}

/// The eligible candidate at a point of the range of all speeds laid end to end.
std::size_t AtSpeedPoint(std::span<const route_candidate> aCandidates, const route_request& aRequest, double aPoint)
{
  std::size_t last = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!IsEligible(aCandidates[i], aRequest)) {
      continue;
    }
    last = i;
    aPoint -= 1.0 / EffectiveStep(aCandidates[i]);
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

/// Keeps the cheapest of the candidates that it is shown.
class cheapest_route
{
public:
  cheapest_route(std::span<const route_candidate> aCandidates, const route_request& aRequest, double aMeanCost)
    : mCandidates(aCandidates)
    , mRequest(aRequest)
    , mMeanCost(aMeanCost)
  {
  }
  void Consider(std::size_t aIndex)
  {
    if (mBest == aIndex) {
      return;
    }
    const double cost = Cost(mCandidates[aIndex], mRequest, mMeanCost);
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
  double mMeanCost;
  std::optional<std::size_t> mBest;
  double mCost = 0.0;
};

/// Shows all that hold a state or a cached prefix of the request.
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

duration ExpectedCost(const route_candidate& aCandidate, const route_request& aRequest, duration aMeanCost)
{
  const double cost = Cost(aCandidate, aRequest, static_cast<double>(aMeanCost.count()));
  return duration(static_cast<duration::rep>(cost));
}

std::optional<std::size_t> ChooseRoute(std::span<const route_candidate> aCandidates,
                                       const route_request& aRequest,
                                       random_pair aRandom,
                                       std::size_t aChoices)
{
  const candidate_totals totals = Total(aCandidates, aRequest);
  if (totals.mCount == 0) {
    return std::nullopt;
  }
  cheapest_route cheapest(aCandidates, aRequest, totals.mCost / static_cast<double>(totals.mCount));
  for (std::size_t i = 0; i < std::max<std::size_t>(aChoices, 2); ++i) {
    cheapest.Consider(AtSpeedPoint(aCandidates, aRequest, Draw(aRandom, i) * totals.mSpeed));
  }
  ConsiderHolders(aCandidates, aRequest, cheapest);
  return cheapest.Best();
}

std::optional<duration> CostToGo(const stage_load& aOwn, std::span<const route_candidate> aSuccessors)
{
  const duration own = aOwn.mStep * (1 + aOwn.mQueued + aOwn.mRunning);
  if (aOwn.mLastLayer.Value() + 1 >= aOwn.mLayerCount) {
    return own;
  }
  const route_request next{ aOwn.mLastLayer.Next(), token_count() };
  std::optional<duration> least;
  for (const route_candidate& successor : aSuccessors) {
    if (!IsEligible(successor, next)) {
      continue;
    }
    const duration rest = successor.mLinkDelay + duration(static_cast<duration::rep>(ReportedCost(successor)));
    least = least ? std::min(*least, rest) : rest;
  }
  if (!least) {
    return std::nullopt;
  }
  return own + *least;
}

} // namespace chervilpulley::policy
