#include "gateway/gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/log.h"
#include "base/random.h"
#include "gateway/capacity_queue.h"
#include "gateway/crash_store.h"
#include "gateway/crash_watch.h"
#include "gateway/gateway_registry.h"
#include "gateway/placement_leader.h"
#include "gateway/request_context.h"
#include "gateway/request_memory.h"
#include "gateway/route_explanation.h"
#include "gateway/service_request.h"
#include "gateway/store_relay.h"
#include "gateway/store_sync.h"
#include "gateway/stream_request.h"
#include "runtime/process.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;

constexpr part_log kLog("gateway");

/// Time until the balancer has noticed that this instance is leaving and the last connection that it has assigned to
/// this instance has arrived.
constexpr duration kBalancerDetectionTime = std::chrono::milliseconds(2600);
/// From this part of the grace period on, a request is begun only if it ends in time even when its output is far longer
/// than estimated: little time is left for a wrong estimate. The platform counts later requests that are cut as lost.
constexpr int kEarlyPart = 3;
/// Time that a caller who has connected has to send its first request before a leaving instance closes the connection.
constexpr duration kFirstRequestTime = std::chrono::seconds(1);
constexpr duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr duration kLastResponsePollInterval = std::chrono::milliseconds(10);
/// Longest time that callers wait for the configuration after a start: a third of the time after which they give up on
/// a connection that nobody reads.
constexpr duration kMaxConfigurationWait = std::chrono::milliseconds(330);
constexpr duration kConfigurationPollInterval = std::chrono::milliseconds(4);
/// Number of ticks in which a measured delay falls to about a third.
constexpr int kTickDelayMemory = 16;
constexpr int kMmapThresholdBytes = 128 << 10;
/// Readiness checks and scrapes have no body.
constexpr std::size_t kMaxControlBodyBytes = 4U << 10U;
constexpr duration kReportInterval = std::chrono::milliseconds(1000);

duration Milliseconds(double aTime)
{
  return std::chrono::duration_cast<duration>(policy::fractional_ms(aTime));
}

/// A fraction from 0 to 1 that differs between instances and stays the same over restarts.
double JitterOf(const std::string& aInstance)
{
  return static_cast<double>(StableHash(aInstance) >> 11U) / static_cast<double>(1ULL << 53U);
}

/// All components of one gateway. Admits each request (route, key, deadline) before it starts to run.
class gateway_process : public session_host
{
public:
  gateway_process(asio::io_context& aContext, const settings::settings& aSettings)
    : mContext(aContext)
    , mSettings(aSettings)
    , mMetrics(gateway_metrics::Create())
    , mMemory(MakeRef<request_memory>(aSettings.gateway().memory_mb()))
    , mConnections(DivideDescriptors(static_cast<std::size_t>(aSettings.gateway().max_descriptors())))
    , mFleet(MakeRef<fleet>(failure_domain_id(aSettings.instance().failure_domain()),
                            Milliseconds(aSettings.gateway().membership_return_s() * 1000),
                            RetryBounds(aSettings.gateway())))
    , mCalls(backend_calls::Create(aContext))
    , mProbes(MakeRef<engine_probes>(aContext, mFleet, mCalls))
    , mHints(MakeRef<peer_hints>(aContext, mFleet, mProbes))
    , mCrashes(MakeRef<crash_watch>(mFleet, mProbes, mHints, JitterOf(aSettings.instance().id())))
    , mSignals(aContext, SIGTERM, SIGINT, SIGHUP)
    , mCapacityQueue(mStreams)
    , mEnvironment{ aContext,
                    mFleet,
                    mCalls,
                    mProbes,
                    mCrashes,
                    mMetrics,
                    mStreams,
                    mServices,
                    mCapacityQueue,
                    Milliseconds(aSettings.gateway().drain_bound_ms()),
                    std::mt19937_64(std::random_device{}()),
                    {},
                    {},
                    {} }
  {
  }

