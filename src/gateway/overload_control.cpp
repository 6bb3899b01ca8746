#include "gateway/overload_control.h"

#include <algorithm>
#include <numeric>

#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

/// Run time of streams that is assumed before any has ended, and the weight (1/n) of a new value.
constexpr duration kInitialRunTime = std::chrono::seconds(3);
constexpr int kRunTimeDivisor = 32;
/// A caller that gives less than this share of the longest time that callers of its route gave recently is a retry.
constexpr double kRetryPatienceShare = 0.8;
/// Admitted fractions from here on count as all: the difference is rounding.
constexpr double kFullyAdmitted = 0.999;
/// Part of a stream that must fit into the quota. Streams start whole, so that on average half of one does not fit.
constexpr double kFittingPart = 0.5;
/// Time after which others hear of a change of this gateway's demand. Twice and four times that kept more back at 2.5
/// times the traffic that the engines have memory for.
constexpr duration kHearingTime = std::chrono::milliseconds(300);
/// A shortage has ended when capacity was not scarce for this time.
constexpr duration kScarcityHoldTime = std::chrono::seconds(1);
constexpr duration kMinRetryAfter = std::chrono::seconds(1);
/// A caller does not retry after this fraction (1/n) of its patience.
constexpr int kPatienceDivisor = 3;
/// Retries are spread over this part of the delay.
constexpr double kRetrySpread = 0.4;

double ValueOr0(const domain_tokens& aTokens, const failure_domain_id& aDomain)
{
  const auto found = aTokens.find(aDomain);
  return found == aTokens.end() ? 0 : found->second;
}

policy::rank_amounts WantedBy(const policy::gateway_demand& aDemand)
{
  policy::rank_amounts wanted = aDemand.mOthers;
  for (const policy::workspace_demand& each : aDemand.mLargest) {
    wanted[each.mRank] += each.mTokens;
  }
  return wanted;
}

policy::gateway_load LoadOf(const load_announcement& aAnnouncement)
{
  policy::gateway_load load;
  for (const auto& [domain, ofDomain] : aAnnouncement.mDomains) {
    load.mInUse += ofDomain.mInUse;
    for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
      load.mWanted[rank] += ofDomain.mWanted[rank];
    }
  }
  return load;
}

/// The load that is assumed of a gateway that was not heard of: the average of the known ones. Under scarcity, a
/// gateway that hears nobody so takes an equal share; while there is enough capacity, it rejects nothing.
policy::gateway_load AverageOf(const std::vector<policy::gateway_load>& aKnown)
{
  policy::gateway_load average;
  const auto count = static_cast<double>(aKnown.size());
  for (const policy::gateway_load& known : aKnown) {
    average.mInUse += known.mInUse / count;
    for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
      average.mWanted[rank] += known.mWanted[rank] / count;
    }
  }
  return average;
}

policy::gateway_demand DemandOf(const load_announcement& aAnnouncement)
{
  policy::gateway_demand demand;
  demand.mLargest = aAnnouncement.mLargest;
  demand.mOthers = LoadOf(aAnnouncement).mWanted;
  for (const policy::workspace_demand& each : demand.mLargest) {
    demand.mOthers[each.mRank] = std::max(0.0, demand.mOthers[each.mRank] - each.mTokens);
  }
  // The number is announced for all ranks together, which at most overestimates the others of one rank.
  demand.mWorkspaces.fill(static_cast<std::uint32_t>(aAnnouncement.mWorkspaces));
  return demand;
}

} // namespace

overload_control::overload_control(failure_domain_id aHome)
  : mHome(std::move(aHome))
  , mRunTime(kInitialRunTime)
{
  mState.mAdmitted.fill(1);
}

void overload_control::Arrived(const stream_demand& aStream, instant aNow)
{
  mMeter.Arrived(aStream.mRank, aStream.mWorkspace, aStream.mTokens, aNow);
}

void overload_control::Ran(duration aTime)
{
  mRunTime += (aTime - mRunTime) / kRunTimeDivisor;
}

