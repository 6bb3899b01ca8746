#include "policy/workspace_fairness.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <tuple>

#include "base/random.h"
#include "policy/capacity_allocation.h"

namespace chervilpulley::policy {

namespace {

/// Number of entries that are dropped at a time when a table is full, so that the search for them is rare.
constexpr std::size_t kDroppedAtOnce = kMaxTrackedWorkspaces / 10;
/// A number of workspaces with the same demand.
struct equal_demands
{
  double mTokens = 0; ///< of each workspace
  double mCount = 0;
};

/// Demand of a workspace at this gateway, to be ordered by the demand at all gateways.
struct ordered_demand
{
  double mTotal = 0; ///< tokens wanted at all gateways, as far as known
  workspace_demand mDemand;
};

double FiniteAmount(double aTokens)
{
  return std::isfinite(aTokens) ? std::max(aTokens, 0.0) : 0.0;
}

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::size_t ValidRank(std::size_t aRank)
{
  return std::min(aRank, kRankCount - 1);
}

std::uint64_t KeyOf(std::size_t aRank, workspace_hash aWorkspace)
{
  return static_cast<std::uint64_t>(ValidRank(aRank)) << 32U | aWorkspace;
}

std::size_t RankOfKey(std::uint64_t aKey)
{
  return aKey >> 32U;
}

double OtherCount(const rank_demand& aDemand)
{
  return static_cast<double>(std::max<std::size_t>(aDemand.mOtherWorkspaces, 1));
}

/// All demands of a rank, smallest first.
std::vector<equal_demands> SortedDemands(const rank_demand& aDemand)
{
  std::vector<equal_demands> demands;
  demands.reserve(aDemand.mLargest.size() + 1);
  for (const workspace_demand& demand : aDemand.mLargest) {
    demands.push_back({ FiniteAmount(demand.mTokens), 1.0 });
  }
  demands.push_back({ FiniteAmount(aDemand.mOthers) / OtherCount(aDemand), OtherCount(aDemand) });
  std::sort(demands.begin(), demands.end(), [](const equal_demands& aLeft, const equal_demands& aRight) {
    return std::tie(aLeft.mTokens, aLeft.mCount) < std::tie(aRight.mTokens, aRight.mCount);
  });
  return demands;
}

/// A value in [0, 1) from the high bits of a hash.
double FractionOf(std::size_t aHash)
{
  return std::ldexp(static_cast<double>(aHash >> 11U), -53);
}

/// Sum of amounts that does not depend on their order.
double SumOf(std::vector<double>& aAmounts)
{
  std::sort(aAmounts.begin(), aAmounts.end());
  double sum = 0;
  for (double amount : aAmounts) {
    sum += amount;
  }
  return sum;
}

/// Number of gateways that announce the same workspace: the median over all entries, at least 1. One workspace that is
/// announced everywhere, or entries that only some gateways have, do not change it.
/// @param aAnnounced entries of all gateways, sorted by workspace.
std::size_t TypicalSpread(const std::vector<workspace_demand>& aAnnounced)
{
  std::vector<std::size_t> spreads;
  spreads.reserve(aAnnounced.size());
  for (auto begin = aAnnounced.begin(); begin != aAnnounced.end();) {
    const auto end = std::find_if(begin, aAnnounced.end(), [&](const workspace_demand& aDemand) {
      return aDemand.mWorkspace != begin->mWorkspace;
    });
    const auto spread = static_cast<std::size_t>(end - begin);
    spreads.insert(spreads.end(), spread, spread);
    begin = end;
  }
  if (spreads.empty()) {
    return 1;
  }
  const auto middle = spreads.begin() + static_cast<std::ptrdiff_t>(spreads.size() / 2);
  std::nth_element(spreads.begin(), middle, spreads.end());
  return *middle;
}

} // namespace

workspace_hash HashWorkspace(const workspace_id& aWorkspace)
{
  return static_cast<workspace_hash>(StableHash(aWorkspace.Str()));
}

workspace_split SplitByWorkspace(const rank_demand& aDemand, double aAdmitted)
{
  const std::vector<equal_demands> demands = SortedDemands(aDemand);
  double left = FiniteAmount(aAdmitted);
  double count = 0;
  for (const equal_demands& demand : demands) {
    count += demand.mCount;
  }
  for (const equal_demands& demand : demands) {
    const double cap = left / count;
    if (demand.mTokens > cap) {
      const double others = FiniteAmount(aDemand.mOthers) / OtherCount(aDemand);
      return { cap, others > cap ? cap / others : 1.0 };
    }
    left = std::max(0.0, left - demand.mTokens * demand.mCount);
    count -= demand.mCount;
  }
  return { FiniteAmount(aAdmitted), 1.0 };
}

double AdmittedFraction(const rank_demand& aDemand, const workspace_split& aSplit, workspace_hash aWorkspace)
{
  for (const workspace_demand& demand : aDemand.mLargest) {
    if (demand.mWorkspace == aWorkspace) {
      const double tokens = FiniteAmount(demand.mTokens);
      return tokens > aSplit.mCap ? aSplit.mCap / tokens : 1.0;
    }
  }
  return aSplit.mOthersAdmitted;
}

rank_demand MergeDemand(std::span<const gateway_demand> aGateways, std::size_t aRank)
{
  std::vector<workspace_demand> announced;
  std::vector<double> others;
  std::size_t otherSum = 0;
  std::size_t otherMaximum = 0;
  for (const gateway_demand& gateway : aGateways) {
    const std::size_t before = announced.size();
    for (const workspace_demand& demand : gateway.mLargest) {
      if (demand.mRank == aRank && FiniteAmount(demand.mTokens) > 0) {
        announced.push_back(demand);
      }
    }
    const double otherTokens = FiniteAmount(gateway.mOthers.at(aRank));
    if (otherTokens > 0) {
      others.push_back(otherTokens);
      const std::size_t single = announced.size() - before;
      const std::size_t count = std::max<std::size_t>(gateway.mWorkspaces.at(aRank), single + 1) - single;
      otherSum += count;
      otherMaximum = std::max(otherMaximum, count);
    }
  }
  std::sort(announced.begin(), announced.end(), [](const workspace_demand& aLeft, const workspace_demand& aRight) {
    return std::tie(aLeft.mWorkspace, aLeft.mTokens) < std::tie(aRight.mWorkspace, aRight.mTokens);
  });
  rank_demand merged;
  for (const workspace_demand& demand : announced) {
    if (merged.mLargest.empty() || merged.mLargest.back().mWorkspace != demand.mWorkspace) {
      merged.mLargest.push_back(demand);
    } else {
      merged.mLargest.back().mTokens += demand.mTokens;
    }
  }
  merged.mOthers = SumOf(others);
  merged.mOtherWorkspaces = std::max(otherSum / TypicalSpread(announced), otherMaximum);
  return merged;
}

double workspace_demand_meter::decaying_sum::At(instant aNow) const
{
  return mTokens * std::exp(-Seconds(std::max(aNow - mAt, duration(0))) / Seconds(kDemandDecayTime));
}

void workspace_demand_meter::decaying_sum::Add(double aTokens, instant aNow)
{
  mTokens = At(aNow) + aTokens;
  mAt = std::max(mAt, aNow);
}

void workspace_demand_meter::Arrived(std::size_t aRank, workspace_hash aWorkspace, double aTokens, instant aNow)
{
  const double tokens = FiniteAmount(aTokens);
  if (tokens <= 0) {
    return;
  }
  const std::uint64_t key = KeyOf(aRank, aWorkspace);
  if (mDemands.size() >= kMaxTrackedWorkspaces && !mDemands.contains(key)) {
    Forget(aNow);
    if (mDemands.size() >= kMaxTrackedWorkspaces) {
      DropSmallest(aNow);
    }
  }
  mDemands[key].Add(tokens, aNow);
  mTotals.at(ValidRank(aRank)).Add(tokens, aNow);
}

gateway_demand workspace_demand_meter::Measure(std::size_t aMaxLargest,
                                               std::span<const workspace_demand> aElsewhere,
                                               instant aNow)
{
  Forget(aNow);
  std::unordered_map<std::uint64_t, std::vector<double>> elsewhere;
  for (const workspace_demand& demand : aElsewhere) {
    elsewhere[KeyOf(demand.mRank, demand.mWorkspace)].push_back(FiniteAmount(demand.mTokens));
  }
  // In a steady state a decaying sum is the rate times the time constant.
  const double scale = Seconds(kAllocationHorizon) / Seconds(kDemandDecayTime);
  gateway_demand measured;
  std::vector<ordered_demand> demands;
  demands.reserve(mDemands.size());
  for (const auto& [key, sum] : mDemands) {
    const double tokens = sum.At(aNow) * scale;
    const auto found = elsewhere.find(key);
    const double total = tokens + (found == elsewhere.end() ? 0.0 : SumOf(found->second));
    demands.push_back({ total, { RankOfKey(key), static_cast<workspace_hash>(key), tokens } });
    ++measured.mWorkspaces.at(RankOfKey(key));
  }
  const std::size_t largest = std::min({ aMaxLargest, kMaxLargestWorkspaces, demands.size() });
  const auto end = demands.begin() + static_cast<std::ptrdiff_t>(largest);
  std::partial_sort(demands.begin(), end, demands.end(), [](const ordered_demand& aLeft, const ordered_demand& aRight) {
    return std::tie(aRight.mTotal, aLeft.mDemand.mRank, aLeft.mDemand.mWorkspace) <
           std::tie(aLeft.mTotal, aRight.mDemand.mRank, aRight.mDemand.mWorkspace);
  });
  std::for_each(demands.begin(), end, [&](const auto& aDemand) { measured.mLargest.push_back(aDemand.mDemand); });
  std::array<std::size_t, kRankCount> single{};
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    measured.mOthers.at(rank) = mTotals.at(rank).At(aNow) * scale;
  }
  for (const workspace_demand& demand : measured.mLargest) {
    measured.mOthers.at(demand.mRank) -= demand.mTokens;
    ++single.at(demand.mRank);
  }
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const bool hasOthers = measured.mWorkspaces.at(rank) > single.at(rank);
    measured.mOthers.at(rank) = hasOthers ? std::max(0.0, measured.mOthers.at(rank)) : 0.0;
  }
  return measured;
}

