#pragma once

#include <map>
#include <optional>
#include <vector>

#include "policy/store_revision.h"

/// Counts the live gateways that share a global limit. Each instance renews an object of its own in the store; an
/// instance whose object stops changing no longer counts. A count that is too high only makes each share smaller, so
/// new instances count at once, and instances do not expire while their objects can't be read. This keeps limits in
/// force when instances crash or start, and relays known while this gateway is partitioned from the store.
namespace chervilpulley::policy {

/// Number of instances assumed before the first complete read.
inline constexpr std::size_t kAssumedPeers = 8;

/// Counts instances by the revisions of their objects.
class peer_counter
{
public:
  /// @param aTimeToLive time after which an object that was not renewed no longer counts.
  explicit peer_counter(duration aTimeToLive)
    : mTimeToLive(aTimeToLive)
  {
  }

  /// Records that an instance's object was read.
  void Seen(const instance_id& aPeer, const failure_domain_id& aDomain, const store_revision& aRevision, instant aNow);
  /// Records that all objects have been read once.
  void ListRead(instant aNow);

  /// Whether an instance counts as live.
  bool IsLive(const instance_id& aPeer) const;
  /// Number of live instances, at least 1.
  std::size_t CountAll() const;
  /// Instances of a failure domain that were renewed recently.
  std::vector<instance_id> LiveInDomain(const failure_domain_id& aDomain) const;
  /// Number of live instances of a failure domain, at least 1.
  std::size_t CountInDomain(const failure_domain_id& aDomain) const;

private:
  struct peer
  {
    failure_domain_id mDomain;
    store_revision mRevision;
    instant mRenewedAt;
  };

  bool IsLive(const peer& aPeer) const;

  duration mTimeToLive;
  std::map<instance_id, peer> mPeers;
  std::optional<instant> mListReadAt; ///< last complete read
};

} // namespace chervilpulley::policy
