#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "generated/admin.pb.h"
#include "policy/config_objects.h"
#include "policy/config_rules.h"

namespace chervilpulley::policy {

/// Changes whose ids are remembered, so that sending one of them again is recognised.
inline constexpr std::size_t kMaxRememberedChanges = 4096;

/// Who makes a change, and when.
struct change_author
{
  std::string mActor;             ///< name of the key
  calendar_time mTime;            ///< for the audit trail only
  std::uint64_t mWriterNonce = 0; ///< drawn for each write; tells its entry from another's
};

/// What became of an entry that was offered to the log.
enum class accept_outcome
{
  Applied,
  AlreadyApplied, ///< its revision is not above the log's; nothing changed
  Gap             ///< entries between are missing; nothing changed
};

/// The configuration as a process knows it: the state after all log entries up to a revision.
/// Entries apply in the order of their revisions only, and the revision never falls.
class config_log
{
public:
  config_log() = default;

  revision_number Revision() const { return mRevision; }
  const config_objects& Objects() const { return mObjects; }
  /// The revision at which a change was accepted, if it is among the remembered ones.
  std::optional<revision_number> AcceptedAt(const change_id& aChange) const;

  /// Checks a change and makes the entry that would follow the log. Changes nothing.
  change_result<admin::log_entry> Propose(const admin::change& aChange, const change_author& aAuthor) const;
  /// Takes an entry that the platform holds.
  accept_outcome Accept(const admin::log_entry& aEntry);

  /// The whole state, in an order that depends on nothing but the state.
  admin::config_state State() const;
  /// Takes a whole state if its revision is above the log's; tells whether it did.
  bool Install(const admin::config_state& aState);

private:
  void Remember(const std::string& aChangeId, revision_number aRevision);

  revision_number mRevision;
  config_objects mObjects;
  std::deque<std::string> mRecentChangeIds; ///< change ids of the last revisions; the last one is of mRevision
  std::unordered_map<std::string, revision_number> mAcceptedAt;
};

} // namespace chervilpulley::policy
