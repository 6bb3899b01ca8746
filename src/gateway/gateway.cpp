#include "gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/log.h"
#include "base/random.h"
#include "gateway/capacity_queue.h"
#include "gateway/crash_watch.h"
#include "gateway/gateway_registry.h"
#include "gateway/placement_duty.h"
#include "gateway/request_context.h"
#include "gateway/service_request.h"
#include "gateway/store_relay.h"
#include "gateway/store_sync.h"
#include "gateway/stream_request.h"
#include "runtime/process.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;

constexpr part_log kLog("gateway");

/// How long a caller waits that does not say so.
constexpr duration kLongestPatience = std::chrono::seconds(60);
/// When a caller is told to come back to an instance that can't trust its configuration: another one takes it.
constexpr duration kComeBackElsewhere = std::chrono::milliseconds(100);
/// Time that the balancer takes to find that this instance is leaving, and a connection made just then to arrive.
constexpr duration kBalancerNotices = std::chrono::milliseconds(2600);
/// Time before the end of the grace at which what is still running is cut.
constexpr duration kBeforeKill = std::chrono::milliseconds(300);
/// Part of the grace within which requests are still taken: streams run for three seconds, slow ones for five.
constexpr double kShareForNewRequests = 0.4;
constexpr duration kLookAgain = std::chrono::milliseconds(50);
/// How long callers may wait for the configuration after a start: a third of the time after which they give up on a
/// connection that nobody reads.
constexpr duration kWaitForConfiguration = std::chrono::milliseconds(330);
constexpr duration kLookForConfiguration = std::chrono::milliseconds(4);
constexpr duration kReport = std::chrono::milliseconds(1000);

duration Milliseconds(double aTime)
{
  return std::chrono::duration_cast<duration>(policy::fine_ms(aTime));
}

/// All parts of one gateway, and what it does with each request before its work begins.
class gateway_process : public session_host
{
public:
  gateway_process(asio::io_context& aContext, const settings::settings& aSettings)
    : mContext(aContext)
    , mSettings(aSettings)
    , mMetrics(gateway_metrics::Create())
    , mFleet(MakeRef<fleet>(failure_domain_id(aSettings.instance().failure_domain()),
                            Milliseconds(aSettings.gateway().membership_return_s() * 1000),
                            RetryBounds(aSettings.gateway())))
    , mCalls(backend_calls::Create(aContext))
    , mProbes(MakeRef<engine_inquiries>(aContext, mFleet, mCalls))
    , mHints(MakeRef<peer_hints>(aContext, mFleet, mProbes))
    , mCrashes(MakeRef<crash_watch>(mFleet, mHints))
    , mSignals(aContext, SIGTERM, SIGINT, SIGHUP)
    , mCapacityQueue(mStreams)
    , mEnvironment{ aContext,
                    mFleet,
                    mCalls,
                    mProbes,
                    mCrashes,
                    mMetrics,
                    mStreams,
                    mCapacityQueue,
                    Milliseconds(aSettings.gateway().drain_bound_ms()),
                    std::mt19937_64(std::random_device{}()) }
  {
  }

