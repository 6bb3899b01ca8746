#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "base/result.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "config/config_view.h"
#include "generated/admin.pb.h"

/// Interface between the operators' server and the process that it runs in.
namespace chervilpulley::admin {

/// Why an operator's call failed.
enum class admin_errc
{
  Invalid,     ///< the request or the change is wrong; nothing was changed
  NotFound,    ///< an object, instance or revision does not exist
  Conflict,    ///< another change was accepted first, or an expected version does not match
  Unknown,     ///< the change may or may not have been accepted; sending it again with the same id is safe
  Unavailable, ///< the platform can't be reached; nothing was changed
  Forbidden,   ///< the key's role does not allow it
  BadKey,      ///< the key is missing or unknown
  Busy         ///< too many calls at once
};

/// An error of the operators' interface.
struct admin_error
{
  admin_errc mCode = admin_errc::Unavailable;
  std::string mMessage;
};

template<class T>
using admin_result = result<T, admin_error>;

/// The result of a change that was accepted, or that validation found acceptable.
struct applied_change
{
  revision_number mRevision;
  bool mPropagationPending = false; ///< not yet known to be stored in two other failure domains
  bool mRepeated = false;           ///< this change id had been accepted before
};

/// A page of the configuration's log.
struct log_page
{
  std::vector<log_entry> mEntries; ///< in order of revision
  revision_number mHead;           ///< newest known revision
};

/// The process behind the operators' server. Calls block and are made from several threads at once; each must return
/// within its timeout argument, or else within the platform's call timeout.
class admin_backend
{
public:
  virtual ~admin_backend() = default;
  /// The configuration in force here; never null.
  virtual ref<const config::config_view> View() = 0;
  /// Validates a change and writes it to the log.
  /// @param aActor name of the operator key that sent the change.
  virtual admin_result<applied_change> Apply(const change& aChange, const std::string& aActor) = 0;
  /// Validates a change against the configuration in force; writes nothing.
  virtual admin_result<applied_change> Validate(const change& aChange) = 0;
  /// Returns at most aLimit entries of the log after a revision.
  virtual admin_result<log_page> Log(revision_number aAfter, std::size_t aLimit) = 0;
  /// Waits until the revision in force is above aAfter or the timeout has expired; returns the revision in force.
  virtual revision_number WaitForChange(revision_number aAfter, duration aTimeout) = 0;
  /// Returns which live instances have reported a revision.
  virtual admin_result<rollout_reply> Rollout(revision_number aRevision) = 0;
  /// Notifies an instance to accept no new requests or, with aUndo, to accept them again.
  /// @return number of requests that the instance is still running.
  virtual admin_result<std::uint32_t> Drain(const instance_id& aInstance, bool aUndo) = 0;
  /// Returns the status of all live instances.
  virtual admin_result<status_reply> Status() = 0;
};

} // namespace chervilpulley::admin
