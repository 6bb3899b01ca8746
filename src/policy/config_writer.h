#pragma once

#include <optional>
#include <string>

#include "policy/config_log.h"

/// The write of one configuration change to the platform. Concurrent writers and lost responses are resolved so that a
/// change takes effect at most once.
namespace chervilpulley::policy {

/// Why a write failed.
enum class write_errc
{
  Refused,     ///< the change is invalid; see mRefusal
  Conflict,    ///< another change was accepted first, and this one is invalid after it
  Unavailable, ///< the change certainly has no effect
  Unknown      ///< the change may have taken effect
};

/// A failed write.
struct write_error
{
  write_errc mCode = write_errc::Unavailable;
  change_errc mRefusal = change_errc::Invalid; ///< reason of a refusal or conflict
  revision_number mRevision;                   ///< in a conflict, the revision that was accepted first
  std::string mMessage;
};

/// A change that is in the log.
struct accepted_change
{
  revision_number mRevision;
  bool mRepeated = false; ///< the change is a retry and was accepted before
};

/// The next operation for the caller of a config_writer.
struct write_step
{
  enum class action
  {
    Create, ///< create mEntry at mRevision if no entry exists there
    Read,   ///< read the entry at mRevision
    Done    ///< mResult is the outcome
  };
  action mAction = action::Done;
  admin::log_entry mEntry;
  revision_number mRevision;
  result<accepted_change, write_error> mResult = write_error{};
};

/// State machine that appends one change to the log by conditional creation. Each call reports the outcome of the last
/// step and returns the next step. The log may advance between two calls.
class config_writer
{
public:
  config_writer(admin::change aChange, change_author aAuthor);

  /// Returns the first step.
  write_step Start(const config_log& aLog);
  /// The entry was created.
  write_step OnCreated(config_log& aLog);
  /// Another entry exists at the revision.
  write_step OnAlreadyExists();
  /// The response was lost; the entry may have been created.
  write_step OnResponseLost();
  /// The platform certainly did not create the entry.
  write_step OnNotCreated(const std::string& aReason);
  /// The requested entry was read; nothing if the platform stores none at the revision.
  write_step OnRead(config_log& aLog, const std::optional<admin::log_entry>& aEntry);
  /// The platform did not respond to the read.
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
  std::optional<admin::log_entry> mProposed;           ///< entry of the last creation whose outcome is not known yet
  bool mMayBeCreated = false;                          ///< a creation of mProposed got no response
  std::optional<revision_number> mConflictingRevision; ///< revision at which another change was accepted first
  std::optional<change_error> mRefusal;                ///< final unless the platform stores newer entries than the log
  unsigned mCreations = 0;
};

} // namespace chervilpulley::policy
