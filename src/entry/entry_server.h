#pragma once

#include <memory>

#include "admin/admin_server.h"
#include "config/peer_server.h"
#include "entry/caller_api.h"
#include "entry/request_router.h"
#include "runtime/instance_core.h"
#include "runtime/operator_backend.h"

/// The entry's shell: listeners, links to sidecars, signals.
namespace chervilpulley::entry {

/// One entry. Start() once, then run the core's context.
class entry_server : public config::control_handler
{
public:
  explicit entry_server(runtime::instance_core& aCore);

  /// Binds all listeners and starts; an error names what could not be bound.
  result<void, std::string> Start();
  /// Fails /readyz at once, serves on while the balancer catches up, and ends once nothing is in progress.
  void Leave();

  rpc::drain_reply Drain(const rpc::drain_request& aRequest) override;
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override;
  std::string Status() override;

private:
  result<void, std::string> StartHttp();
  result<void, std::string> StartAdmin();
  boost::asio::awaitable<void> HandleHttp(net::http_exchange& aExchange);
  void OnLiveList(const runtime::instance_core::live_instances& aLive);
  void OnTick();
  void ReportCrash(request_digest aDigest, std::uint32_t aCrashes);

  runtime::instance_core& mCore;
  ref<request_router> mRouter;
  ref<link::provider_links> mLinks;
  ref<metrics::process_metrics> mMetrics;
  ref<request_guard> mGuard;
  ref<caller_api> mApi;
  ref<net::http_server> mHttpServer;
  std::unique_ptr<runtime::operator_backend> mOperators;
  ref<admin::admin_server> mAdminServer;
  std::atomic<bool> mLeaving{ false };
  instant mLeavingSince{};
  bool mHasStoppedAccepting = false;
};

} // namespace chervilpulley::entry