  bool Start();
  const caller_limits& Limits() const override
  {
    return mFleet->Configuration() ? mFleet->Configuration()->mLimits : mDefaultLimits;
  }
  bool IsLeaving() const override { return mIsLeaving; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override;

  /// The answer to the balancer and to scrapers.
  net::http_reply AnswerControl(const net::http_request& aRequest);

private:
  static policy::retry_bounds RetryBounds(const settings::gateway_settings& aSettings)
  {
    return { aSettings.retry_ratio(), aSettings.retry_slack(), Milliseconds(aSettings.retry_window_s() * 1000) };
  }

  bool StartHints();
  bool StartRelay();
  bool IsReady() const;
  void TakeStock();
  /// A request that comes later after SIGTERM would be cut off by SIGKILL.
  duration LastRequestAfter() const
  {
    return Milliseconds(mSettings.gateway().stop_grace_s() * 1000 * kShareForNewRequests);
  }
  void Refuse(const ref<caller_session>& aSession,
              const wire::request_metadata& aWish,
              unsigned aStatus,
              const std::string& aReason);
  asio::awaitable<void> AcceptCallers();
  asio::awaitable<void> Tick();
  asio::awaitable<void> Report();
  asio::awaitable<void> FollowSignals();
  asio::awaitable<void> Leave();
  void Reload();

  asio::io_context& mContext;
  settings::settings mSettings;
  ref<gateway_metrics> mMetrics;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  ref<engine_inquiries> mProbes;
  ref<peer_hints> mHints;
  ref<crash_watch> mCrashes;
  ref<store_sync> mSync;
  ref<store_relay> mRelay;
  ref<placement_duty> mPlacement;
  ref<gateway_registry> mRegistry;
  ref<caller_listener> mCallers;
  ref<caller_listener> mControl;
  asio::signal_set mSignals;
  stream_list mStreams;
  capacity_queue mCapacityQueue;
  request_environment mEnvironment;
  caller_limits mDefaultLimits;
  bool mIsLeaving = false;
  instant mLeavingSince;
  bool mWasReady = false;
};

/// Sessions of the balancer and of scrapers.
class control_host : public session_host
{
public:
  explicit control_host(ref<gateway_process> aProcess)
    : mProcess(std::move(aProcess))
  {
  }
  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return false; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override
  {
    aSession->Respond(mProcess->AnswerControl(aRequest));
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
    kLog.Error("An address in the settings is no ip:port.");
    return false;
  }
  const store_bounds bounds{ Milliseconds(mSettings.gateway().configuration_bound_ms()),
                             Milliseconds(mSettings.gateway().key_bound_ms()),
                             Milliseconds(mSettings.gateway().drain_bound_ms()) };
  if (!StartHints()) {
    return false;
  }
  auto calls = MakeRef<store_client>(mContext, store.value(), mMetrics);
  mSync = MakeRef<store_sync>(mContext, calls, mFleet, mMetrics, bounds);
  mRelay = MakeRef<store_relay>(mContext, mSync->Cache(), [sync = mSync] { return sync->MayRelay(); });
  if (!mSettings.gateway().peers().empty() && !StartRelay()) {
    return false;
  }
  mPlacement = MakeRef<placement_duty>(
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
    kLog.Error("Can't listen at {} or {}.", callers.value().Str(), ready.value().Str());
    return false;
  }
  runtime::PrintListening(
    mSettings, "gateway", { mCallers->LocalEndpoint().Str(), "", "", mControl->LocalEndpoint().Str() });
  StartDecisionLog(mSettings.instance().id());
  log_line(log_event::Started)
    .Text("callers", mCallers->LocalEndpoint().Str())
    .Text("ready", mControl->LocalEndpoint().Str())
    .Text("failure_domain", mSettings.instance().failure_domain());
  mControl->Accept();
  mSync->Start();
  asio::co_spawn(mContext, AcceptCallers(), asio::detached);
  mPlacement->Start();
  mRegistry->Start();
  asio::co_spawn(mContext, Tick(), asio::detached);
  asio::co_spawn(mContext, Report(), asio::detached);
  asio::co_spawn(mContext, FollowSignals(), asio::detached);
  return true;
}

bool gateway_process::StartHints()
{
  if (mSettings.gateway().peers().empty()) {
    return true;
  }
  const auto peers = net::ParseEndpoint(mSettings.gateway().peers());
  if (!peers || !mHints->Start(peers.value())) {
    kLog.Error("Can't take datagrams at \"{}\".", mSettings.gateway().peers());
    return false;
  }
  mFleet->OnLossFound([hints = mHints](const backend_id& aEngine) { hints->TellLost(aEngine); });
  mFleet->OnSlowFound([hints = mHints](const backend_id& aEngine) { hints->TellSlow(aEngine); });
  return true;
}

bool gateway_process::StartRelay()
{
  const auto peers = net::ParseEndpoint(mSettings.gateway().peers());
  if (!peers || !mRelay->Start(peers.value())) {
    kLog.Error("Can't listen for other gateways at \"{}\".", mSettings.gateway().peers());
    return false;
  }
  return true;
}

bool gateway_process::IsReady() const
{
  return !mIsLeaving && mSync->IsComplete() && mSync->Keys().MayTakeCallers(BootNow());
}

/// Sets the metrics that tell how things stand.
void gateway_process::TakeStock()
{
  std::size_t uncovered = 0;
  std::size_t heldOnce = 0;
  if (const auto& configuration = mFleet->Configuration()) {
    for (const pool& each : configuration->mPools) {
      const engine_supply supply = mFleet->Supply(each.mName, Now());
      uncovered += supply.mUncoveredHere;
      heldOnce += supply.mHeldOnceHere;
    }
    mMetrics->Configuration(configuration->mVersion, mSync->Keys().Age(BootNow()).value_or(duration::zero()));
  }
  mMetrics->Backends(mFleet->Members().Members().size(), uncovered, heldOnce);
  mMetrics->SlowEngines(mFleet->SlowEngines());
  mMetrics->Sharing(mFleet->Gateways(), mCapacityQueue.Size());
  mMetrics->Relaying(mSync->IsFollowing(), mRelay->Readers());
  mMetrics->LogLinesDropped(DroppedLogLines());
}

net::http_reply gateway_process::AnswerControl(const net::http_request& aRequest)
{
  net::http_reply reply;
  if (wire::IsReadinessCheck(aRequest.mTarget)) {
    reply.mStatus = IsReady() ? 200 : 503;
  } else if (net::PathOf(aRequest.mTarget) == "/metrics") {
    reply.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
    TakeStock();
    reply.mBody = mMetrics->Text();
  } else {
    reply.mStatus = 404;
  }
  return reply;
}

void gateway_process::Refuse(const ref<caller_session>& aSession,
                             const wire::request_metadata& aWish,
                             unsigned aStatus,
                             const std::string& aReason)
{
  const auto& configuration = mFleet->Configuration();
  const auto age = mSync->Keys().Age(BootNow());
  log_line(log_event::RequestRefused)
    .Text("request", aWish.mId.Str())
    .Text("reason", aReason)
    .Count("status", aStatus)
    .Count("configuration", configuration ? configuration->mVersion : 0)
    .Number("confirmed_ms_ago", age ? std::chrono::duration<double, std::milli>(*age).count() : -1);
  mMetrics->Ended(aStatus == 503 ? request_end::Refused : request_end::NotAllowed, duration::zero());
  aSession->Respond(OwnResponse(aStatus, aStatus == 503 ? std::optional(kComeBackElsewhere) : std::nullopt));
}

void gateway_process::Handle(const ref<caller_session>& aSession, net::http_request aRequest)
{
  admitted_request asked;
  asked.mMetadata = wire::DecodeMetadata(aRequest.mHeaders);
  asked.mConfiguration = mFleet->Configuration();
  if (!asked.mConfiguration || !mSync->IsComplete()) {
    Refuse(aSession, asked.mMetadata, 503, "not configured yet");
    return;
  }
  if (mIsLeaving && Now() - mLeavingSince > LastRequestAfter()) {
    Refuse(aSession, asked.mMetadata, 503, "leaving");
    return;
  }
  asked.mRoute = asked.mConfiguration->FindRoute(asked.mMetadata.mHost, net::PathOf(aRequest.mTarget));
  const bool trustsKeys = mSync->Keys().MayTrustKeys(BootNow());
  if (asked.mRoute == nullptr) {
    Refuse(aSession, asked.mMetadata, trustsKeys ? 404 : 503, "no route");
    return;
  }
  asked.mPriority = asked.mRoute->mPriority;
  if (asked.mRoute->mNeedsKey && !asked.mConfiguration->mWorkspaces.empty()) {
    if (!trustsKeys) {
      Refuse(aSession, asked.mMetadata, 503, "configuration not confirmed");
      return;
    }
    const workspace* workspace = asked.mConfiguration->FindWorkspace(asked.mMetadata.mKey);
    if (workspace == nullptr) {
      Refuse(aSession, asked.mMetadata, 401, "unknown key");
      return;
    }
    asked.mWorkspace = workspace->mName.Str();
    asked.mPriority = workspace->mPriority.value_or(asked.mPriority);
  }
  asked.mPool = DrawPool(*asked.mRoute, mEnvironment.mRandom());
  asked.mArrived = Now();
  const duration patience = asked.mMetadata.mCallerTimeout.value_or(kLongestPatience);
  asked.mDeadline = asked.mArrived + std::min(patience, asked.mRoute->mTimeout);
  asked.mSession = aSession;
  asked.mRequest = std::move(aRequest);
  asked.mDigest = crash_watch::DigestOf(asked);
  if (mCrashes->IsCondemned(asked.mDigest)) {
    log_line(log_event::RequestCondemned)
      .Text("request", asked.mMetadata.mId.Str())
      .Count("digest", asked.mDigest.Value());
    // It has not run, and there is no time at which it would.
    mMetrics->Ended(request_end::Refused, duration::zero());
    aSession->Respond(OwnResponse(503, std::nullopt));
    return;
  }
  const pool* pool = asked.mConfiguration->FindPool(asked.mPool);
  if (asked.mRoute->mKind == request_kind::Stream && pool != nullptr && pool->mEngine) {
    MakeRef<stream_request>(mEnvironment, std::move(asked))->Start();
  } else {
    MakeRef<service_request>(mEnvironment, std::move(asked))->Start();
  }
}

/// Callers that come while the configuration and the other gateways are read wait for it: it takes some ten
/// milliseconds, and after a restart of all gateways hundreds stand before the door. Where the store does not answer
/// they are sent on instead.
asio::awaitable<void> gateway_process::AcceptCallers()
{
  const instant begun = Now();
  while (!(mSync->IsComplete() && mRegistry->IsRead()) && Now() - begun < kWaitForConfiguration) {
    co_await Pause(kLookForConfiguration);
  }
  log_line(log_event::CallersAccepted)
    .Text("configuration", mSync->IsComplete() ? "in force" : "missing")
    .Number("after_ms", std::chrono::duration<double, std::milli>(Now() - begun).count());
  mCallers->Accept();
}

asio::awaitable<void> gateway_process::Tick()
{
  while (true) {
    co_await Pause(kStreamTick);
    const instant now = Now();
    for (auto stream = mStreams.begin(); stream != mStreams.end();) {
      const ref<stream_request> kept(&*stream);
      ++stream;
      kept->TimePassed(now);
    }
    mCapacityQueue.TimePassed(now);
  }
}

asio::awaitable<void> gateway_process::Report()
{
  while (true) {
    co_await Pause(kReport);
    const bool ready = IsReady();
    if (ready != mWasReady) {
      log_line(ready ? log_event::Ready : log_event::NotReady);
      mWasReady = ready;
    }
    for (const backend_id& slow : mFleet->SlowSoFar(Now())) {
      mProbes->Check(slow);
    }
    mMetrics->CrashesFound(mCrashes->TimePassed(Now()));
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
      mLeavingSince = Now();
      asio::co_spawn(mContext, Leave(), asio::detached);
    }
  }
}

