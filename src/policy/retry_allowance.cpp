#include "policy/retry_allowance.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Part of the slack that a bucket may hold; it earns the rest over a window.
constexpr double kHeldSlack = 0.75;
/// Tokens of the requests of a window that a bucket may hold, per token that they earn in the next. The limit counts
/// the requests of the window with more, so that both parts together never exceed it.
constexpr double kHeldEarnings = 0.5;
/// Time from the charge of a retry to its arrival at a server. Retries charged in a window may arrive within one that
/// is shorter by this.
constexpr duration kSendTime = std::chrono::milliseconds(500);
/// Tolerance for rounding errors of sums of tokens.
constexpr double kRounding = 1e-9;

/// Factor by which the limit is lowered for retries that arrive later than they are charged.
double ArrivalFactor(const retry_bounds& aBounds)
{
  return std::chrono::duration<double>(aBounds.mWindow) / (aBounds.mWindow + kSendTime);
}

double Slack(const retry_bounds& aBounds)
{
  return aBounds.mSlack * ArrivalFactor(aBounds);
}

double TokensPerRequest(const retry_bounds& aBounds)
{
  return aBounds.mRatio * ArrivalFactor(aBounds) / (1 + kHeldEarnings);
}

} // namespace

bool retry_state::MayRetry() const
{
  return mAvailable + kRounding >= 1;
}

void retry_allowance::RequestArrived(instant aNow)
{
  Refill(aNow);
  mRequests.push_back(aNow);
  mTokens = std::min(mTokens + TokensPerRequest(mBounds), Capacity());
}

bool retry_allowance::TryRetry(instant aNow)
{
  if (!State(aNow).MayRetry()) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void retry_allowance::SetShare(const slack_share& aShare, instant aNow)
{
  Refill(aNow);
  mShare = aShare;
  mTokens = std::min(mTokens, Capacity());
}

retry_state retry_allowance::State(instant aNow)
{
  Refill(aNow);
  return { mTokens, Capacity(), mShare.mPart, mRequests.size() };
}

double retry_allowance::Capacity() const
{
  return mShare.mPart * kHeldSlack * Slack(mBounds) +
         kHeldEarnings * TokensPerRequest(mBounds) * static_cast<double>(mRequests.size());
}

void retry_allowance::Refill(instant aNow)
{
  const instant heldUntil = std::min(aNow, mShare.mValidUntil);
  if (mShare.mPart > 0 && heldUntil > mRefilledAt) {
    const double windows = std::chrono::duration<double>(heldUntil - mRefilledAt) / mBounds.mWindow;
    mTokens += mShare.mPart * (1 - kHeldSlack) * Slack(mBounds) * windows;
  }
  if (mShare.mValidUntil <= aNow) {
    mShare = {};
  }
  while (!mRequests.empty() && mRequests.front() + mBounds.mWindow <= aNow) {
    mRequests.pop_front();
  }
  mTokens = std::min(mTokens, Capacity());
  mRefilledAt = std::max(mRefilledAt, aNow);
}

} // namespace chervilpulley::policy