  bool Start();
  const caller_limits& Limits() const override
  {
    return mFleet->Configuration() ? mFleet->Configuration()->mLimits : mDefaultLimits;
  }
  bool IsLeaving() const override { return mIsLeaving; }
  request_memory* Memory() override
  {
    mMemory->SetLargestRequest(Limits().mMaxHeaderBytes + Limits().mMaxBodyBytes);
    return mMemory.get();
  }
  std::size_t MaxConnections() const override { return mConnections.mCallers; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override;

  std::size_t MaxControlConnections() const { return mConnections.mControl; }
  /// Responds to the balancer's readiness check and to metrics scrapers.
  net::http_reply HandleControl(const net::http_request& aRequest);

private:
  static policy::retry_bounds RetryBounds(const settings::gateway_settings& aSettings)
  {
    return { aSettings.retry_ratio(), aSettings.retry_slack(), Milliseconds(aSettings.retry_window_s() * 1000) };
  }

  bool StartHints();
  bool StartRelay();
  bool IsReady() const;
  void UpdateGauges();
  caller_query CallerQuery(std::string_view aHost, std::string_view aPath, std::string aKey) const
  {
    return { aHost, aPath, std::move(aKey), mSync->IsComplete(), mSync->Keys().MayTrustKeys(BootNow()) };
  }
  net::http_reply HandleExplainRoute(const net::http_request& aRequest);
  /// Responds to a request that is not admitted.
  void Refuse(const ref<caller_session>& aSession,
              const wire::request_metadata& aMetadata,
              unsigned aStatus,
              const std::string& aReason);
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> Tick();
  asio::awaitable<void> Report();
  asio::awaitable<void> FollowSignals();
  asio::awaitable<void> Leave();
  std::size_t EndRequests(instant aNow);
  void PermitsArrived();
  void Reload();

  asio::io_context& mContext;
  settings::settings mSettings;
  ref<gateway_metrics> mMetrics;
  ref<request_memory> mMemory;
  connection_limits mConnections;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  ref<engine_probes> mProbes;
  ref<peer_hints> mHints;
  ref<crash_watch> mCrashes;
  ref<crash_store> mCrashStore;
  ref<store_sync> mSync;
  ref<store_relay> mRelay;
  ref<placement_leader> mPlacement;
  ref<gateway_registry> mRegistry;
  ref<caller_listener> mCallers;
  ref<caller_listener> mControl;
  asio::signal_set mSignals;
  stream_list mStreams;
  service_list mServices;
  capacity_queue mCapacityQueue;
  request_environment mEnvironment;
  caller_limits mDefaultLimits;
  bool mIsLeaving = false;
  bool mWasReady = false;
  duration mTickDelay{ 0 }; ///< longest recent delay of Tick()
};

/// Serves the connections of the balancer and of metrics scrapers.
class control_host : public session_host
{
public:
  explicit control_host(ref<gateway_process> aProcess)
    : mProcess(std::move(aProcess))
  {
    mLimits.mMaxBodyBytes = kMaxControlBodyBytes;
  }
  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return false; }
  request_memory* Memory() override { return mProcess->Memory(); }
  std::size_t MaxConnections() const override { return mProcess->MaxControlConnections(); }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override
  {
    aSession->Respond(mProcess->HandleControl(aRequest));
  }

private:
  ref<gateway_process> mProcess;
  caller_limits mLimits;
};

