#pragma once

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "base/ref_counted.h"
#include "config/config_replica.h"
#include "config/config_store.h"
#include "config/instance_table.h"
#include "config/peer_client.h"
#include "config/peer_directory.h"
#include "config/rollout_table.h"

/// Exchange of the configuration and the live list between processes. It keeps changes propagating while the platform
/// is unreachable.
namespace chervilpulley::config {

/// Pulls the configuration from other processes, confirms its propagation and collects reports. Each call runs on the
/// caller's strand.
class peer_sync : public ref_counted
{
public:
  peer_sync(ref<peer_client> aClient, ref<config_replica> aReplica, const config_store_options& aOptions);

  peer_directory& Directory() { return mDirectory; }
  rollout_table& Rollout() { return mRollout; }
  /// Replaces the live list with one read from the platform by a request that was sent at aRequestedAt.
  void SetInstances(const std::vector<platform::live_instance>& aInstances, instant aRequestedAt);
  /// What a peer whose list has the given digest does not have, with the age of the own list.
  rpc::list_difference ListDifferenceSince(std::uint64_t aDigest) const;
  /// Sets the function that is called with each live list received from a peer.
  void SetInstancesCallback(instances_callback aCallback);
  /// Time since a source last confirmed or changed the live list.
  duration ListAge() const;

  /// Pulls from one instance until its revision is reached. Returns whether it responded.
  /// @param aWait time that the instance may delay its response until there are updates.
  /// @param aWithList whether to pull the live list too.
  boost::asio::awaitable<bool> Pull(instance_id aSource, duration aWait, bool aWithList);
  /// Pulls from the first source of the own failure domain that responds. Returns false if none does.
  boost::asio::awaitable<bool> PullFromDomain(duration aWait);
  /// Pulls from a relay of another failure domain; successive calls use the relays in turn. Returns false if it does
  /// not respond.
  boost::asio::awaitable<bool> PullFromOtherDomain(duration aWait);
  /// Pulls from the relays of all failure domains, so that the highest of their revisions is known.
  /// @return false if too few failure domains responded to be sure of the last accepted revision.
  boost::asio::awaitable<bool> PullFromAllDomains();
  /// Waits until relays in two other failure domains have the revision. Returns false on timeout.
  boost::asio::awaitable<bool> ConfirmPropagation(revision_number aRevision);
  /// Queries the relays of all failure domains and returns the newest report of each instance.
  boost::asio::awaitable<std::vector<rpc::instance_report>> CollectReports();

private:
  using domain_mailbox = ref<net::mailbox<failure_domain_id>>;
  using report_mailbox = ref<net::mailbox<std::vector<rpc::instance_report>>>;

  rpc::instance_report OwnReport() const;
  /// Applies the entries or the snapshot of a reply. Returns whether the revision has changed.
  bool ApplyReply(const rpc::pull_config_reply& aReply);
  void ApplyListDifference(const rpc::list_difference& aDifference, instant aRequestedAt);
  /// Whether a source's list is so old that the source probably does not reach the platform, or reads from such a one.
  bool IsOutdated(const instance_id& aSource, const rpc::list_difference& aDifference) const;
  /// Sources of the own failure domain; those that failed lately, or had old data, come last.
  std::vector<instance_id> SourcesByHealth();
  void RecordHealth(const instance_id& aSource, bool aIsHealthy);
  /// Pulls from aSource and pushes aDomain if it responded, or else an invalid id.
  boost::asio::awaitable<void> PullAndNotify(instance_id aSource, failure_domain_id aDomain, domain_mailbox aMailbox);
  /// Pushes aDomain once the relay has aRevision; nothing if the call fails.
  boost::asio::awaitable<void> ConfirmAtRelay(instance_id aRelay,
                                              failure_domain_id aDomain,
                                              revision_number aRevision,
                                              domain_mailbox aMailbox);
  boost::asio::awaitable<void> FetchReports(instance_id aRelay, report_mailbox aMailbox);

  const ref<peer_client> mClient;
  const ref<config_replica> mReplica;
  const config_store_options mOptions;
  peer_directory mDirectory;
  rollout_table mRollout;
  instance_table mInstances;
  std::atomic<instant> mListConfirmedAt{ instant{} }; ///< when a source last sent its list, however old
  std::atomic<instant> mListReadAt{ instant{} };      ///< when the list was read from the platform, by any instance
  std::mutex mCallbackMutex;
  instances_callback mInstancesCallback;
  std::atomic<std::size_t> mNextRelay{ 0 };
  std::mutex mHealthMutex;
  std::unordered_map<instance_id, instant> mFailedAt;
};

} // namespace chervilpulley::config
