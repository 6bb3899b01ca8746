#include <algorithm>

#include "gateway/fleet.h"

/// Shows what the fleet would choose for a request now, and from what, without recording anything.
namespace chervilpulley::gateway {

path_preview fleet::PreviewPath(const path_query& aQuery, instant aNow)
{
  path_preview preview;
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aQuery.mPool) : nullptr;
  if (pool != nullptr && pool->mEngine) {
    preview.mRequest = PrepareSearch(*pool, aQuery, aNow);
    preview.mPath = SearchPath(*pool, aQuery, preview.mRequest, aNow);
    preview.mEngines = mEngines;
  }
  return preview;
}

std::vector<service_preview> fleet::PreviewServices(const pool_name& aPool, instant aNow) const
{
  std::vector<service_preview> services;
  for (const auto& [id, member] : mMembers.Members()) {
    const backend_state* state = FindState(id);
    if (member.mPool != aPool || state == nullptr) {
      continue;
    }
    service_preview service;
    service.mId = id;
    service.mIsReplaced = IsReplaced(id);
    service.mIsOverLimit = !mLimits.MayBegin({ id, member.mStartedAt }, aNow);
    const double refusing = state->mRefusingUntil > aNow ? 1.0 : 0.0;
    service.mCandidate = { member.mDomain == mHome,
                           state->mRunning,
                           std::max(state->mFailures, refusing),
                           MayGetWork(*state, aNow) && !service.mIsReplaced && !service.mIsOverLimit,
                           !state->mIsUnlisted };
    services.push_back(std::move(service));
  }
  return services;
}

} // namespace chervilpulley::gateway