bool overload_control::IsRetry(const route_name& aRoute, duration aPatience, instant aNow)
{
  policy::recent_maximum& longest = mPatience[aRoute];
  longest.Observed(aPatience, aNow);
  return aPatience < std::chrono::duration_cast<duration>(*longest.Longest(aNow) * kRetryPatienceShare);
}

/// The demand of all gateways, this one first.
std::vector<policy::gateway_demand> overload_control::Demands(const load_announcements& aOthers, instant aNow)
{
  std::vector<policy::gateway_demand> demands(1);
  std::vector<policy::workspace_demand> elsewhere;
  aOthers.ForEach(aNow, [&](const load_announcement& aAnnouncement, duration) {
    demands.push_back(DemandOf(aAnnouncement));
    elsewhere.insert(elsewhere.end(), aAnnouncement.mLargest.begin(), aAnnouncement.mLargest.end());
  });
  demands.front() = mMeter.Measure(kMaxAnnouncedWorkspaces, elsewhere, aNow);
  return demands;
}

void overload_control::Update(const pool_load& aLoad, const load_announcements& aOthers, instant aNow)
{
  std::vector<policy::gateway_demand> demands = Demands(aOthers, aNow);
  for (const stream_demand& stream : aLoad.mWaiting) {
    auto& largest = demands.front().mLargest;
    const auto found = std::find_if(largest.begin(), largest.end(), [&](const policy::workspace_demand& aDemand) {
      return aDemand.mRank == stream.mRank && aDemand.mWorkspace == stream.mWorkspace;
    });
    (found != largest.end() ? found->mTokens : demands.front().mOthers[stream.mRank]) += stream.mTokens;
  }
  policy::gateway_load own;
  own.mWanted = WantedBy(demands.front());
  mOwnInUse = aLoad.mInUse;
  mStarted = 0;
  for (const auto& [domain, tokens] : mOwnInUse) {
    own.mInUse += tokens;
  }
  std::vector<policy::gateway_load> loads{ own };
  mOthersInUse.clear();
  aOthers.ForEach(aNow, [&](const load_announcement& aAnnouncement, duration) {
    loads.push_back(LoadOf(aAnnouncement));
    for (const auto& [domain, ofDomain] : aAnnouncement.mDomains) {
      mOthersInUse[domain] += ofDomain.mInUse;
    }
  });
  const double capacity = aLoad.mCapacity * kAllocatedMemoryShare;
  if (loads.size() < aLoad.mGateways) {
    loads.resize(aLoad.mGateways, AverageOf(loads));
  }
  mAllocation = policy::AllocateCapacity(capacity, mRunTime, loads);
  for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
    mDemand[rank] = policy::MergeDemand(demands, rank);
    double arriving = mDemand[rank].mOthers;
    for (const policy::workspace_demand& each : mDemand[rank].mLargest) {
      arriving += each.mTokens;
    }
    mSplit[rank] = policy::SplitByWorkspace(mDemand[rank], arriving * mAllocation.AdmittedFraction(rank));
  }
  Announce(aLoad, own, demands.front());
  mState.mCapacity = capacity;
  mState.mInUse = mAllocation.mInUse;
  mState.mQuota = policy::QuotaOf(mAllocation, own, LimitStarts(OwnStarts(demands.front()), aNow));
  UpdateState(aNow);
}

/// Of what this gateway wants, what may start.
double overload_control::OwnStarts(const policy::gateway_demand& aDemand) const
{
  double starts = 0;
  for (const policy::workspace_demand& each : aDemand.mLargest) {
    starts += each.mTokens * Fraction(each.mRank, each.mWorkspace);
  }
  for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
    const bool isWhole = mAllocation.AdmittedFraction(rank) >= kFullyAdmitted;
    starts += aDemand.mOthers[rank] * (isWhole ? 1 : mSplit[rank].mOthersAdmitted);
  }
  return starts;
}

