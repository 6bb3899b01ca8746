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

/// Interface to the configuration: reading it, changing it, and exchanging it with other processes, so that an accepted
/// change also reaches instances while the platform is unreachable.
namespace chervilpulley::config {

/// An accepted change.
struct apply_outcome
{
  revision_number mRevision;
  bool mPropagationPending = false; ///< not yet confirmed by two other failure domains
  bool mRepeated = false;           ///< the change is a retry and was accepted before
};

/// Called with a live list received from a peer. Must not block.
using instances_callback = std::function<void(const std::vector<platform::live_instance>&)>;

/// Identity of this process, timeouts and intervals.
struct config_store_options
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  /// Longest time that a source delays its response to a pull until there are updates.
  duration mMaxPullWait = std::chrono::milliseconds(2000);
  /// Longest time that a watch at the platform waits for updates.
  duration mMaxWatchWait = std::chrono::milliseconds(3000);
  /// Longest wait for a peer's response, in addition to mMaxPullWait.
  duration mPeerTimeout = std::chrono::milliseconds(600);
  /// Pause after neither the platform nor a peer could be reached.
  duration mRetryDelay = std::chrono::milliseconds(300);
  /// Time that regular propagation has to deliver a newer revision seen on traffic, before it is pulled.
  duration mCatchUpDelay = std::chrono::milliseconds(150);
  /// Longest wait for confirmation by other failure domains after a write.
  duration mPropagationTimeout = std::chrono::milliseconds(1500);
  /// A live list that no peer confirms for this long is read from the platform.
  duration mListTimeout = std::chrono::seconds(6);
  /// Longest wait of a change for earlier changes of this process.
  duration mWriteQueueTimeout = std::chrono::seconds(5);
  /// Number of revisions between two snapshots.
  std::uint64_t mSnapshotInterval = 256;
};

/// The configuration of a process: the revision in force, changes to it, and its propagation. Thread-safe.
class config_store : public ref_counted
{
public:
  /// The configuration in force in this process. Never null; its revision never decreases.
  virtual ref<const config_view> Current() const = 0;
  /// Whether the last accepted revision has been loaded. A process serves no requests before.
  virtual bool Ready() const = 0;
  /// Starts to follow changes of the configuration.
  virtual void Run() = 0;
  /// Stops following changes and ends waiting pulls. Other calls in progress end within their timeouts.
  virtual void Stop() = 0;

  /// Validates a change and writes it to the log. Returns within about the platform's timeouts.
  /// @param aActor name of the operator key that requested the change.
  virtual boost::asio::awaitable<config_result<apply_outcome>> Apply(admin::change aChange, std::string aActor) = 0;
  /// Validates a change against the configuration in force, without a write. Returns the revision that it would get.
  virtual config_result<revision_number> Validate(const admin::change& aChange) = 0;
  /// Entries of the log after a revision, at most aLimit.
  virtual boost::asio::awaitable<config_result<std::vector<admin::log_entry>>> Log(revision_number aAfter,
                                                                                   std::size_t aLimit) = 0;
  /// Queries all failure domains for the instances that have reported a revision.
  /// @param aRevision 0 stands for the revision in force in this process.
  virtual boost::asio::awaitable<admin::rollout_reply> Rollout(revision_number aRevision) = 0;

  /// Adds a function that is called with the newest view after each change. It must not block.
  virtual void AddChangeCallback(change_callback aCallback) = 0;
  /// Waits until the revision in force is above aAfter or the timeout has passed, and returns that revision.
  virtual boost::asio::awaitable<revision_number> WaitForRevisionAbove(revision_number aAfter, duration aTimeout) = 0;

  /// Whether this process must read the live list from the platform, because it is a relay or no peer sends it the
  /// list.
  virtual bool ReadsLiveList() const = 0;
  /// Sets the function that is called with a live list received from a peer.
  virtual void SetInstancesCallback(instances_callback aCallback) = 0;
  /// Passes in the live list each time it was read from the platform.
  /// @param aRequestedAt when the read was begun.
  virtual void UpdateInstances(std::vector<platform::live_instance> aInstances, instant aRequestedAt) = 0;
  /// Passes in the revision that another process reported in a message. A higher revision than the own one is fetched.
  virtual void ObserveRevision(const instance_id& aInstance,
                               const failure_domain_id& aDomain,
                               revision_number aRevision) = 0;

  /// Responds to a peer's pull from the current state, without waiting for updates.
  virtual rpc::pull_config_reply HandlePull(const rpc::pull_config_request& aRequest) = 0;
  /// The latest reports of all instances known to this process, including itself.
  virtual std::vector<rpc::instance_report> Reports() const = 0;
};

} // namespace chervilpulley::config
