#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>

#include "base/sharded_map.h"
#include "config/config_view.h"
#include "sidecar/backend_monitor.h"
#include "sidecar/stage_stream.h"

/// One stage of model pipelines: maps the frames of all requests to their streams and runs their work at the engine.
/// Detects engines that crash or stall and requests that crash engines.
namespace chervilpulley::sidecar {

/// Identity and timeouts of a stage.
struct stage_options
{
  instance_id mInstance;
  pool_name mPool;
  duration mEngineTimeout = std::chrono::seconds(30);
  duration mStreamGrace = std::chrono::seconds(15);
  duration mStallFloor = std::chrono::seconds(1);
};

/// All requests at this stage, and the engine and the links to successors that they share.
class pipeline_stage
  : public ref_counted
  , public stage_host
{
public:
  pipeline_stage(boost::asio::io_context& aContext,
                 stage_options aOptions,
                 ref<engine::engine_client> aEngine,
                 ref<backend_monitor> aMonitor,
                 ref<admission_gate> aGate,
                 std::function<ref<const config::config_view>()> aView,
                 ref<link::local_revision> aLocalRevision);

  /// Sets the links to successors; must be called before the first frame.
  void SetSuccessors(ref<link::provider_links> aLinks) { mSuccessors = std::move(aLinks); }
  /// Handles a frame of a request from an entry or from the preceding stage.
  void OnRequestFrame(const ref<link::connection>& aFrom, const link::frame& aFrame);
  void OnUpstreamLost(const link::connection& aFrom);
  void OnSuccessorFrame(const ref<link::provider>& aSuccessor, const link::frame& aFrame);
  void OnSuccessorLost(const ref<link::provider>& aSuccessor);
  void OnTick(instant aNow);
  /// Sets whether new requests are refused; those admitted already continue.
  void Leave(bool aIsLeaving) { mLeaving = aIsLeaving; }
  /// Fills in the engine's fields of a load report.
  void FillReport(link::load_report& aReport) const;

  const instance_id& Instance() const override { return mOptions.mInstance; }
  const link::local_revision& LocalRevision() const override { return *mLocalRevision; }
  bool IsLeaving() const override { return mLeaving; }
  std::optional<engine::engine_state> Engine() const override { return mMonitor->Engine(); }
  gate_response Enter(const ref<stage_stream>& aStream, const link::open_attempt& aOpen) override;
  void ReleaseSlot() override { mGate->Leave(); }
  bool CancelWaiting(policy::admission_ticket aTicket) override { return mGate->CancelWaiting(aTicket); }
  policy::start_verdict CheckSuspect(const link::open_attempt& aOpen) override;
  void Started(request_digest aDigest) override;
  void Finished(request_digest aDigest, bool aIsComplete) override;
  ref<link::provider> ChooseSuccessor(const link::open_attempt& aOpen, const std::set<std::string>& aExcluded) override;
  void Probe(const ref<link::provider>& aProvider) override { mSuccessors->Probe(aProvider); }
  void StartRun(ref<stage_stream> aStream, engine::run_request aRequest) override;
  void CancelAtEngine(const request_id& aRequest) override;
  void EngineFailed() override;
  duration StallAllowance(bool aIsPrefill, std::uint32_t aPromptTokens) const override;
  duration StreamGrace() const override { return mOptions.mStreamGrace; }
  duration StallFloor() const override { return mOptions.mStallFloor; }

private:
  std::vector<policy::route_candidate> SuccessorCandidates(const std::vector<ref<link::provider>>& aProviders,
                                                           const link::open_attempt& aOpen,
                                                           const std::set<std::string>& aExcluded) const;
  boost::asio::awaitable<void> RunAtEngine(ref<stage_stream> aStream, engine::run_request aRequest);

  boost::asio::io_context& mContext;
  stage_options mOptions;
  ref<engine::engine_client> mEngine;
  ref<backend_monitor> mMonitor;
  ref<link::local_revision> mLocalRevision;
  ref<link::provider_links> mSuccessors;
  sharded_map<request_id, ref<stage_stream>> mStreams;
  std::atomic<bool> mLeaving{ false };
  ref<admission_gate> mGate;
  std::function<ref<const config::config_view>()> mView;
  std::mutex mSuspectMutex;
  policy::crash_suspects mSuspects;
};

} // namespace chervilpulley::sidecar
