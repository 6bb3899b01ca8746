#pragma once

#include <memory>
#include <thread>

#include "admin/admin_server.h"
#include "config/peer_server.h"
#include "entry/caller_api.h"
#include "entry/request_router.h"
#include "runtime/instance_core.h"
#include "runtime/operator_backend.h"

/// Sets up the parts of an entry: its listeners, links to sidecars, signal handling and shutdown. On shutdown it fails
/// its readiness check first, so that the load balancer stops sending requests before connections are refused.
namespace chervilpulley::entry {

/// One entry. Call Start() once, then run the core's context.
class entry_server : public config::control_handler
{
public:
  explicit entry_server(runtime::instance_core& aCore);

  /// Binds all listeners and starts. The error names the address that could not be bound.
  result<void, std::string> Start();
  /// Starts the shutdown: /readyz fails at once, requests are still accepted for the drain time while the load balancer
  /// detects that, and the process exits when no request is in progress.
  void Leave();

  /// Makes /readyz fail, or succeed again with mUndo; the process keeps running.
  rpc::drain_reply Drain(const rpc::drain_request& aRequest) override;
  /// Handles the report of another entry that a request crashed an engine.
  rpc::report_suspect_reply ReportSuspect(const rpc::report_suspect_request& aRequest) override;
  /// The status for operators, as a serialized admin::instance_status.
  std::string Status() override;

private:
  result<void, std::string> StartHttp();
  result<void, std::string> StartAdmin();
  boost::asio::awaitable<void> HandleHttp(net::http_exchange& aExchange);
  void OnLiveList(const runtime::instance_core::live_instances& aLive);
  void OnTick();
  void OnLeavingTick(instant aNow);
  /// Ends the operators' calls, which need the context, then stops it.
  void Stop();
  /// Reports a crash to all other entries.
  void ReportCrash(request_digest aDigest, std::uint32_t aCrashes);
  void ReportTraits(const std::vector<run_trait>& aTraits);
  void Report(const rpc::report_suspect_request& aReport);

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
  std::jthread mStopping; ///< runs Stop()'s blocking part; unset before
};

} // namespace chervilpulley::entry
