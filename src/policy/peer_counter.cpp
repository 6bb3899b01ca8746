#include "policy/peer_counter.h"

#include <algorithm>

namespace chervilpulley::policy {

void peer_counter::Seen(const instance_id& aPeer,
                        const failure_domain_id& aDomain,
                        const store_revision& aRevision,
                        instant aNow)
{
  peer& known = mPeers[aPeer];
  if (known.mRevision != aRevision) {
    known = { aDomain, aRevision, aNow };
  }
}

void peer_counter::ListRead(instant aNow)
{
  mIsListRead = true;
  // Expired peers are kept for a while, so that a stale read does not make a lost one look new.
  std::erase_if(mPeers, [&](const auto& aEntry) { return aEntry.second.mRenewedAt + mTimeToLive * 10 < aNow; });
}

bool peer_counter::IsLive(const instance_id& aPeer, instant aNow) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && found->second.mRenewedAt + mTimeToLive >= aNow;
}

std::size_t peer_counter::CountAll(instant aNow) const
{
  if (!mIsListRead) {
    return kAssumedPeers;
  }
  const auto count = std::count_if(
    mPeers.begin(), mPeers.end(), [&](const auto& aEntry) { return aEntry.second.mRenewedAt + mTimeToLive >= aNow; });
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::vector<instance_id> peer_counter::LiveInDomain(const failure_domain_id& aDomain, instant aNow) const
{
  std::vector<instance_id> live;
  for (const auto& [id, known] : mPeers) {
    if (known.mDomain == aDomain && known.mRenewedAt + mTimeToLive >= aNow) {
      live.push_back(id);
    }
  }
  return live;
}

std::size_t peer_counter::CountInDomain(const failure_domain_id& aDomain, instant aNow) const
{
  return std::max<std::size_t>(1, LiveInDomain(aDomain, aNow).size());
}

} // namespace chervilpulley::policy
