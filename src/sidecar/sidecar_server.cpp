#include "sidecar/sidecar_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "chervilpulley/config.h"
#include "config/platform_log.h"
#include "runtime/link_subset.h"
#include "sidecar/booking_runner.h"

namespace chervilpulley::sidecar {

namespace {

constexpr part_log kLog("sidecar");
constexpr duration kTick = std::chrono::milliseconds(50);
/// Ticks without work before the process exits, so that the last frames are sent.
constexpr std::uint32_t kIdleTicksBeforeExit = 6;
/// For the last frames to reach requesters that read slowly.
constexpr duration kMaxLinkCloseTime = std::chrono::seconds(10);

backend_options BackendOptions(const settings::settings& aSettings, const net::endpoint& aAddress, backend_kind aKind)
{
  backend_options options;
  options.mKind = aKind;
  options.mAddress = aAddress;
  options.mProbeInterval = std::chrono::milliseconds(aSettings.backend().probe_interval_ms());
  return options;
}

stage_options StageOptions(const settings::settings& aSettings)
{
  stage_options options;
  options.mInstance = instance_id(aSettings.instance().id());
  options.mPool = pool_name(aSettings.backend().pool());
  options.mEngineTimeout = std::chrono::milliseconds(aSettings.backend().call_timeout_ms());
  options.mStreamGrace = std::chrono::milliseconds(aSettings.limits().stream_grace_ms());
  options.mStallFloor = std::chrono::milliseconds(aSettings.limits().stall_floor_ms());
  return options;
}

service_runner_options RunnerOptions(const settings::settings& aSettings)
{
  service_runner_options options;
  options.mInstance = instance_id(aSettings.instance().id());
  options.mCallTimeout = std::chrono::milliseconds(aSettings.backend().call_timeout_ms());
  return options;
}

} // namespace

sidecar_server::sidecar_server(runtime::instance_core& aCore)
  : mCore(aCore)
  , mKind(aCore.Settings().backend().kind() == "service" ? backend_kind::Service : backend_kind::Engine)
  , mPool(aCore.Settings().backend().pool())
{
  mMonitor = MakeRef<backend_monitor>(mCore.Context(),
                                      mCore.Http(),
                                      BackendOptions(mCore.Settings(), mCore.Addresses().mBackend, mKind),
                                      [this] { ReportToAll(); });
  mMetrics = metrics::process_metrics::Create();
  mGate = MakeRef<admission_gate>(mCore.Context(), gate_limits{}, mMetrics);
  mStage = MakeRef<pipeline_stage>(
    mCore.Context(),
    StageOptions(mCore.Settings()),
    MakeRef<engine::engine_client>(mCore.Http(), mCore.Addresses().mBackend),
    mMonitor,
    mGate,
    [this] { return mCore.Config().Current(); },
    mCore.LocalRevision());
  mPlacement = MakeRef<placement_follower>(
    mCore.Context(),
    mCore.Instance(),
    mCore.ConfigRef(),
    MakeRef<engine::engine_client>(mCore.Http(), mCore.Addresses().mBackend),
    mMonitor,
    [this] { return PendingLoads(); },
    [this](revision_number aRevision) { return IsNewest(aRevision); });
  mCalls = MakeRef<service_calls>(
    mCore.Context(),
    mCore.Instance(),
    MakeServiceRunner(mCore.Context(),
                      mCore.Store(),
                      engine::service_client::Create(mCore.Http(), mCore.Addresses().mBackend),
                      RunnerOptions(mCore.Settings())),
    mMonitor,
    mGate,
    [this] { return mCore.Config().Current(); },
    mCore.LocalRevision());
  link::provider_events events;
  events.mOnFrame = [this](const ref<link::provider>& aProvider, const link::frame& aFrame) {
    mStage->OnSuccessorFrame(aProvider, aFrame);
  };
  events.mOnLost = [this](const ref<link::provider>& aProvider) { mStage->OnSuccessorLost(aProvider); };
  events.mOnRevision = [this](const auto& aInstance, const auto& aDomain, revision_number aRevision) {
    mCore.Config().ObserveRevision(aInstance, aDomain, aRevision);
  };
  mSuccessors = MakeRef<link::provider_links>(
    mCore.Context(), mCore.LinkOptions(), mCore.Hello("sidecar"), mCore.LocalRevision(), std::move(events));
  mStage->SetSuccessors(mSuccessors);
}

result<void, std::string> sidecar_server::Start()
{
  BOOST_OUTCOME_TRY(StartLinks());
  BOOST_OUTCOME_TRY(StartHttp());
  mCore.Config().AddChangeCallback([this](const auto& aView) { OnConfig(*aView); });
  BOOST_OUTCOME_TRY(mCore.StartPeers(*this));
  boost::asio::co_spawn(mCore.Context(), mMonitor->Run(), boost::asio::detached);
  mCore.FollowLiveList([this](const auto& aLive) { OnLiveList(aLive); });
  runtime::Every(mCore.Context(), kTick, [this] { OnTick(); });
  runtime::Every(mCore.Context(), kLoadReportInterval, [this] { ReportToAll(); });
  runtime::OnTerminate(mCore.Context(), [this] { Leave(); });
  runtime::PrintListening(
    mCore.Settings(),
    "sidecar",
    { mHttpServer->LocalEndpoint().Str(), mLinkServer->LocalEndpoint().Str(), mCore.PeerEndpoint().Str(), "" });
  return outcome::success();
}

result<void, std::string> sidecar_server::StartLinks()
{
  auto started = link::server::Start(
    mCore.Context(), mCore.Addresses().mLink, mCore.LinkOptions(), [this](auto aLink) { return OnLinkOpened(aLink); });
  if (started.has_error()) {
    return started.error().mMessage;
  }
  mLinkServer = started.value();
  return outcome::success();
}

result<void, std::string> sidecar_server::StartHttp()
{
  auto started = net::http_server::Start(mCore.Context(),
                                         mCore.Addresses().mHttp,
                                         [this](net::http_exchange& aExchange) { return HandleHttp(aExchange); },
                                         {});
  if (started.has_error()) {
    return started.error().mMessage;
  }
  mHttpServer = started.value();
  return outcome::success();
}

boost::asio::awaitable<void> sidecar_server::HandleHttp(net::http_exchange& aExchange)
{
  auto reply = runtime::HealthReply(aExchange.Request(), mCore.Health());
  if (!reply) {
    reply = runtime::MetricsReply(aExchange.Request(), *mMetrics);
  }
  if (!reply) {
    reply = net::JsonReply(404, R"({"error":"this address serves health and metrics only"})");
  }
  co_await aExchange.Reply(std::move(*reply));
}

link::events sidecar_server::OnLinkOpened(const ref<link::connection>& aLink)
{
  mRequesters.Insert(aLink.get(), { aLink, instance_id(), failure_domain_id() });
  link::events events;
  events.mOnMessage = [this, aLink](link::connection&, const std::string& aMessage) { OnMessage(aLink, aMessage); };
  events.mOnClosed = [this](link::connection& aClosed) {
    mRequesters.Erase(&aClosed);
    mStage->OnUpstreamLost(aClosed);
  };
  return events;
}

void sidecar_server::OnMessage(const ref<link::connection>& aLink, const std::string& aMessage)
{
  link::frame frame;
  if (!link::ParseFrame(aMessage, frame)) {
    kLog.Warning("Closed a link: it sent a message that is not a frame.");
    aLink->Close();
    return;
  }
  if (frame.has_hello()) {
    OnHello(aLink, frame);
  } else if (IsEngine()) {
    mStage->OnRequestFrame(aLink, frame);
  } else if (frame.has_call()) {
    mCalls->OnCall(aLink, frame);
  }
}

void sidecar_server::OnHello(const ref<link::connection>& aLink, const link::frame& aFrame)
{
  const instance_id instance(aFrame.hello().instance());
  const failure_domain_id domain(aFrame.hello().failure_domain());
  mRequesters.WithShard(aLink.get(), [&](auto& aRequesters) {
    auto found = aRequesters.find(aLink.get());
    if (found != aRequesters.end()) {
      found->second.mInstance = instance;
      found->second.mFailureDomain = domain;
    }
  });
  mCore.Config().ObserveRevision(instance, domain, revision_number(aFrame.config_revision()));
  link::SendFrame(aLink.get(), *mCore.LocalRevision(), Report());
}

link::frame sidecar_server::Report() const
{
  link::frame frame;
  link::load_report& report = *frame.mutable_load();
  report.set_instance(mCore.Instance().Str());
  report.set_pool(mPool.Str());
  report.set_leaving(mDraining);
  report.set_backend_up(mMonitor->IsUp());
  report.set_running(mGate->Running());
  report.set_queued(mGate->Waiting());
  report.set_slots(mGate->MaxRunning());
  if (IsEngine()) {
    mStage->FillReport(report);
  }
  return frame;
}

void sidecar_server::ReportToAll()
{
  const link::frame report = Report();
  for (const auto& requester : mRequesters.Values()) {
    link::SendFrame(requester.mLink.get(), *mCore.LocalRevision(), report);
  }
}

void sidecar_server::OnLiveList(const runtime::instance_core::live_instances& aLive)
{
  std::vector<platform::live_instance> pool;
  for (const auto& listed : aLive) {
    if (listed.mInstance == mCore.Instance() && listed.mLeaving && !mDraining) {
      SetLeaving(true);
    }
    if (IsEngine() && listed.mRole == platform::instance_role::Sidecar && listed.mPool == mPool) {
      pool.push_back(listed);
    }
  }
  std::vector<platform::live_instance> successors;
  for (const auto& listed : pool) {
    if (listed.mInstance != mCore.Instance() && MayBeSuccessor(listed.mInstance)) {
      successors.push_back(listed);
    }
  }
  mSuccessors->SetWanted(
    runtime::LinkSubset(std::move(successors), pool, mCore.Self(), mCore.Settings().limits().subset()), Now());
}

bool sidecar_server::MayBeSuccessor(const instance_id& aInstance) const
{
  const auto engine = mMonitor->Engine();
  const admin::placement* placement = mCore.Config().Current()->FindPlacement(aInstance);
  return !engine || placement == nullptr || placement->first_layer() == engine->mLastLayer + 1;
}

boost::asio::awaitable<bool> sidecar_server::IsNewest(revision_number aRevision)
{
  config::platform_log log(mCore.Store());
  const auto next = co_await log.Read(aRevision.Next());
  co_return next.has_value() && !next.value().has_value();
}

std::vector<policy::member_key> sidecar_server::PendingLoads() const
{
  std::vector<policy::member_key> pending{ policy::KeyOf(mCore.Instance()) };
  const auto view = mCore.Config().Current();
  for (const auto& other : mSuccessors->All()) {
    const auto desired = placement_follower::Desired(*view, other->Instance());
    const link::load_report report = other->Report();
    const bool isLoaded = desired && desired->mModel.Str() == report.model() &&
                          desired->mFirst.Value() == report.first_layer() &&
                          desired->mLast.Value() == report.last_layer();
    const bool isSameDomain = other->FailureDomain().Str() == mCore.Settings().instance().failure_domain();
    if (desired && !isLoaded && isSameDomain) {
      pending.push_back(policy::KeyOf(other->Instance()));
    }
  }
  return pending;
}

void sidecar_server::OnConfig(const config::config_view& aView)
{
  const admin::backend_pool* pool = aView.FindPool(mPool);
  if (pool == nullptr) {
    return;
  }
  mGate->SetMaxRunning(pool->max_running() > 0 ? pool->max_running() : gate_limits{}.mMaxRunning);
  mCalls->SetHonoursKey(pool->honours_idempotency_key());
}

void sidecar_server::OnTick()
{
  const instant now = Now();
  mSuccessors->Tick(now);
  if (IsEngine()) {
    mPlacement->OnTick(now);
  }
  mCore.Health().mReady = mCore.Config().Ready();
  mMetrics->Revision(mCore.Config().Current()->Revision().Value());
  mMetrics->InProgress(InProgress());
  mMetrics->PlatformUp(mCore.IsPlatformUp());
  mStage->OnTick(now);
  mIdleTicks = InProgress() == 0 ? mIdleTicks + 1 : 0;
  if (mIsStopping || (mIsTerminating && mIdleTicks > kIdleTicksBeforeExit)) {
    Stop(now);
  }
}

void sidecar_server::Stop(instant aNow)
{
  const auto requesters = mRequesters.Values();
  if (!mIsStopping.exchange(true)) {
    kLog.Info("Nothing is in progress; closing {} links.", requesters.size());
    mStoppingSince = aNow;
    mLinkServer->StopAccepting();
  }
  for (const auto& requester : requesters) {
    requester.mLink->Finish();
  }
  if (requesters.empty() || aNow - mStoppingSince > kMaxLinkCloseTime) {
    kLog.Info("The process ends with {} open links.", requesters.size());
    mCore.Context().stop();
  }
}

void sidecar_server::SetLeaving(bool aIsLeaving)
{
  kLog.Info("{}", aIsLeaving ? "Leaving: new work is refused." : "New work is accepted again.");
  mDraining = aIsLeaving;
  mStage->Leave(aIsLeaving);
  mCalls->Leave(aIsLeaving);
  mCore.Health().mLeaving = aIsLeaving;
  ReportToAll();
}

void sidecar_server::Leave()
{
  SetLeaving(true);
  mIsTerminating = true;
}

rpc::drain_reply sidecar_server::Drain(const rpc::drain_request& aRequest)
{
  SetLeaving(!aRequest.mUndo);
  return { InProgress() };
}

rpc::report_suspect_reply sidecar_server::ReportSuspect(const rpc::report_suspect_request&)
{
  return { 0 };
}

std::string sidecar_server::Status()
{
  const link::frame report = Report();
  admin::instance_status status = mCore.BaseStatus("sidecar");
  status.set_leaving(report.load().leaving());
  status.set_backend_up(report.load().backend_up());
  status.set_running(report.load().running());
  status.set_queued(report.load().queued());
  status.set_model(report.load().model());
  status.set_first_layer(report.load().first_layer());
  status.set_last_layer(report.load().last_layer());
  return status.SerializeAsString();
}

std::uint32_t sidecar_server::InProgress() const
{
  return mGate->Running() + mGate->Waiting() + mCalls->OpenBookings();
}

} // namespace chervilpulley::sidecar
