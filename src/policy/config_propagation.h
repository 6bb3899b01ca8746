#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"

/// Who takes the configuration from whom. In each failure domain the live instances are ordered by rendezvous hashing:
/// the first two are relays that watch the platform, the others form a tree below them.
namespace chervilpulley::policy {

inline constexpr std::size_t kRelaysPerDomain = 2;
inline constexpr std::size_t kPropagationFanOut = 16;

struct propagation_member
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  bool operator==(const propagation_member&) const = default;
};

/// The order of each failure domain's instances; the same wherever the same list is known.
class propagation_plan : public ref_counted
{
public:
  /// @param aSelf is placed even if the list does not have it yet.
  propagation_plan(propagation_member aSelf, std::vector<propagation_member> aMembers);

  bool IsRelay() const;
  /// Instances of the own failure domain to take the configuration from, the best one first.
  std::vector<instance_id> Sources() const;
  std::vector<instance_id> RelaysOf(const failure_domain_id& aDomain) const;
  /// Failure domains that have instances, without the own one.
  std::vector<failure_domain_id> OtherDomains() const;

private:
  propagation_member mSelf;
  std::vector<propagation_member> mOrder; ///< by failure domain, then by rank
};

} // namespace chervilpulley::policy
