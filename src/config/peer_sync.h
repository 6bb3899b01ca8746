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

namespace chervilpulley::config {

/// Exchanges the configuration with other processes. Each call runs on the caller's strand.
class peer_sync : public ref_counted
{
public:
  peer_sync(ref<peer_client> aClient, ref<config_replica> aReplica, const config_store_options& aOptions);

  peer_directory& Directory() { return mDirectory; }
  rollout_table& Rollout() { return mRollout; }
  instance_table& Instances() { return mInstances; }
  /// Takes a whole live list that was read from the platform.
  void SetInstances(const std::vector<platform::live_instance>& aInstances);
  /// Sets what is called when a live list came from a peer.
  void SetInstancesCallback(instances_callback aCallback);
  /// Time since a source has last confirmed or changed the live list.
  duration ListAge() const;

  /// Pulls what one instance has; tells whether it answered.
  /// @param aWithList also takes the live list from it.
  boost::asio::awaitable<bool> Pull(instance_id aSource, duration aWait, bool aWithList);
  /// Pulls from the first source of the own failure domain that answers; false when none does.
  boost::asio::awaitable<bool> PullFromDomain(duration aWait);
  /// Pulls from a relay of another failure domain, another one at each call; false when it does not answer.
  boost::asio::awaitable<bool> PullFromOtherDomain(duration aWait);
  /// Takes the highest revision that the relays of all failure domains have.
  /// @return false when too few failure domains have answered to know what was last accepted.
  boost::asio::awaitable<bool> PullFromAllDomains();
  /// Waits until relays in two other failure domains hold a revision; false when the time is up.
  boost::asio::awaitable<bool> ConfirmPropagation(revision_number aRevision);
  /// The newest report of each instance, asked of the relays of all failure domains.
  boost::asio::awaitable<std::vector<rpc::instance_report>> CollectReports();

private:
  using domain_mailbox = ref<net::mailbox<failure_domain_id>>;
  using report_mailbox = ref<net::mailbox<std::vector<rpc::instance_report>>>;

  rpc::instance_report OwnReport() const;
  bool ApplyReply(const rpc::pull_config_reply& aReply);
  void ApplyListDifference(const rpc::list_difference& aDifference);
  std::vector<instance_id> SourcesByHealth();
  void RecordHealth(const instance_id& aSource, bool aResponded);
  boost::asio::awaitable<void> PullAndNotify(instance_id aSource, failure_domain_id aDomain, domain_mailbox aMailbox);
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
  std::atomic<instant> mListConfirmedAt{ instant{} };
  std::mutex mCallbackMutex;
  instances_callback mInstancesCallback;
  std::atomic<std::size_t> mNextRelay{ 0 };
  std::mutex mHealthMutex;
  std::unordered_map<instance_id, instant> mFailedAt;
};

} // namespace chervilpulley::config