void workspace_demand_meter::Forget(instant aNow)
{
  std::erase_if(mDemands, [&](const auto& aEntry) { return aNow - aEntry.second.mAt >= kDemandMemory; });
}

void workspace_demand_meter::DropSmallest(instant aNow)
{
  std::vector<std::pair<double, std::uint64_t>> smallest;
  smallest.reserve(mDemands.size());
  for (const auto& [key, sum] : mDemands) {
    smallest.emplace_back(sum.At(aNow), key);
  }
  const std::size_t dropped = std::min(kDroppedAtOnce, smallest.size());
  const auto end = smallest.begin() + static_cast<std::ptrdiff_t>(dropped);
  std::nth_element(smallest.begin(), end, smallest.end());
  std::for_each(smallest.begin(), end, [&](const auto& aEntry) { mDemands.erase(aEntry.second); });
}

bool admission_credit::Admit(std::size_t aRank, workspace_hash aWorkspace, double aFraction, instant aNow)
{
  // Written so that a fraction that is not a number takes the first branch.
  if (!(aFraction < 1.0)) {
    return true;
  }
  if (aFraction <= 0.0) {
    return false;
  }
  const std::uint64_t key = KeyOf(aRank, aWorkspace);
  auto found = mCredits.find(key);
  if (found == mCredits.end()) {
    if (mCredits.size() >= kMaxTrackedWorkspaces) {
      DropOldest();
    }
    // A fixed offset would admit the first requests of all workspaces or of none, and a workspace that sends so rarely
    // that it is dropped in between would always get the same result.
    std::size_t hash = 0;
    boost::hash_combine(hash, key);
    boost::hash_combine(hash, aNow.time_since_epoch().count());
    found = mCredits.emplace(key, credit{ FractionOf(hash), FractionOf(hash), hash, aNow }).first;
  }
  credit& own = found->second;
  own.mUsedAt = std::max(own.mUsedAt, aNow);
  own.mUntilNext -= aFraction;
  if (own.mUntilNext > 0) {
    return false;
  }
  // One admission falls between each two whole sums, at a place that varies: with equal distances, a fraction of 0.5
  // would admit every second request, and so none of a kind that is every second one.
  boost::hash_combine(own.mHash, 0);
  const double offset = FractionOf(own.mHash);
  own.mUntilNext += 1.0 + offset - own.mOffset;
  own.mOffset = offset;
  return true;
}

void admission_credit::DropOldest()
{
  std::vector<std::pair<instant, std::uint64_t>> oldest;
  oldest.reserve(mCredits.size());
  for (const auto& [key, own] : mCredits) {
    oldest.emplace_back(own.mUsedAt, key);
  }
  const std::size_t dropped = std::min(kDroppedAtOnce, oldest.size());
  const auto end = oldest.begin() + static_cast<std::ptrdiff_t>(dropped);
  std::nth_element(oldest.begin(), end, oldest.end());
  std::for_each(oldest.begin(), end, [&](const auto& aEntry) { mCredits.erase(aEntry.second); });
}

} // namespace chervilpulley::policy
