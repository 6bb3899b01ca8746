#include "gateway/configuration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilpulley::gateway {

void configuration::Index()
{
  mByHost.clear();
  mPoolsByName.clear();
  for (const route& each : mRoutes) {
    mByHost[each.mHost].push_back(&each);
  }
  for (auto& [host, routes] : mByHost) {
    std::stable_sort(routes.begin(), routes.end(), [](const route* aLeft, const route* aRight) {
      return aLeft->mPathPrefix.size() > aRight->mPathPrefix.size();
    });
  }
  for (const pool& each : mPools) {
    mPoolsByName.emplace(each.mName, &each);
  }
  IndexPriorities();
}

void configuration::IndexPriorities()
{
  std::set<std::optional<std::uint32_t>> ofWorkspaces;
  for (const workspace& each : mWorkspaces) {
    ofWorkspaces.insert(each.mPriority);
  }
  std::unordered_map<pool_name, policy::priority_levels> levels;
  std::unordered_map<pool_name, std::set<std::uint32_t>> ofRoutes;
  std::unordered_map<pool_name, double> weights;
  for (const route& each : mRoutes) {
    for (const pool_share& share : each.mPools) {
      const pool* pool = FindPool(share.mPool);
      if (each.mKind != request_kind::Stream || pool == nullptr || !pool->mEngine) {
        continue;
      }
      ofRoutes[share.mPool].insert(each.mPriority);
      weights[share.mPool] += share.mWeight;
      policy::priority_levels& ofPool = levels[share.mPool];
      const bool hasWorkspace = each.mNeedsKey && !mWorkspaces.empty();
      for (const auto& priority :
           hasWorkspace ? ofWorkspaces : std::set<std::optional<std::uint32_t>>{ std::nullopt }) {
        ofPool.Add(policy::request_priority::Of(priority, each.mPriority));
      }
    }
  }
  // Gateways announce the load of one pool, so all of them must choose the same one.
  const pool_name* chosen = nullptr;
  for (const auto& [name, ofPool] : levels) {
    const bool isMixed = ofRoutes[name].size() > 1;
    const auto order = [&](const pool_name& aName) { return std::pair(-weights[aName], aName); };
    if (isMixed && (chosen == nullptr || order(name) < order(*chosen))) {
      chosen = &name;
    }
  }
  mMixedPriorities.clear();
  if (chosen != nullptr) {
    levels[*chosen].Sort();
    mMixedPriorities.emplace(*chosen, levels[*chosen]);
  }
}

const policy::priority_levels* configuration::MixedPriorities(const pool_name& aPool) const
{
  const auto found = mMixedPriorities.find(aPool);
  return found == mMixedPriorities.end() ? nullptr : &found->second;
}

const route* configuration::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = mByHost.find(std::string(aHost));
  if (routes == mByHost.end()) {
    return nullptr;
  }
  for (const route* each : routes->second) {
    if (aPath.starts_with(each->mPathPrefix)) {
      return each;
    }
  }
  return nullptr;
}

const pool* configuration::FindPool(const pool_name& aName) const
{
  const auto found = mPoolsByName.find(aName);
  return found == mPoolsByName.end() ? nullptr : found->second;
}

bool configuration::AllStreamsResumable(const pool_name& aPool) const
{
  return std::all_of(mRoutes.begin(), mRoutes.end(), [&](const route& aRoute) {
    const bool passes = std::any_of(
      aRoute.mPools.begin(), aRoute.mPools.end(), [&](const pool_share& aShare) { return aShare.mPool == aPool; });
    return aRoute.mKind != request_kind::Stream || aRoute.mIsResumable || !passes;
  });
}

const workspace* configuration::FindWorkspace(const std::string& aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &mWorkspaces[found->second];
}

caller_verdict CheckCaller(const configuration* aConfiguration, const caller_query& aQuery)
{
  if (aConfiguration == nullptr || !aQuery.mIsConfigured) {
    return { nullptr, nullptr, 503, "not configured yet" };
  }
  const route* route = aConfiguration->FindRoute(aQuery.mHost, aQuery.mPath);
  if (route == nullptr) {
    return { nullptr, nullptr, aQuery.mTrustsKeys ? 404U : 503U, "no route" };
  }
  if (!route->mNeedsKey || aConfiguration->mWorkspaces.empty()) {
    return { route, nullptr, 0, {} };
  }
  if (!aQuery.mTrustsKeys) {
    return { route, nullptr, 503, "configuration not confirmed" };
  }
  const workspace* workspace = aConfiguration->FindWorkspace(aQuery.mKey);
  if (workspace == nullptr) {
    return { route, nullptr, 401, "unknown key" };
  }
  return { route, workspace, 0, {} };
}

const pool_name& DrawPool(const route& aRoute, std::uint64_t aDraw)
{
  static const pool_name kNone;
  if (aRoute.mPools.empty()) {
    return kNone;
  }
  double totalWeight = 0;
  for (const pool_share& share : aRoute.mPools) {
    totalWeight += share.mWeight;
  }
  // The upper 53 bits of aDraw, the precision of a double, make a fraction in [0, 1).
  double point = static_cast<double>(aDraw >> 11U) / static_cast<double>(1ULL << 53U) * totalWeight;
  for (const pool_share& share : aRoute.mPools) {
    point -= share.mWeight;
    if (point < 0) {
      return share.mPool;
    }
  }
  return aRoute.mPools.back().mPool;
}

} // namespace chervilpulley::gateway