/// Under scarcity, limits this gateway's starts to those of the demand that the others have heard of, or to an equal
/// share. A burst often comes at many gateways at once: if each claimed what becomes free for its own before they heard
/// of each other's, all together would start many times that.
double overload_control::LimitStarts(double aStarts, instant aNow)
{
  mStarts.emplace_back(aNow, aStarts);
  while (aNow - mStarts.front().first > kHearingTime) {
    mStarts.pop_front();
  }
  if (!mAllocation.mIsScarce) {
    return aStarts;
  }
  const double all = std::accumulate(mAllocation.mStarts.begin(), mAllocation.mStarts.end(), 0.0);
  const auto least = std::min_element(
    mStarts.begin(), mStarts.end(), [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; });
  return std::min(aStarts, std::max(least->second, all / static_cast<double>(mAllocation.mGateways)));
}

/// Admitted fraction of the requests of a workspace in a rank.
double overload_control::Fraction(std::size_t aRank, policy::workspace_hash aWorkspace) const
{
  const double ofRank = mAllocation.AdmittedFraction(aRank);
  if (ofRank >= kFullyAdmitted || ofRank <= 0) {
    return ofRank > 0 ? 1 : 0;
  }
  return policy::AdmittedFraction(mDemand[aRank], mSplit[aRank], aWorkspace);
}

void overload_control::Announce(const pool_load& aLoad,
                                const policy::gateway_load& aOwn,
                                const policy::gateway_demand& aDemand)
{
  load_announcement own;
  own.mHome = mHome;
  own.mDomains[mHome].mWanted = aOwn.mWanted;
  for (const auto& [domain, tokens] : aLoad.mInUse) {
    own.mDomains[domain].mInUse = tokens;
  }
  own.mLargest = aDemand.mLargest;
  own.mWorkspaces = *std::max_element(aDemand.mWorkspaces.begin(), aDemand.mWorkspaces.end());
  mOwn = std::move(own);
}

void overload_control::UpdateState(instant aNow)
{
  for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
    mState.mAdmitted[rank] = mAllocation.AdmittedFraction(rank);
  }
  if (mAllocation.mIsScarce) {
    mScarceAt = aNow;
    mScarceSince = mScarceSince.value_or(aNow);
  } else if (aNow - mScarceAt > kScarcityHoldTime) {
    mScarceSince.reset();
  }
  if (mState.mIsScarce != mScarceSince.has_value()) {
    mState.mIsScarce = mScarceSince.has_value();
    log_line(mState.mIsScarce ? log_event::CapacityScarce : log_event::CapacitySufficient)
      .Number("capacity", mState.mCapacity)
      .Number("in_use", mState.mInUse)
      .Number("quota", mState.mQuota);
  }
}

bool overload_control::Admits(const stream_demand& aStream, instant aNow)
{
  const double fraction = Fraction(aStream.mRank, aStream.mWorkspace);
  return fraction >= kFullyAdmitted || mCredit.Admit(aStream.mRank, aStream.mWorkspace, fraction, aNow);
}

bool overload_control::MayStart(double aTokens) const
{
  double inUse = mStarted;
  for (const auto& [domain, tokens] : mOwnInUse) {
    inUse += tokens;
  }
  return inUse + aTokens * kFittingPart <= mState.mQuota;
}

double overload_control::OwnInUse(const failure_domain_id& aDomain) const
{
  return ValueOr0(mOwnInUse, aDomain);
}

double overload_control::OthersInUse(const failure_domain_id& aDomain) const
{
  return ValueOr0(mOthersInUse, aDomain);
}

std::optional<duration> overload_control::RetryAfter(duration aPatience, double aFraction, instant aNow) const
{
  if (!mScarceSince) {
    return std::nullopt;
  }
  const duration lasting = std::max<duration>(kMinRetryAfter, aNow - *mScarceSince);
  const duration longest = std::max<duration>(duration::zero(), aPatience / kPatienceDivisor);
  const double spread = 1 - kRetrySpread * aFraction;
  return std::chrono::duration_cast<duration>(std::min(lasting, longest) * spread);
}

} // namespace chervilpulley::gateway