void gateway_process::Reload()
{
  // Addresses and bounds hold for the life of a process; the platform replaces processes to change them.
  log_line(log_event::SettingsReloaded).Text("in_force", "from the next start");
}

asio::awaitable<void> gateway_process::Leave()
{
  const instant begun = Now();
  const instant kill = begun + Milliseconds(mSettings.gateway().stop_grace_s() * 1000) - kBeforeKill;
  mPlacement->Leave();
  mRegistry->Leave();
  mRelay->Leave();
  co_await Pause(std::min<duration>(kBalancerNotices, (kill - begun) / 2));
  mCallers->StopAccepting();
  mCallers->CloseIdle();
  while (mCallers->Busy() > 0 && Now() < kill) {
    co_await Pause(kLookAgain);
    mCallers->CloseIdle();
  }
  log_line(log_event::Stopped)
    .Count("cut", mCallers->Busy())
    .Number("after_ms", std::chrono::duration<double, std::milli>(Now() - begun).count());
  mContext.stop();
}

} // namespace

int Run(const settings::settings& aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLogs(aSettings.log().level(), aSettings.log().format(), aSettings.instance().id());
  asio::io_context context(1);
  const auto process = MakeRef<gateway_process>(context, aSettings);
  if (!process->Start()) {
    return 1;
  }
  context.run();
  return 0;
}

} // namespace chervilpulley::gateway