bool gateway_process::Start()
{
  const auto store = net::ParseEndpoint(mSettings.platform().address());
  const auto callers = net::ParseEndpoint(mSettings.gateway().callers());
  const auto ready = net::ParseEndpoint(mSettings.gateway().ready());
  if (!store || !callers || !ready) {
    kLog.Error("An address in the settings is not of the form ip:port.");
    return false;
  }
  const policy::store_bounds bounds{ Milliseconds(mSettings.gateway().configuration_bound_ms()),
                                     Milliseconds(mSettings.gateway().key_bound_ms()),
                                     Milliseconds(mSettings.gateway().drain_bound_ms()) };
  mCalls->LimitIdle(mConnections.mIdle);
  mCalls->OnEachHead([fleet = mFleet](const policy::server_start& aServer,
                                      const wire::response_metadata& aResponse,
                                      instant aSentAt) { fleet->HandleHead(aServer, aResponse, aSentAt, Now()); });
  mFleet->Limits().SetSelf(instance_id(mSettings.instance().id()));
  mFleet->Limits().OnPermits([this] { PermitsArrived(); });
  mFleet->Limits().OnAskDue([this] {
    asio::post(mContext, [self = ref<gateway_process>(this)] { self->mFleet->Limits().TimePassed(Now()); });
  });
  if (!StartHints()) {
    return false;
  }
  auto calls = MakeRef<store_client>(mContext, store.value(), mMetrics);
  mSync = MakeRef<store_sync>(mContext, calls, mFleet, mMetrics, bounds);
  mCrashStore = MakeRef<crash_store>(mContext, instance_id(mSettings.instance().id()), calls, mCrashes);
  mRelay = MakeRef<store_relay>(
    mContext, mSync->Cache(), [sync = mSync] { return sync->MayRelay(); }, mConnections.mRelay);
  if (!mSettings.gateway().peers().empty() && !StartRelay()) {
    return false;
  }
  mPlacement = MakeRef<placement_leader>(
    mContext, instance_id(mSettings.instance().id()), calls, mSync, mFleet, mCalls, mProbes, mHints, mMetrics);
  mRegistry = MakeRef<gateway_registry>(mContext,
                                        instance_id(mSettings.instance().id()),
                                        failure_domain_id(mSettings.instance().failure_domain()),
                                        mRelay->LocalAddress(),
                                        calls,
                                        mSync,
                                        mFleet,
                                        mHints);
  mCallers = caller_listener::Open(mContext, callers.value(), ref<session_host>(this));
  mControl = caller_listener::Open(mContext, ready.value(), MakeRef<control_host>(ref<gateway_process>(this)));
  if (!mCallers || !mControl) {
    kLog.Error("Failed to listen on {} or {}.", callers.value().Str(), ready.value().Str());
    return false;
  }
  runtime::PrintListening(
    mSettings, "gateway", { mCallers->LocalEndpoint().Str(), "", "", mControl->LocalEndpoint().Str() });
  StartDecisionLog(mSettings.instance().id());
  log_line(log_event::Started)
    .Text("callers", mCallers->LocalEndpoint().Str())
    .Text("ready", mControl->LocalEndpoint().Str())
    .Text("failure_domain", mSettings.instance().failure_domain())
    .Count("caller_bytes", mMemory->Budget())
    .Count("caller_connections", mConnections.mCallers);
  mControl->Accept();
  mSync->Start();
  Spawn(mContext, AcceptCallers());
  mPlacement->Start();
  mRegistry->Start();
  mCrashStore->Start();
  Spawn(mContext, Tick());
  Spawn(mContext, Report());
  Spawn(mContext, FollowSignals());
  return true;
}

bool gateway_process::StartHints()
{
  if (mSettings.gateway().peers().empty()) {
    return true;
  }
  const auto peers = net::ParseEndpoint(mSettings.gateway().peers());
  if (!peers || !mHints->Start(peers.value())) {
    kLog.Error("Failed to bind the UDP socket for other gateways to \"{}\".", mSettings.gateway().peers());
    return false;
  }
  mFleet->OnLossFound([hints = mHints](const backend_id& aEngine) { hints->NotifyLost(aEngine); });
  mFleet->Limits().OnAsk([hints = mHints](const net::endpoint& aCoordinator, const permit_ask& aAsk) {
    hints->AskPermits(aCoordinator, aAsk);
  });
  mFleet->Announcements().OnAnnounce(
    [hints = mHints](const std::vector<net::endpoint>& aTo, const std::string& aDatagram) {
      hints->SendAnnouncement(aTo, aDatagram);
    });
  mFleet->OnSlowFound([hints = mHints](const backend_id& aEngine) { hints->NotifySlow(aEngine); });
  return true;
}

bool gateway_process::StartRelay()
{
  const auto peers = net::ParseEndpoint(mSettings.gateway().peers());
  if (!peers || !mRelay->Start(peers.value())) {
    kLog.Error("Failed to listen for other gateways on \"{}\".", mSettings.gateway().peers());
    return false;
  }
  return true;
}

bool gateway_process::IsReady() const
{
  return !mIsLeaving && mSync->IsComplete() && mSync->Keys().MayAcceptRequests(BootNow());
}

