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
  mListReadAt = aNow;
  // Expired peers are kept for a while, so that a stale read does not make a lost one look new.
  std::erase_if(mPeers, [&](const auto& aEntry) { return aEntry.second.mRenewedAt + mTimeToLive * 10 < aNow; });
}

bool peer_counter::IsLive(const peer& aPeer) const
{
  // Renewals since the last read are unknown, so its time counts and not the present one.
  return !mListReadAt || aPeer.mRenewedAt + mTimeToLive >= *mListReadAt;
}

bool peer_counter::IsLive(const instance_id& aPeer) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && IsLive(found->second);
}

std::size_t peer_counter::CountAll() const
{
  if (!mListReadAt) {
    return kAssumedPeers;
  }
  const auto count =
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) { return IsLive(aEntry.second); });
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::vector<instance_id> peer_counter::LiveInDomain(const failure_domain_id& aDomain) const
{
  std::vector<instance_id> live;
  for (const auto& [id, known] : mPeers) {
    if (known.mDomain == aDomain && IsLive(known)) {
      live.push_back(id);
    }
  }
  return live;
}

std::size_t peer_counter::CountInDomain(const failure_domain_id& aDomain) const
{
  return std::max<std::size_t>(1, LiveInDomain(aDomain).size());
}

} // namespace chervilpulley::policy
