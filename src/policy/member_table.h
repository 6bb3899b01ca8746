#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/engine_model.h"

/// The known backend servers, according to the platform's list. Guards against an outage of the store: entries that
/// expired during the outage are kept until live servers have had time to be listed again.
namespace chervilpulley::policy {

/// A backend server as it is listed.
struct backend_member
{
  backend_id mId;
  pool_name mPool;
  std::string mAddress; ///< ip:port
  failure_domain_id mDomain;
  std::string mAccelerator;
  layer_span mLayers;
  std::uint64_t mStartedAt = 0; ///< Unix milliseconds; another value means another process with the same id
  bool mLeaving = false;
};

/// A removed entry that may be listed again.
struct held_removal
{
  instant mSince; ///< when the entry was found missing
  instant mUntil; ///< when the removal takes effect
};

/// One process of a backend server, identified by its start time. A restarted server has another one.
struct server_start
{
  backend_id mId;
  std::uint64_t mStartedAt = 0;

  auto operator<=>(const server_start&) const =
    default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14
};

/// The members by id. Missing members are removed at once, or after an outage once the time to be listed again is over.
class member_table
{
public:
  /// @param aRelistTime time after an outage within which live servers are listed again.
  explicit member_table(duration aRelistTime)
    : mRelistTime(aRelistTime)
  {
  }

  /// Handles a complete read of the list.
  /// @param aReturnedAt end of the store's latest outage; nullopt if none is known.
  void Listed(std::vector<backend_member> aMembers, instant aNow, std::optional<instant> aReturnedAt = std::nullopt);
  /// Handles a change of one list entry, or a new entry.
  void Changed(backend_member aMember);
  /// Handles the removal of a list entry.
  void Removed(const backend_id& aId, instant aNow, std::optional<instant> aReturnedAt = std::nullopt);
  /// The entry of a server is there and names no server to use. Unlike one that lapsed in an outage, it isn't waited
  /// for.
  void Discard(const backend_id& aId);
  /// The store's latest outage ended no later than aReturnedAt; nullopt: there was none. Shortens the time for which
  /// removed members are kept. A later outage does not prolong it.
  void ReturnLearned(instant aNow, std::optional<instant> aReturnedAt);
  /// Drops members that were not listed again in time.
  void TimePassed(instant aNow);

  const std::map<backend_id, backend_member>& Members() const { return mMembers; }
  /// Returns the member, or nullptr.
  const backend_member* Find(const backend_id& aId) const;
  /// Removals that have not taken effect yet, by the server that they would remove.
  const std::map<backend_id, held_removal>& HeldRemovals() const { return mHeldRemovals; }
  /// Version number that grows with every change.
  std::uint64_t Version() const { return mVersion; }

private:
  void ScheduleRemoval(const backend_id& aId, instant aNow, std::optional<instant> aReturnedAt);

  duration mRelistTime;
  std::map<backend_id, backend_member> mMembers;
  std::map<backend_id, held_removal> mHeldRemovals;
  std::uint64_t mVersion = 0;
};

} // namespace chervilpulley::policy