/// Sets the gauges to the current values, for a scrape.
void gateway_process::UpdateGauges()
{
  std::size_t uncovered = 0;
  std::size_t heldOnce = 0;
  if (const auto& configuration = mFleet->Configuration()) {
    for (const pool& each : configuration->mPools) {
      const engine_availability availability = mFleet->Availability(each.mName, Now());
      uncovered += availability.mUncoveredHere;
      heldOnce += availability.mHeldOnceHere;
    }
    mMetrics->Configuration(configuration->mVersion, mSync->Keys().Age(BootNow()).value_or(duration::zero()));
  }
  mMetrics->Backends(mFleet->Members().Members().size(), uncovered, heldOnce);
  mMetrics->SlowEngines(mFleet->SlowEngines());
  mMetrics->Limits(mFleet->LimitsInForce(Now()));
  mMetrics->Retries(mFleet->Retries().InForce(BootNow()));
  mMetrics->BlockedTraits(mCrashes->BlockCount(Now()));
  mMetrics->PeersAndQueue(mFleet->Gateways(), mCapacityQueue.Size());
  if (const auto& configuration = mFleet->Configuration()) {
    for (const pool& each : configuration->mPools) {
      if (const overload_control* overload = mFleet->Overload(each.mName)) {
        const load_announcements& announcements = mFleet->Announcements();
        mMetrics->Overload(overload->State(), announcements.HeardCount(Now()), announcements.SentBytes());
      }
    }
  }
  mMetrics->Relaying(mSync->IsFollowing(), mRelay->Readers());
  mMetrics->LogLinesDropped(DroppedLogLines());
  mMetrics->CallerLimits({ mMemory->Held(),
                           mMemory->Budget(),
                           mCallers->Open(),
                           mConnections.mCallers,
                           mMemory->Counters().mRejectedRequests,
                           mMemory->Counters().mDroppedResponses,
                           mCallers->ClosedForRoom() });
}

net::http_reply gateway_process::HandleControl(const net::http_request& aRequest)
{
  net::http_reply reply;
  if (wire::IsReadinessCheck(aRequest.mTarget)) {
    reply.mStatus = IsReady() ? 200 : 503;
  } else if (net::PathOf(aRequest.mTarget) == "/metrics") {
    reply.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
    UpdateGauges();
    reply.mBody = mMetrics->Text();
  } else if (net::PathOf(aRequest.mTarget) == "/explain-route") {
    return HandleExplainRoute(aRequest);
  } else {
    reply.mStatus = 404;
  }
  return reply;
}

/// Explains where a request would be routed now. The key comes in a header, since targets may be logged by proxies.
net::http_reply gateway_process::HandleExplainRoute(const net::http_request& aRequest)
{
  const auto question = ReadRouteQuestion(aRequest);
  if (!question) {
    net::http_reply reply;
    reply.mStatus = 400;
    return reply;
  }
  const instant now = Now();
  const caller_query caller = CallerQuery(question->mHost, net::PathOf(question->mPath), question->mKey);
  route_explanation explanation = ExplainRoute(
    *mFleet,
    *question,
    caller,
    [&](const pool_name& aPool, const policy::waiting_request& aWaiting) {
      return mCapacityQueue.View(aPool, aWaiting, now);
    },
    now);
  explanation.mIsLeaving = mIsLeaving;
  return net::JsonReply(200, ToJson(explanation));
}

void gateway_process::Refuse(const ref<caller_session>& aSession,
                             const wire::request_metadata& aMetadata,
                             unsigned aStatus,
                             const std::string& aReason)
{
  const auto& configuration = mFleet->Configuration();
  const auto age = mSync->Keys().Age(BootNow());
  log_line(log_event::RequestRefused)
    .Text("request", aMetadata.mId.Str())
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("configuration", configuration ? configuration->mVersion : 0)
    .Number("confirmed_ms_ago", age ? std::chrono::duration<double, std::milli>(*age).count() : -1)
    .Text("from", mSync->IsFollowing() ? "relay" : "store");
  mMetrics->Ended(aStatus == 503 ? request_end::Refused : request_end::NotAllowed, duration::zero());
  aSession->Respond(OwnResponse(aStatus, aStatus == 503 ? std::optional(kRetryElsewhereAfter) : std::nullopt));
}

