#pragma once

#include <memory>

#include "base/sharded_map.h"
#include "config/peer_server.h"
#include "link/provider_links.h"
#include "runtime/instance_core.h"
#include "sidecar/pipeline_stage.h"
#include "sidecar/placement_follower.h"
#include "sidecar/service_calls.h"

/// Connects the parts of a sidecar: links, load reports, signals and draining. A sidecar that drains finishes its work
/// before it exits, so that a restart does not fail requests.
namespace chervilpulley::sidecar {

/// One sidecar. Call Start() once, then run the core's context.
class sidecar_server : public config::control_handler
{
public:
  explicit sidecar_server(runtime::instance_core& aCore);

  /// Binds all listeners and starts; an error says which address could not be bound.
  result<void, std::string> Start();
  /// Refuses new work and stops the process once nothing is in progress.
  void Leave();
  /// Refuses or accepts new work; the process keeps running.
  void SetLeaving(bool aIsLeaving);
  /// Number of requests that run or wait, and of open bookings.
  std::uint32_t InProgress() const;

  rpc::drain_reply Drain(const rpc::drain_request& aRequest) override;
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override;
  std::string Status() override;

private:
  /// An entry or sidecar that is connected to this one.
  struct requester
  {
    ref<link::connection> mLink;
    instance_id mInstance;
    failure_domain_id mFailureDomain;
  };

  result<void, std::string> StartLinks();
  result<void, std::string> StartHttp();
  boost::asio::awaitable<void> HandleHttp(net::http_exchange& aExchange);
  link::events OnLinkOpened(const ref<link::connection>& aLink);
  void OnMessage(const ref<link::connection>& aLink, const std::string& aMessage);
  void OnHello(const ref<link::connection>& aLink, const link::frame& aFrame);
  link::frame Report() const;
  void ReportToAll();
  void OnLiveList(const runtime::instance_core::live_instances& aLive);
  /// Whether the instance may have the layers that follow this one's; true if either side's layers are unknown.
  bool MayBeSuccessor(const instance_id& aInstance) const;
  /// Whether the platform has no revision after this one; false while it can't be read.
  boost::asio::awaitable<bool> IsNewest(revision_number aRevision);
  /// This instance, and the linked successors of its failure domain that have not loaded their placement yet.
  std::vector<policy::member_key> PendingLoads() const;
  void OnConfig(const config::config_view& aView);
  void OnTick();
  /// Ends the process in steps once nothing is in progress: first the links, so that no response is lost with them.
  void Stop(instant aNow);
  bool IsEngine() const { return mKind == backend_kind::Engine; }

  runtime::instance_core& mCore;
  backend_kind mKind;
  pool_name mPool;
  ref<backend_monitor> mMonitor;
  ref<metrics::process_metrics> mMetrics;
  ref<admission_gate> mGate;
  ref<pipeline_stage> mStage;
  ref<service_calls> mCalls;
  ref<placement_follower> mPlacement;
  ref<link::provider_links> mSuccessors;
  ref<link::server> mLinkServer;
  ref<net::http_server> mHttpServer;
  sharded_map<const link::connection*, requester> mRequesters;
  std::atomic<bool> mDraining{ false };
  std::atomic<bool> mIsTerminating{ false };
  std::uint32_t mIdleTicks = 0; ///< used only in OnTick()
  instant mStoppingSince{};     ///< used only in OnTick()
  std::atomic<bool> mIsStopping{ false };
};

} // namespace chervilpulley::sidecar
