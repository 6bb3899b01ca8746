#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"

/// Idempotency keys: their digests, their lifetime, and the journal partition that each belongs to.
/// kClockMargin keeps a retry from running a second time where the clocks of two processes differ.
namespace chervilpulley::policy {

/// Digest of workspace, route and idempotency key; 16 raw bytes.
using claim_key = strong_name<struct claim_key_tag>;
/// Random number of a claim, by which a claimant recognises its own write.
using claim_id = strong_number<struct claim_id_tag>;
/// Digest of the method, path and body of the call that a key was used with.
using body_digest = strong_number<struct body_digest_tag>;

/// Number of partitions of each route's journal. All processes must agree on it, so it never changes.
inline constexpr std::uint64_t kClaimPartitions = 8;
/// Largest difference between the clocks of two processes that the retention allows for.
inline constexpr std::chrono::milliseconds kClockMargin = std::chrono::hours(1);
/// Upper limit for the time that claims are kept, whatever a route configures.
inline constexpr std::chrono::milliseconds kMaxRetention = std::chrono::hours(24 * 3650);
/// Upper limit for the time that results are kept; claims are kept for the whole retention.
inline constexpr std::chrono::milliseconds kMaxResultRetention = std::chrono::hours(24);

/// Digest of an idempotency key within its workspace and route.
claim_key MakeClaimKey(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey);
body_digest MakeBodyDigest(std::string_view aMethod, std::string_view aPath, std::string_view aBody);

/// Name prefix of the stored objects of the key's partition: "bookings/<workspace>/<route>/<partition>/".
std::string ClaimPartitionPrefix(const workspace_id& aWorkspace, const route_name& aRoute, std::string_view aKey);

/// The timestamp of a UUID of version 7 (RFC 9562); nothing for any other key.
std::optional<calendar_time> TimeOfKey(std::string_view aKey);

/// Times that limit the claim of a key.
struct claim_lifetime
{
  calendar_time mExpires;                     ///< the claim is kept until this time
  std::optional<calendar_time> mRefusedAfter; ///< claims are refused after this time
};

/// Whether a call may still be dispatched under a claim. Checked again right before the dispatch, because the process
/// may have been paused since it made the claim.
bool MayDispatch(const claim_lifetime& aLifetime, calendar_time aNow);

/// Lifetime of a claim that is made now; nothing if the timestamp of the key is more than kClockMargin ahead.
std::optional<claim_lifetime> LifetimeOfKey(std::string_view aKey,
                                            calendar_time aNow,
                                            std::chrono::milliseconds aRetention);

} // namespace chervilpulley::policy