void gateway_process::Handle(const ref<caller_session>& aSession, net::http_request aRequest)
{
  admitted_request admitted;
  admitted.mMetadata = wire::DecodeMetadata(aRequest.mHeaders);
  admitted.mConfiguration = mFleet->Configuration();
  const caller_verdict verdict =
    CheckCaller(admitted.mConfiguration.get(),
                CallerQuery(admitted.mMetadata.mHost, net::PathOf(aRequest.mTarget), admitted.mMetadata.mKey));
  if (verdict.mStatus != 0) {
    Refuse(aSession, admitted.mMetadata, verdict.mStatus, std::string(verdict.mReason));
    return;
  }
  admitted.mRoute = verdict.mRoute;
  admitted.mPriority = admitted.mRoute->mPriority;
  std::optional<std::uint32_t> workspacePriority;
  if (verdict.mWorkspace != nullptr) {
    admitted.mWorkspace = verdict.mWorkspace->mName.Str();
    workspacePriority = verdict.mWorkspace->mPriority;
    admitted.mPriority = workspacePriority.value_or(admitted.mPriority);
  }
  admitted.mPool = DrawPool(*admitted.mRoute, mEnvironment.mRandom());
  admitted.mArrived = Now();
  const duration callerTimeout = admitted.mMetadata.mCallerTimeout.value_or(kDefaultCallerTimeout);
  admitted.mDeadline = admitted.mArrived + std::min(callerTimeout, admitted.mRoute->mTimeout);
  admitted.mSession = aSession;
  admitted.mRequest = std::move(aRequest);
  admitted.mTraits = crash_watch::TraitsOf(admitted);
  if (const auto retryAfter = mCrashes->Refuse(admitted, admitted.mArrived)) {
    mMetrics->Ended(request_end::Refused, duration::zero());
    aSession->Respond(OwnResponse(503, *retryAfter));
    return;
  }
  const pool* pool = admitted.mConfiguration->FindPool(admitted.mPool);
  if (const auto* levels = admitted.mConfiguration->MixedPriorities(admitted.mPool)) {
    admitted.mPriority = static_cast<std::uint32_t>(
      levels->LevelOf(policy::request_priority::Of(workspacePriority, admitted.mRoute->mPriority)));
  }
  if (admitted.mRoute->mKind == request_kind::Stream && pool != nullptr && pool->mEngine) {
    MakeRef<stream_request>(mEnvironment, std::move(admitted))->Start();
  } else {
    MakeRef<service_request>(mEnvironment, std::move(admitted))->Start();
  }
}

/// Accepts callers once the configuration, the other gateways and their findings about crashes have been read, which
/// takes about ten milliseconds: after a restart of all gateways, hundreds of callers connect at once. When the store
/// does not respond in time, callers are accepted anyway and their requests refused with a retry-after time.
asio::awaitable<void> gateway_process::AcceptCallers()
{
  const instant begun = Now();
  while (!(mSync->IsComplete() && mRegistry->IsRead() && mCrashStore->IsRead()) &&
         Now() - begun < kMaxConfigurationWait) {
    co_await Pause(kConfigurationPollInterval);
  }
  log_line(log_event::CallersAccepted)
    .Text("configuration", mSync->IsComplete() ? "in force" : "missing")
    .Number("after_ms", std::chrono::duration<double, std::milli>(Now() - begun).count());
  mCallers->Accept();
}

asio::awaitable<void> gateway_process::Tick()
{
  while (true) {
    const instant due = Now() + kStreamTick;
    co_await Pause(kStreamTick);
    const instant now = Now();
    mTickDelay = std::max<duration>(now - due, mTickDelay * (kTickDelayMemory - 1) / kTickDelayMemory);
    for (auto stream = mStreams.begin(); stream != mStreams.end();) {
      const ref<stream_request> kept(&*stream);
      ++stream;
      kept->TimePassed(now);
    }
    mFleet->Limits().TimePassed(now);
    mFleet->UpdateOverload(mCapacityQueue.RankedDemand(now), now);
    mCapacityQueue.TimePassed(now);
    mMetrics->CrashesFound(mCrashes->Confirm(now));
  }
}

