#pragma once

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "config/config_error.h"
#include "config/config_replica.h"
#include "config/config_view.h"
#include "platform/live_list.h"
#include "rpc/peer_messages.h"

namespace chervilpulley::config {

/// A change that was accepted.
struct apply_outcome
{
  revision_number mRevision;
  bool mPropagationPending = false; ///< not yet known to be held in two other failure domains
  bool mRepeated = false;           ///< this change id was accepted before
};

/// Called with a live list that came from a peer. Must not block.
using instances_callback = std::function<void(const std::vector<platform::live_instance>&)>;

/// Who this process is, and how long it waits.
struct config_store_options
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  duration mPullTimeout = std::chrono::milliseconds(2000);  ///< time that a source holds a pull without news
  duration mWatchTimeout = std::chrono::milliseconds(3000); ///< time that the platform holds a watch without news
  duration mPeerTimeout = std::chrono::milliseconds(600);   ///< longest wait for a peer's answer, without mPullTimeout
  duration mRetryDelay = std::chrono::milliseconds(300);    ///< pause after nobody could be reached
  duration mCatchUpDelay =
    std::chrono::milliseconds(150); ///< time that the usual way gets when traffic shows a newer one
  duration mPropagationTimeout =
    std::chrono::milliseconds(1500);               ///< longest wait for other failure domains after a write
  duration mListTimeout = std::chrono::seconds(6); ///< a live list that no peer confirms for this long is read again
  duration mWriteQueueTimeout =
    std::chrono::seconds(5);             ///< longest wait of a change for those before it in this process
  std::uint64_t mSnapshotInterval = 256; ///< revisions between two snapshots
};

/// The configuration of a process: what is in force, changes to it, and its spread. Thread-safe.
class config_store : public ref_counted
{
public:
  /// The configuration in force here; never null, and its revision never falls.
  virtual ref<const config_view> Current() const = 0;
  /// True once it is known what was last accepted; a process serves nobody before.
  virtual bool Ready() const = 0;
  /// Starts to follow the configuration.
  virtual void Run() = 0;
  /// Stops to follow it and ends held pulls; other calls in progress end within their timeouts.
  virtual void Stop() = 0;

  /// Checks a change and writes it to the log; gives an answer within about the platform's timeouts.
  /// @param aActor name of the key that asked for it.
  virtual boost::asio::awaitable<config_result<apply_outcome>> Apply(admin::change aChange, std::string aActor) = 0;
  /// Checks a change against the configuration in force; gives the revision that it would have.
  virtual config_result<revision_number> Validate(const admin::change& aChange) = 0;
  /// Entries of the log after a revision, at most aLimit.
  virtual boost::asio::awaitable<config_result<std::vector<admin::log_entry>>> Log(revision_number aAfter,
                                                                                   std::size_t aLimit) = 0;
  /// Which instances have reported a revision, asked of all failure domains; 0 is the revision in force here.
  virtual boost::asio::awaitable<admin::rollout_reply> Rollout(revision_number aRevision) = 0;

  /// Sets what is called with the newest view after each change. It must not block.
  virtual void AddChangeCallback(change_callback aCallback) = 0;
  /// Waits until the revision in force is above aAfter or aTimeout has passed.
  virtual boost::asio::awaitable<revision_number> WaitForRevisionAbove(revision_number aAfter, duration aTimeout) = 0;

  /// Whether this process is to read the live list from the platform: it is a relay, or no other process tells it.
  virtual bool ReadsLiveList() const = 0;
  /// Sets what is called with a live list that came from a peer, in place of one from the platform.
  virtual void SetInstancesCallback(instances_callback aCallback) = 0;
  /// The live list, whenever it was read.
  virtual void UpdateInstances(std::vector<platform::live_instance> aInstances) = 0;
  /// A revision that came with another process's message; a higher one is fetched.
  virtual void ObserveRevision(const instance_id& aInstance,
                               const failure_domain_id& aDomain,
                               revision_number aRevision) = 0;

  /// Answers a peer's pull with what is there now.
  virtual rpc::pull_config_reply HandlePull(const rpc::pull_config_request& aRequest) = 0;
  /// What this process has heard of other instances, itself included.
  virtual std::vector<rpc::instance_report> Reports() const = 0;
};

} // namespace chervilpulley::config
