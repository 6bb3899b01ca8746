#pragma once

#include <map>
#include <vector>

#include "chervilpulley/policy_types.h"

/// How many instances share what is bounded for all together. Each renews an object of its own; one whose object stands
/// still is not counted any more. A count that is too high only makes the shares smaller, so that new ones count at
/// once.
namespace chervilpulley::policy {

/// Instances that are assumed before the first reading.
inline constexpr std::size_t kAssumedPeers = 8;

class peer_counter
{
public:
  /// @param aLife time after which an object that was not renewed counts for nothing.
  explicit peer_counter(duration aLife)
    : mLife(aLife)
  {
  }

  /// An instance's object was read.
  void Seen(const instance_id& aPeer, const failure_domain_id& aDomain, std::uint64_t aRevision, instant aNow);
  /// All objects were read once.
  void ListRead(instant aNow);

  std::size_t All(instant aNow) const;
  /// Instances of a failure domain that were renewed lately.
  std::vector<instance_id> LiveInDomain(const failure_domain_id& aDomain, instant aNow) const;
  std::size_t CountInDomain(const failure_domain_id& aDomain, instant aNow) const;

private:
  struct peer
  {
    failure_domain_id mDomain;
    std::uint64_t mRevision = 0;
    instant mRenewed;
  };

  duration mLife;
  std::map<instance_id, peer> mPeers;
  bool mIsRead = false;
};

} // namespace chervilpulley::policy
