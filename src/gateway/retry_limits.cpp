#include "gateway/retry_limits.h"

#include "base/decision_log.h"

namespace chervilpulley::gateway {

policy::retry_allowance& retry_limits::Of(const pool_name& aPool, instant aNow)
{
  const auto [found, isNew] = mPools.try_emplace(aPool, mBounds);
  if (isNew) {
    found->second.SetShare(mShare, aNow);
  }
  return found->second;
}

void retry_limits::RequestArrived(const pool_name& aPool, instant aNow)
{
  Of(aPool, aNow).RequestArrived(aNow);
}

void retry_limits::SetShare(const policy::slack_share& aShare, instant aNow)
{
  if (aShare.mPart != mShare.mPart) {
    log_line(log_event::RetryShareHeld).Number("part", aShare.mPart);
  }
  mShare = aShare;
  for (auto& [pool, allowance] : mPools) {
    allowance.SetShare(aShare, aNow);
  }
}

bool retry_limits::MayRetry(const retry_ask& aAsk, instant aNow)
{
  const policy::retry_state state = Of(aAsk.mPool, aNow).State(aNow);
  if (!state.MayRetry()) {
    LogDecision(aAsk, state, false);
  }
  return state.MayRetry();
}

bool retry_limits::TryRetry(const retry_ask& aAsk, instant aNow)
{
  policy::retry_allowance& allowance = Of(aAsk.mPool, aNow);
  const bool isPermitted = allowance.TryRetry(aNow);
  LogDecision(aAsk, allowance.State(aNow), isPermitted);
  return isPermitted;
}

void retry_limits::LogDecision(const retry_ask& aAsk, const policy::retry_state& aState, bool aIsPermitted)
{
  if (!aIsPermitted && aAsk.mIsRepeated) {
    return;
  }
  log_line(aIsPermitted ? log_event::RetryPermitted : log_event::RetryDenied)
    .Text("request", aAsk.mRequest)
    .Text("pool", aAsk.mPool.Str())
    .Number("available", aState.mAvailable)
    .Number("capacity", aState.mCapacity)
    .Number("slack_share", aState.mSlackShare)
    .Count("requests", aState.mRequests);
}

std::vector<retry_limit> retry_limits::InForce(instant aNow)
{
  std::vector<retry_limit> limits;
  for (auto& [pool, allowance] : mPools) {
    limits.push_back({ pool, allowance.State(aNow) });
  }
  return limits;
}

} // namespace chervilpulley::gateway
