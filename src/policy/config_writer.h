#pragma once

#include <optional>
#include <string>

#include "policy/config_log.h"

namespace chervilpulley::policy {

/// How a change ended.
enum class write_errc
{
  Refused,     ///< it breaks a rule; see the change_errc
  Conflict,    ///< another change came first, and this one does not hold after it
  Unavailable, ///< it surely has no effect
  Unknown      ///< it may have taken effect
};

struct write_error
{
  write_errc mCode = write_errc::Unavailable;
  change_errc mRefusal = change_errc::Invalid; ///< of a refusal or conflict
  revision_number mRevision;                   ///< of a conflict: the revision that came first
  std::string mMessage;
};

struct accepted_change
{
  revision_number mRevision;
  bool mRepeated = false; ///< it was accepted before
};

/// What the caller of a config_writer must do next.
struct write_step
{
  enum class action
  {
    Create, ///< create mEntry under its revision, on condition that it does not exist
    Read,   ///< read the entry of mRevision
    Done    ///< mResult is the outcome
  };
  action mAction = action::Done;
  admin::log_entry mEntry;
  revision_number mRevision;
  result<accepted_change, write_error> mResult = write_error{};
};

/// Brings one change into the log by conditional creation. Each call takes what happened and gives the next step; the
/// log may have moved on between two calls.
class config_writer
{
public:
  config_writer(admin::change aChange, change_author aAuthor);

  write_step Start(const config_log& aLog);
  /// The entry was created.
  write_step OnCreated(config_log& aLog);
  /// The revision exists already.
  write_step OnAlreadyExists();
  /// The answer was lost: the entry may have been created.
  write_step OnResponseLost();
  /// The platform surely did not create the entry.
  write_step OnNotCreated(const std::string& aReason);
  /// The entry that was asked for; nothing when the platform holds none.
  write_step OnRead(config_log& aLog, const std::optional<admin::log_entry>& aEntry);
  write_step OnReadFailed(const std::string& aReason);

private:
  write_step Propose(const config_log& aLog);
  write_step Create();
  write_step Read(revision_number aRevision);
  write_step Accepted(revision_number aRevision, bool aRepeated) const;
  write_step Failed(write_error aError) const;
  write_step GiveUp(const std::string& aReason) const;
  bool IsOwnEntry(const admin::log_entry& aEntry) const;

  admin::change mChange;
  change_author mAuthor;
  std::optional<admin::log_entry> mProposed; ///< what was last handed out for creation and is not yet decided
  bool mMayBeCreated = false;                ///< a creation of mProposed got no answer
  std::optional<revision_number> mConflictingRevision;
  std::optional<change_error> mRefusal; ///< stands unless the platform holds entries that the log lacks
  unsigned mCreations = 0;
};

} // namespace chervilpulley::policy
