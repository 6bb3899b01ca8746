#pragma once

#include "admin/admin_backend.h"
#include "config/config_store.h"
#include "config/peer_client.h"
#include "runtime/instance_core.h"

/// Implements the operators' calls with the configuration store and control calls to other processes.
namespace chervilpulley::runtime {

/// Each call blocks a thread of the operators' server while the work runs on the core's threads.
class operator_backend : public admin::admin_backend
{
public:
  operator_backend(instance_core& aCore, ref<config::config_store> aStore, ref<config::peer_client> aPeers);

  ref<const config::config_view> View() override { return mStore->Current(); }
  admin::admin_result<admin::applied_change> Apply(const admin::change& aChange, const std::string& aActor) override;
  admin::admin_result<admin::applied_change> Validate(const admin::change& aChange) override;
  admin::admin_result<admin::log_page> Log(revision_number aAfter, std::size_t aLimit) override;
  revision_number WaitForChange(revision_number aAfter, duration aTimeout) override;
  admin::admin_result<admin::rollout_reply> Rollout(revision_number aRevision) override;
  admin::admin_result<std::uint32_t> Drain(const instance_id& aInstance, bool aUndo) override;
  admin::admin_result<admin::status_reply> Status() override;

private:
  /// Fetches the status of each instance, one after another.
  boost::asio::awaitable<admin::status_reply> FetchStatuses(std::vector<platform::live_instance> aInstances);
  /// Fills aStatus from the live list, then from the instance itself when it responds in time.
  boost::asio::awaitable<void> FetchStatus(platform::live_instance aInstance, admin::instance_status& aStatus);

  instance_core& mCore;
  ref<config::config_store> mStore;
  ref<config::peer_client> mPeers;
};

} // namespace chervilpulley::runtime
