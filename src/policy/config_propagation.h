#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"

/// Propagation of the configuration between instances, so that the platform serves a few relays rather than every
/// instance. In each failure domain the live instances are ordered by rendezvous hashing: the first two are relays,
/// which watch the platform, and the others form a tree below them.
namespace chervilpulley::policy {

inline constexpr std::size_t kRelaysPerDomain = 2;
/// Number of instances below each instance of the tree, at most.
inline constexpr std::size_t kPropagationFanOut = 16;

/// A live instance and its failure domain.
struct propagation_member
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  bool operator==(const propagation_member&) const = default;
};

/// The propagation tree of each failure domain. All instances that know the same members compute the same plan.
class propagation_plan : public ref_counted
{
public:
  /// @param aSelf own instance; it gets a place even if aMembers does not contain it yet.
  propagation_plan(propagation_member aSelf, std::vector<propagation_member> aMembers);

  /// Whether the own instance is a relay.
  bool IsRelay() const;
  /// Instances of the own failure domain from which to fetch the configuration, in order of preference.
  std::vector<instance_id> Sources() const;
  /// The relays of a failure domain, at most kRelaysPerDomain.
  std::vector<instance_id> RelaysOf(const failure_domain_id& aDomain) const;
  /// Failure domains with live instances, except the own one.
  std::vector<failure_domain_id> OtherDomains() const;

private:
  propagation_member mSelf;
  std::vector<propagation_member> mOrder; ///< sorted by failure domain, then by rank
};

} // namespace chervilpulley::policy
