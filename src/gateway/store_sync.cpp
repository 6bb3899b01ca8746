#include "gateway/store_sync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <ctime>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

/// Parts of the bounds between two questions for the configuration: one may be lost before a bound is missed. Each
/// call is paid for.
constexpr double kConfigurationShare = 0.45;
constexpr double kKeyShare = 0.28;
/// Pause after changes came, so that servers that are listed one after the other take few calls.
constexpr duration kChangesPause = std::chrono::milliseconds(300);
/// Longest wait of one watch. A connection may fall silent without a sign, and then leaving servers go unseen until
/// the watch is over.
constexpr duration kLongestWatch = std::chrono::milliseconds(1500);
/// Time that a watch's answer may come late.
constexpr duration kWatchSlack = std::chrono::milliseconds(400);
/// Pauses after a failed call.
constexpr duration kShortPause = std::chrono::milliseconds(100);
constexpr duration kLongPause = std::chrono::milliseconds(500);
/// Longest wait for a plain call; the store answers in milliseconds, and up to a hundred times slower on bad days.
constexpr duration kCallTimeout = std::chrono::milliseconds(900);
constexpr duration kListTimeout = std::chrono::milliseconds(2000);

} // namespace

instant BootNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(
    std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

boost::asio::awaitable<void> Pause(duration aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

store_calls::store_calls(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics)
  : mStore(std::move(aStore))
  , mClient(net::http_client::Create(aContext))
  , mMetrics(std::move(aMetrics))
{
}

boost::asio::awaitable<store_calls::outcome> store_calls::Call(net::http_request aRequest, duration aTimeout)
{
  const ref<store_calls> self(this);
  const instant begun = Now();
  const std::string target = aRequest.mMethod + " " + aRequest.mTarget;
  auto reply = co_await mClient->Fetch(mStore, std::move(aRequest), aTimeout);
  outcome result;
  std::string reason;
  if (reply) {
    result.mStatus = reply.value().mStatus;
    result.mBody = std::move(reply.value().mBody);
    reason = "status " + std::to_string(result.mStatus);
  } else {
    reason = reply.error().mMessage;
  }
  // 404, 409 and 410 are answers to the question, no failures of the store.
  const bool answered = result.IsGood() || result.mStatus == 404 || result.mStatus == 409 || result.mStatus == 410;
  mMetrics->StoreCall(answered, Now() - begun);
  if (!answered && !mIsLost) {
    log_line(log_event::StoreLost).Text("call", target).Text("reason", reason);
  } else if (answered && mIsLost) {
    log_line(log_event::StoreRegained).Text("call", target);
  }
  mIsLost = !answered;
  co_return result;
}

store_sync::store_sync(boost::asio::io_context& aContext,
                       ref<store_calls> aCalls,
                       ref<fleet> aFleet,
                       ref<gateway_metrics> aMetrics,
                       store_bounds aBounds)
  : mContext(aContext)
  , mCalls(std::move(aCalls))
  , mFleet(std::move(aFleet))
  , mMetrics(std::move(aMetrics))
  , mBounds(aBounds)
  , mKeys(aBounds.mKeys)
{
}

void store_sync::Start()
{
  boost::asio::co_spawn(mContext, FollowConfiguration(), boost::asio::detached);
  boost::asio::co_spawn(mContext, FollowMembers(), boost::asio::detached);
}

boost::asio::awaitable<void> store_sync::FollowConfiguration()
{
  const ref<store_sync> self(this);
  const auto interval = std::chrono::duration_cast<duration>(
    std::min(mBounds.mConfiguration * kConfigurationShare, mBounds.mKeys * kKeyShare));
  while (true) {
    const instant asked = Now();
    const instant askedOnBootClock = BootNow();
    auto question = wire::EncodeGet(wire::object_kind::Configuration, wire::ConfigurationName(), false);
    const auto answer = co_await mCalls->Call(std::move(question), kCallTimeout);
    if (answer.IsGood()) {
      TakeConfiguration(answer.mBody, askedOnBootClock);
    }
    const duration pause = answer.IsGood() ? interval - (Now() - asked) : kShortPause;
    co_await Pause(std::max<duration>(pause, kShortPause));
  }
}

void store_sync::TakeConfiguration(const std::string& aBody, instant aAsked)
{
  if (aBody == mLastBody) {
    mKeys.Confirmed(aAsked);
    return;
  }
  std::string fault;
  const auto object = wire::DecodeStored(aBody, fault);
  const auto made = object ? wire::DecodeConfiguration(object->mSpec, fault) : nullptr;
  if (!made) {
    log_line(log_event::ConfigurationUnreadable).Text("reason", fault);
    return;
  }
  const auto& present = mFleet->Configuration();
  if (present && made->mVersion < present->mVersion) {
    log_line(log_event::ConfigurationOlder).Count("version", made->mVersion).Count("in_force", present->mVersion);
    return;
  }
  mLastBody = aBody;
  mKeys.Confirmed(aAsked);
  if (!present || made->mVersion > present->mVersion) {
    log_line(log_event::ConfigurationInForce)
      .Count("version", made->mVersion)
      .Count("routes", made->mRoutes.size())
      .Count("workspaces", made->mWorkspaces.size())
      .Count("keys", made->mKeys.size())
      .Count("revision", object->mRevision);
    mFleet->SetConfiguration(made);
  }
}

boost::asio::awaitable<void> store_sync::FollowMembers()
{
  const ref<store_sync> self(this);
  while (true) {
    auto revision = co_await ListMembers();
    if (!revision) {
      mFleet->Members().ListLost();
      co_await Pause(kLongPause);
      continue;
    }
    mHasMembers = true;
    while (co_await WatchMembers(*revision)) {
    }
    co_await Pause(kShortPause);
  }
}

boost::asio::awaitable<std::optional<std::uint64_t>> store_sync::ListMembers()
{
  std::vector<policy::backend_member> members;
  std::string after;
  std::optional<std::uint64_t> revision;
  while (true) {
    auto question = wire::EncodeList(wire::object_kind::Backends, after, false);
    const auto answer = co_await mCalls->Call(std::move(question), kListTimeout);
    if (!answer.IsGood()) {
      co_return std::nullopt;
    }
    std::string fault;
    const auto list = wire::DecodeList(answer.mBody, fault);
    if (!list) {
      log_line(log_event::ListUnreadable).Text("reason", fault);
      co_return std::nullopt;
    }
    // Changes since the first page are seen by the watch that follows.
    revision = revision ? std::min(*revision, list->mRevision) : list->mRevision;
    for (const wire::stored& object : list->mItems) {
      TakeMember(object, members);
    }
    if (!list->mIsCut || list->mItems.empty()) {
      break;
    }
    after = list->mItems.back().mName;
  }
  mFleet->Members().Listed(std::move(members), Now());
  mFleet->MembersChanged(Now());
  co_return revision;
}

void store_sync::TakeMember(const wire::stored& aObject, std::vector<policy::backend_member>& aMembers)
{
  std::string fault;
  if (auto member = wire::DecodeMember(aObject.mName, aObject.mSpec, fault)) {
    aMembers.push_back(std::move(*member));
    return;
  }
  log_line(log_event::ListEntryUnreadable).Text("name", aObject.mName).Text("reason", fault);
}

/// Waits for changes once; false when the list must be read anew.
boost::asio::awaitable<bool> store_sync::WatchMembers(std::uint64_t& aRevision)
{
  const duration wait = std::min<duration>(kLongestWatch, mBounds.mDrain * 3 / 4);
  auto question = wire::EncodeWatch(wire::object_kind::Backends, aRevision, wait);
  const auto answer = co_await mCalls->Call(std::move(question), wait + kWatchSlack);
  if (!answer.IsGood()) {
    if (answer.mStatus != 410) {
      mFleet->Members().ListLost();
    }
    co_return false;
  }
  std::string fault;
  const auto changes = wire::DecodeChanges(answer.mBody, fault);
  if (!changes) {
    log_line(log_event::ChangesUnreadable).Text("reason", fault);
    co_return false;
  }
  std::vector<policy::backend_member> changed;
  for (const wire::stored_change& change : changes->mChanges) {
    if (change.mIsDeleted) {
      mFleet->Members().Removed(backend_id(change.mObject.mName), Now());
      continue;
    }
    changed.clear();
    TakeMember(change.mObject, changed);
    if (changed.empty()) {
      // An entry that can't be read names no server to use.
      mFleet->Members().Removed(backend_id(change.mObject.mName), Now());
      continue;
    }
    mFleet->Members().Changed(std::move(changed.front()));
  }
  aRevision = changes->mRevision;
  mFleet->Members().TimePassed(Now());
  if (!changes->mChanges.empty()) {
    mFleet->MembersChanged(Now());
    co_await Pause(kChangesPause);
  }
  co_return true;
}

} // namespace chervilpulley::gateway
