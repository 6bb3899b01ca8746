#include "entry/entry_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <map>

#include "base/clock.h"
#include "base/log.h"
#include "runtime/link_subset.h"

namespace chervilpulley::entry {

namespace {

constexpr part_log kLog("entry");
constexpr duration kTickInterval = std::chrono::milliseconds(50);
/// Requests that still run get a response this long before the end of the grace period.
constexpr duration kStopMargin = std::chrono::milliseconds(500);
constexpr duration kExitMargin = std::chrono::milliseconds(100);
constexpr duration kReportTimeout = std::chrono::seconds(1);

caller_options CallerOptions(const settings::settings& aSettings)
{
  caller_options options;
  options.mClusterKey = aSettings.security().cluster_key();
  options.mDefaultDeadline = std::chrono::milliseconds(aSettings.limits().default_deadline_ms());
  options.mStallFloor = std::chrono::milliseconds(aSettings.limits().stall_floor_ms());
  return options;
}

net::http_limits HttpLimits(const settings::settings& aSettings)
{
  net::http_limits limits;
  limits.mMaxBodyBytes = aSettings.limits().max_body_bytes();
  limits.mMaxConnections = 2 * aSettings.limits().max_streams();
  return limits;
}

duration StopMargin(duration aGrace)
{
  return std::min(kStopMargin, aGrace / 4);
}

/// Maximum number of digests in a report.
constexpr std::size_t kMaxDigests = 64;

/// The comma-separated digests of a report; empty when one can't be read or there are too many.
std::vector<std::uint64_t> ParseDigests(std::string_view aText)
{
  std::vector<std::uint64_t> digests;
  while (!aText.empty() && digests.size() < kMaxDigests) {
    const std::string_view each = aText.substr(0, aText.find(','));
    std::uint64_t digest = 0;
    const auto parsed = std::from_chars(each.data(), each.data() + each.size(), digest);
    if (parsed.ec != std::errc() || parsed.ptr != each.data() + each.size()) {
      return {};
    }
    digests.push_back(digest);
    aText.remove_prefix(std::min(aText.size(), each.size() + 1));
  }
  return aText.empty() ? digests : std::vector<std::uint64_t>();
}

} // namespace

entry_server::entry_server(runtime::instance_core& aCore)
  : mCore(aCore)
  , mRouter(MakeRef<request_router>())
{
  link::provider_events events;
  events.mOnFrame = [this](const ref<link::provider>& aProvider, link::frame aFrame) {
    mRouter->OnFrame(aProvider, std::move(aFrame));
  };
  events.mOnLost = [this](const ref<link::provider>& aProvider) { mRouter->OnProviderLost(aProvider); };
  events.mOnRevision = [this](const auto& aInstance, const auto& aDomain, revision_number aRevision) {
    mCore.Config().ObserveRevision(aInstance, aDomain, aRevision);
  };
  mLinks = MakeRef<link::provider_links>(
    mCore.Context(), mCore.LinkOptions(), mCore.Hello("entry"), mCore.LocalRevision(), std::move(events));
  mRouter->SetLinks(mLinks);
  mMetrics = metrics::process_metrics::Create();
  mGuard =
    MakeRef<request_guard>([this](request_digest aDigest, std::uint32_t aCrashes) { ReportCrash(aDigest, aCrashes); },
                           [this](const std::vector<run_trait>& aTraits) { ReportTraits(aTraits); });
  mApi = MakeRef<caller_api>(
    completion_context{ *mRouter, *mGuard, *mMetrics },
    [this] { return mCore.Config().Current(); },
    [this] { return mCore.Live(); },
    CallerOptions(mCore.Settings()));
}

result<void, std::string> entry_server::Start()
{
  BOOST_OUTCOME_TRY(StartHttp());
  BOOST_OUTCOME_TRY(mCore.StartPeers(*this));
  BOOST_OUTCOME_TRY(StartAdmin());
  mCore.FollowLiveList([this](const auto& aLive) { OnLiveList(aLive); });
  runtime::Every(mCore.Context(), kTickInterval, [this] { OnTick(); });
  runtime::OnTerminate(mCore.Context(), [this] { Leave(); });
  runtime::PrintListening(
    mCore.Settings(),
    "entry",
    { mHttpServer->LocalEndpoint().Str(), "", mCore.PeerEndpoint().Str(), mAdminServer->LocalEndpoint().Str() });
  return outcome::success();
}

result<void, std::string> entry_server::StartHttp()
{
  auto started = net::http_server::Start(
    mCore.Context(),
    mCore.Addresses().mHttp,
    [this](net::http_exchange& aExchange) { return HandleHttp(aExchange); },
    HttpLimits(mCore.Settings()));
  if (started.has_error()) {
    return started.error().mMessage;
  }
  mHttpServer = started.value();
  return outcome::success();
}

result<void, std::string> entry_server::StartAdmin()
{
  mOperators = std::make_unique<runtime::operator_backend>(mCore, mCore.ConfigRef(), mCore.Peers());
  auto started = admin::admin_server::Start(
    { mCore.Addresses().mAdmin, mCore.Settings().security().bootstrap_operator_key() }, *mOperators);
  if (started.has_error()) {
    return started.error().mMessage;
  }
  mAdminServer = started.value();
  return outcome::success();
}

boost::asio::awaitable<void> entry_server::HandleHttp(net::http_exchange& aExchange)
{
  if (auto reply = runtime::HealthReply(aExchange.Request(), mCore.Health())) {
    co_await aExchange.Reply(std::move(*reply));
    co_return;
  }
  if (auto reply = runtime::MetricsReply(aExchange.Request(), *mMetrics)) {
    co_await aExchange.Reply(std::move(*reply));
    co_return;
  }
  co_await mApi->HandleRequest(aExchange);
}

void entry_server::OnLiveList(const runtime::instance_core::live_instances& aLive)
{
  std::map<pool_name, std::vector<platform::live_instance>> pools;
  std::vector<platform::live_instance> entries;
  for (const auto& listed : aLive) {
    if (listed.mRole == platform::instance_role::Sidecar) {
      pools[listed.mPool].push_back(listed);
      continue;
    }
    entries.push_back(listed);
    if (listed.mInstance == mCore.Instance() && listed.mLeaving) {
      mCore.Health().mLeaving = true;
    }
  }
  mGuard->SetEntryCount(std::max<std::size_t>(entries.size(), 1));
  std::vector<platform::live_instance> wanted;
  for (auto& pool : pools) {
    auto chosen =
      runtime::LinkSubset(std::move(pool.second), entries, mCore.Self(), mCore.Settings().limits().subset());
    wanted.insert(wanted.end(), chosen.begin(), chosen.end());
  }
  mLinks->SetWanted(wanted, Now());
}

void entry_server::OnTick()
{
  const instant now = Now();
  mLinks->Tick(now);
  mCore.Health().mReady = mCore.Config().Ready();
  mMetrics->Revision(mCore.Config().Current()->Revision().Value());
  mMetrics->InProgress(mHttpServer->OpenExchanges());
  mMetrics->PlatformUp(mCore.IsPlatformUp());
  if (mLeaving) {
    OnLeavingTick(now);
  }
}

void entry_server::OnLeavingTick(instant aNow)
{
  const duration grace = std::chrono::milliseconds(mCore.Settings().limits().stop_grace_ms());
  const bool hasEnd = grace > duration::zero();
  const duration left = mLeavingSince + grace - aNow;
  duration drain = std::chrono::milliseconds(mCore.Settings().limits().drain_ms());
  if (hasEnd) {
    drain = std::min(drain, grace / 2);
  }
  if (!mHasStoppedAccepting && aNow - mLeavingSince > drain) {
    kLog.Info("Stopped accepting connections.");
    mHttpServer->StopAccepting();
    mHasStoppedAccepting = true;
  }
  if (hasEnd && left < StopMargin(grace)) {
    mRouter->StopAll();
  }
  if (!mHasStoppedAccepting || mStopping.joinable()) {
    return;
  }
  const std::size_t open = mHttpServer->OpenExchanges();
  if (open == 0) {
    kLog.Info("No request is in progress; exiting.");
    Stop();
  } else if (hasEnd && left < kExitMargin) {
    kLog.Warning("The grace period ends; exiting with {} open connections.", open);
    Stop();
  }
}

void entry_server::Stop()
{
  mStopping = std::jthread([this] {
    mAdminServer->Stop();
    mCore.Context().stop();
  });
}

void entry_server::Leave()
{
  kLog.Info("Shutting down: /readyz fails from now on.");
  mLeavingSince = Now();
  mCore.Health().mLeaving = true;
  const duration grace = std::chrono::milliseconds(mCore.Settings().limits().stop_grace_ms());
  if (grace > duration::zero()) {
    mApi->EndBy(mLeavingSince + grace - StopMargin(grace));
  }
  mLeaving = true;
}

rpc::drain_reply entry_server::Drain(const rpc::drain_request& aRequest)
{
  mCore.Health().mLeaving = !aRequest.mUndo;
  return { static_cast<std::uint32_t>(mHttpServer->OpenExchanges()) };
}

rpc::report_suspect_reply entry_server::ReportSuspect(const rpc::report_suspect_request& aRequest)
{
  const std::vector<std::uint64_t> digests = ParseDigests(aRequest.mDigest);
  if (digests.size() == 1) {
    mGuard->CrashedAtPeer(request_digest(digests.front()), aRequest.mCrashes, Now());
  } else if (!digests.empty()) {
    mGuard->EngineCrashedAtPeer({ digests.begin(), digests.end() }, Now());
  }
  return { aRequest.mCrashes };
}

void entry_server::ReportCrash(request_digest aDigest, std::uint32_t aCrashes)
{
  rpc::report_suspect_request report;
  report.mDigest = std::to_string(aDigest.Value());
  report.mCrashes = aCrashes;
  Report(report);
}

/// Reports the traits of a request under which an engine crashed, as a list of digests. Earlier releases take it for an
/// unreadable digest.
void entry_server::ReportTraits(const std::vector<run_trait>& aTraits)
{
  if (aTraits.size() < 2) {
    return;
  }
  rpc::report_suspect_request report;
  report.mCrashes = 1;
  for (const run_trait trait : aTraits) {
    report.mDigest += (report.mDigest.empty() ? "" : ",") + std::to_string(trait.Value());
  }
  Report(report);
}

void entry_server::Report(const rpc::report_suspect_request& aReport)
{
  for (const auto& listed : mCore.Live()) {
    if (listed.mRole == platform::instance_role::Entry && listed.mInstance != mCore.Instance()) {
      boost::asio::co_spawn(
        mCore.Context(),
        [peers = mCore.Peers(), address = listed.mPeer, report = aReport]() -> boost::asio::awaitable<void> {
          co_await peers->ReportSuspect(address, report, kReportTimeout);
        },
        boost::asio::detached);
    }
  }
}

std::string entry_server::Status()
{
  admin::instance_status status = mCore.BaseStatus("entry");
  status.set_running(static_cast<std::uint32_t>(mHttpServer->OpenExchanges()));
  status.set_backend_up(true);
  return status.SerializeAsString();
}

} // namespace chervilpulley::entry
