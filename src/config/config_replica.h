#pragma once

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "config/config_view.h"
#include "net/mailbox.h"
#include "policy/config_log.h"

/// The configuration in memory, so that a process serves requests from its last known revision during an outage of the
/// platform.
namespace chervilpulley::config {

/// Called with the newest view after a change, in the order of revisions. Must not block.
using change_callback = std::function<void(const ref<const config_view>&)>;

/// The configuration known to this process, shared by its threads. Its revision never decreases. Thread-safe.
class config_replica : public ref_counted
{
public:
  config_replica();

  ref<const config_view> Current() const;
  revision_number Revision() const;
  /// Applies an entry of the log.
  policy::accept_outcome Accept(const admin::log_entry& aEntry);
  /// Replaces the state if the revision of aState is higher. Returns whether it did.
  bool Install(const admin::config_state& aState);
  /// Calls aFunction(log) with the lock held. The function must not modify the log.
  template<class Function>
  auto WithLog(Function&& aFunction)
  {
    std::lock_guard lock(mMutex);
    return aFunction(mLog);
  }
  /// Entries after a revision, at most aLimit. Nothing if the first of them is no longer retained.
  std::optional<std::vector<admin::log_entry>> EntriesAfter(revision_number aAfter, std::size_t aLimit) const;
  /// Adds a function that is called with the newest view after each change.
  void AddChangeCallback(change_callback aCallback);
  /// Waits until the revision is above aAfter or the timeout has passed, and returns the revision. The caller must run
  /// on a strand.
  boost::asio::awaitable<revision_number> WaitForRevisionAbove(revision_number aAfter, duration aTimeout);
  /// Ends all waits. Later waits return at once.
  void CancelWaits();

private:
  using waiter = net::mailbox<revision_number>;

  void Publish();
  void WakeWaiters();
  void RetainEntry(const admin::log_entry& aEntry);
  void RemoveWaiter(const ref<waiter>& aWaiter);

  mutable std::mutex mMutex;
  policy::config_log mLog;
  ref<const config_view> mView;
  std::deque<admin::log_entry> mRetainedEntries; ///< the latest ones, without a gap, up to the log's revision
  std::size_t mRetainedBytes = 0;
  std::vector<ref<waiter>> mWaiters;
  std::atomic<bool> mWaitsCanceled{ false };

  std::mutex mCallbackMutex;
  std::vector<change_callback> mCallbacks;
  revision_number mPublishedRevision;
};

} // namespace chervilpulley::config
