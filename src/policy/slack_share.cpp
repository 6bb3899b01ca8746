#include "policy/slack_share.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

constexpr duration kListInterval = std::chrono::seconds(2);
constexpr duration kListIntervalPerGateway = std::chrono::milliseconds(100);
/// Maximum age of what a read of the store returns that need not be current.
constexpr duration kMaxStaleness = std::chrono::seconds(4);
/// Minimum time for which a list counts as recent; it covers short outages of the store.
constexpr duration kMinListValidity = std::chrono::seconds(10);
/// Intervals between reads for which a list counts as recent.
constexpr int kListValidityIntervals = 3;
/// Time after a renewal for which the others certainly count this gateway, though their lists may be stale.
constexpr duration kRenewalValidity = kGatewayObjectLifetime - kMaxStaleness;

duration ListValidity(std::size_t aGateways)
{
  return std::max(kMinListValidity, GatewayListInterval(aGateways) * kListValidityIntervals);
}

/// Time after which every list that is recent shows a new gateway. Those of the others may be somewhat longer than this
/// gateway's and are then valid for longer.
duration JoinTime(std::size_t aGateways)
{
  return ListValidity(aGateways + aGateways / 4) + kMaxStaleness;
}

} // namespace

duration GatewayListInterval(std::size_t aGateways)
{
  return kListInterval + kListIntervalPerGateway * static_cast<int>(aGateways);
}

instant share_holder::ValidUntil() const
{
  if (!mRenewedAt || !mReadAt) {
    return instant();
  }
  return std::min(*mRenewedAt + kRenewalValidity, *mReadAt + ListValidity(mGateways));
}

/// Begins anew after a gap, in which other gateways may have joined that count without this one.
void share_holder::CheckLapse(instant aNow)
{
  if (mSince && ValidUntil() <= aNow) {
    mSince.reset();
  }
}

void share_holder::Updated(instant aNow)
{
  if (!mSince && ValidUntil() > aNow) {
    mSince = aNow;
  }
}

void share_holder::Renewed(instant aSentAt, instant aNow)
{
  CheckLapse(aNow);
  mRenewedAt = aSentAt;
  Updated(aNow);
}

void share_holder::ListRead(instant aSentAt, std::size_t aGateways, instant aNow)
{
  CheckLapse(aNow);
  mReadAt = aSentAt;
  mGateways = std::max<std::size_t>(1, aGateways);
  Updated(aNow);
}

void share_holder::Displaced()
{
  mRenewedAt.reset();
  mSince.reset();
}

slack_share share_holder::Share(instant aNow) const
{
  const instant validUntil = ValidUntil();
  const bool isHeld = mSince && validUntil > aNow && *mSince + JoinTime(mGateways) <= aNow;
  return isHeld ? slack_share{ 1.0 / static_cast<double>(mGateways), validUntil } : slack_share{};
}

} // namespace chervilpulley::policy
