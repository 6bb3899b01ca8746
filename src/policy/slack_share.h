#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Shares a limit equally among the gateways that run, without messages between them. A gateway holds a share only
/// while its object in the store is renewed and its list of gateways is recent, and a new one waits until every list
/// that is recent shows it. So the shares that are held at a moment never add up to more than the whole, also while
/// gateways start, leave, are killed or do not reach the store.
namespace chervilpulley::policy {

/// Time after its last renewal for which the other gateways count one.
inline constexpr duration kGatewayObjectLifetime = std::chrono::seconds(18);

/// Interval at which a gateway reads the list of gateways. It grows with their number, so that the load of the reads
/// stays bounded.
duration GatewayListInterval(std::size_t aGateways);

/// A share of a limit.
struct slack_share
{
  double mPart = 0; ///< 0 to 1
  instant mValidUntil;
};

/// Decides whether this gateway holds a share. Times are of a clock that also runs while the machine is suspended.
class share_holder
{
public:
  /// Records that this gateway's object was written.
  /// @param aSentAt when the write was sent.
  void Renewed(instant aSentAt, instant aNow);
  /// Records that the list of gateways was read completely.
  /// @param aSentAt when the read was begun.
  /// @param aGateways number of live gateways, this one too.
  void ListRead(instant aSentAt, std::size_t aGateways, instant aNow);
  /// Records that another process has written this gateway's object.
  void Displaced();
  /// The share that is held now; its part is 0 when none is.
  slack_share Share(instant aNow) const;

private:
  instant ValidUntil() const;
  void CheckLapse(instant aNow);
  void Updated(instant aNow);

  std::optional<instant> mRenewedAt;
  std::optional<instant> mReadAt;
  std::optional<instant> mSince; ///< since when both have been recent without a gap
  std::size_t mGateways = 1;
};

} // namespace chervilpulley::policy