asio::awaitable<void> gateway_process::Report()
{
  while (true) {
    co_await Pause(kReportInterval);
    const bool ready = IsReady();
    if (ready != mWasReady) {
      log_line(ready ? log_event::Ready : log_event::NotReady);
      mWasReady = ready;
    }
    for (const backend_id& slow : mFleet->SlowEnginesToProbe(Now())) {
      mProbes->ProbeSuspect(slow);
    }
    mCrashes->TimePassed(Now());
    mMetrics->StoreDataAges(mSync->Keys().Age(BootNow()), mSync->Cache()->ListAge(BootNow()));
  }
}

asio::awaitable<void> gateway_process::FollowSignals()
{
  while (true) {
    const int number = co_await mSignals.async_wait(asio::use_awaitable);
    log_line(log_event::Signal).Count("number", static_cast<std::uint64_t>(number));
    if (number == SIGHUP) {
      Reload();
    } else if (!mIsLeaving) {
      mIsLeaving = true;
      Spawn(mContext, Leave());
    }
  }
}

void gateway_process::Reload()
{
  // Addresses and bounds are fixed for the lifetime of a process; the platform replaces processes to change them.
  log_line(log_event::SettingsReloaded).Text("in_force", "from the next start");
}

void gateway_process::PermitsArrived()
{
  const instant now = Now();
  mCapacityQueue.TimePassed(now);
  for (auto service = mServices.begin(); service != mServices.end();) {
    const ref<service_request> kept(&*service);
    ++service;
    kept->PermitsArrived(now);
  }
}

/// Ends all requests, so that each caller gets a response before the process stops; returns their number.
std::size_t gateway_process::EndRequests(instant aNow)
{
  std::size_t ended = 0;
  for (; !mStreams.empty(); ++ended) {
    const ref<stream_request> stream(&mStreams.front());
    stream->Stop(aNow);
  }
  for (; !mServices.empty(); ++ended) {
    const ref<service_request> request(&mServices.front());
    request->Stop(aNow);
  }
  return ended;
}

asio::awaitable<void> gateway_process::Leave()
{
  const instant begun = Now();
  const duration grace = Milliseconds(mSettings.gateway().stop_grace_s() * 1000);
  const auto stop = [&] { return begun + grace - policy::StopMargin(grace, mTickDelay); };
  const auto lastResponses = [&] { return stop() - policy::LastResponseTime(grace); };
  const instant lateFrom = begun + std::min<duration>(grace / kEarlyPart, kBalancerDetectionTime);
  mEnvironment.mStop.StopAt(lastResponses(), lateFrom);
  mPlacement->Leave();
  mRegistry->Leave();
  mRelay->Leave();
  co_await Pause(std::min<duration>(kBalancerDetectionTime, (stop() - begun) / 2));
  mCallers->StopAccepting();
  do {
    mCallers->CloseIdle(kFirstRequestTime);
    co_await Pause(kDrainPollInterval);
    mEnvironment.mStop.StopAt(lastResponses(), lateFrom);
  } while (mCallers->Open() > 0 && Now() < lastResponses());
  const std::size_t cut = EndRequests(Now());
  while (mCallers->Open() > 0 && Now() < stop()) {
    mCallers->CloseIdle(duration::zero());
    co_await Pause(kLastResponsePollInterval);
  }
  mCallers->LogOpen(Now());
  log_line(log_event::Stopped)
    .Count("cut", cut)
    .Number("after_ms", std::chrono::duration<double, std::milli>(Now() - begun).count());
  mContext.stop();
}

/// Keeps the C library from raising the size from which memory is returned to the system when it is freed. It does so
/// after each larger block that is freed, and bodies then fragment the heap.
void FixMmapThreshold()
{
#ifdef __GLIBC__
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
#endif
}

} // namespace

int Run(const settings::settings& aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  FixMmapThreshold();
  SetUpLogs(aSettings.log().level(), aSettings.log().format(), aSettings.instance().id());
  asio::io_context context(1);
  const auto process = MakeRef<gateway_process>(context, aSettings);
  if (!process->Start()) {
    return 1;
  }
  try {
    context.run();
  } catch (const std::exception& error) {
    // An interrupted handler may have left a request half changed, so none is served any more.
    log_line(log_event::HandlerFailed).Text("reason", error.what());
    return 1;
  }
  return 0;
}

} // namespace chervilpulley::gateway
