#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"

/// Idempotency keys: their digests, their age, and the journal partition that each belongs to.
namespace chervilpulley::policy {

/// Digest of workspace, route and idempotency key; 16 raw bytes.
using claim_key = strong_name<struct claim_key_tag>;
/// Drawn at random for each claim; tells a claimant's own write from another's.
using claim_id = strong_number<struct claim_id_tag>;
/// Digest of the call that a key was used with.
using body_digest = strong_number<struct body_digest_tag>;

/// Partitions of each route's journal. All processes must agree on it, so it never changes.
inline constexpr std::uint64_t kClaimPartitions = 8;
/// Largest difference between the clocks of two processes that the retention allows for.
inline constexpr std::chrono::milliseconds kClockMargin = std::chrono::hours(1);
/// Claims are kept no longer than this, whatever a route asks for.
inline constexpr std::chrono::milliseconds kMaxRetention = std::chrono::hours(24 * 3650);
/// Results are kept no longer than this, claims for the whole retention.
inline constexpr std::chrono::milliseconds kMaxResultRetention = std::chrono::hours(24);

claim_key MakeClaimKey(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey);
body_digest MakeBodyDigest(std::string_view aMethod, std::string_view aPath, std::string_view aBody);

/// Key prefix of the objects of a partition: "bookings/<workspace>/<route>/<partition>/".
std::string ClaimPartitionPrefix(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey);

/// The time that a UUID of version 7 (RFC 9562) carries; nothing for any other key.
std::optional<calendar_time> TimeOfKey(std::string_view aKey);

/// How long a key is good for.
struct claim_lifetime
{
  calendar_time mExpires;                     ///< the claim is kept until then
  std::optional<calendar_time> mRefusedAfter; ///< no claim is made after this
};

/// Tells whether a call may still be handed over under a claim. Asked again right before the hand-over, because the
/// process may have been paused since it made the claim.
bool MayDispatch(const claim_lifetime& aLifetime, calendar_time aNow);

/// Lifetime of a claim that is made now; nothing when the key carries a time more than kClockMargin ahead.
std::optional<claim_lifetime> LifetimeOfKey(std::string_view aKey,
                                            calendar_time aNow,
                                            std::chrono::milliseconds aRetention);

} // namespace chervilpulley::policy
