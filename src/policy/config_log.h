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

/// The replicated log of configuration changes, applied in order on each instance. It recognises retried changes, and
/// ignores entries that arrive twice or out of order.
namespace chervilpulley::policy {

/// Number of latest changes whose ids are remembered, so that a retry of one of them is recognised.
inline constexpr std::size_t kMaxRememberedChanges = 4096;

/// Author and time of a change.
struct change_author
{
  std::string mActor;             ///< name of the operator key
  calendar_time mTime;            ///< for the audit trail only
  std::uint64_t mWriterNonce = 0; ///< random number of a write, by which its entry is recognised
};

/// Outcome of config_log::Accept.
enum class accept_outcome
{
  Applied,
  AlreadyApplied, ///< its revision is not above the log's; no change
  Gap             ///< entries before it are missing; no change
};

/// The configuration known to a process: the state after all log entries up to a revision.
/// Entries are applied strictly in the order of their revisions, and the revision never decreases.
class config_log
{
public:
  config_log() = default;

  revision_number Revision() const { return mRevision; }
  const config_objects& Objects() const { return mObjects; }
  /// The revision at which a change was accepted; nothing if the change is not among the remembered ones.
  std::optional<revision_number> AcceptedAt(const change_id& aChange) const;

  /// Checks a change and makes the log entry for it at the next revision. The log stays as it is.
  change_result<admin::log_entry> Propose(const admin::change& aChange, const change_author& aAuthor) const;
  /// Applies an entry that the platform stores.
  accept_outcome Accept(const admin::log_entry& aEntry);

  /// The whole state. Equal states give equal messages, whatever changes led to them.
  admin::config_state State() const;
  /// Replaces the state if the revision of aState is above the log's. Returns whether it did.
  bool Install(const admin::config_state& aState);

private:
  void Remember(const std::string& aChangeId, revision_number aRevision);

  revision_number mRevision;
  config_objects mObjects;
  std::deque<std::string> mRecentChangeIds; ///< change ids of the latest revisions; the last is of mRevision
  std::unordered_map<std::string, revision_number> mAcceptedAt;
};

} // namespace chervilpulley::policy
