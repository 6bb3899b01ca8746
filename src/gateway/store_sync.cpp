#include "gateway/store_sync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <ctime>

#include <algorithm>
#include <iterator>

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
/// Parts of the bounds for which a relay may let a question wait. A relay that is silent is found after this time and
/// the slack, and then what it has missed is still read in time.
constexpr double kRelayWaitShare = 0.35;
constexpr duration kLongestRelayWaitHere = std::chrono::milliseconds(1000);
/// Time that a relay's answer may come late.
constexpr duration kRelaySlack = std::chrono::milliseconds(250);
/// Part of the bound for keys after which a relay's word counts as old.
constexpr double kMostRelayedAge = 0.45;
/// The same after which the store counts as failing one that reads it itself: a reading was missed.
constexpr double kStoreFailsAge = 0.4;

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

store_client::store_client(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics)
  : mStore(std::move(aStore))
  , mClient(net::http_client::Create(aContext))
  , mMetrics(std::move(aMetrics))
{
}

boost::asio::awaitable<store_client::outcome> store_client::Call(net::http_request aRequest, duration aTimeout)
{
  const ref<store_client> self(this);
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
  const bool answered = result.IsSuccess() || result.mStatus == 404 || result.mStatus == 409 || result.mStatus == 410;
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
                       ref<store_client> aCalls,
                       ref<fleet> aFleet,
                       ref<gateway_metrics> aMetrics,
                       store_bounds aBounds)
  : mContext(aContext)
  , mCalls(std::move(aCalls))
  , mFleet(std::move(aFleet))
  , mMetrics(std::move(aMetrics))
  , mBounds(aBounds)
  , mKeys(aBounds.mKeys)
  , mCache(MakeRef<store_cache>())
  , mRelayClient(net::http_client::Create(aContext))
{
}

void store_sync::Start()
{
  boost::asio::co_spawn(mContext, FollowConfiguration(), boost::asio::detached);
  boost::asio::co_spawn(mContext, FollowMembers(), boost::asio::detached);
  boost::asio::co_spawn(mContext, FollowRelays(), boost::asio::detached);
}

void store_sync::SetRelays(std::vector<relay_address> aRelays, bool aReadsStore)
{
  std::vector<instance_id> order;
  mRelayAddresses.clear();
  for (relay_address& relay : aRelays) {
    order.push_back(relay.mInstance);
    mRelayAddresses[relay.mInstance] = std::move(relay.mAddress);
  }
  mSources.SetRelays(std::move(order), aReadsStore);
}

boost::asio::awaitable<void> store_sync::FollowConfiguration()
{
  const ref<store_sync> self(this);
  const auto interval = std::chrono::duration_cast<duration>(
    std::min(mBounds.mConfiguration * kConfigurationShare, mBounds.mKeys * kKeyShare));
  instant next = Now();
  unsigned failures = 0;
  while (true) {
    if (mIsFollowing || Now() < next) {
      co_await Pause(kShortPause);
      continue;
    }
    const instant asked = Now();
    const bool isRead = co_await ReadConfiguration();
    failures = isRead ? 0 : failures + 1;
    next = isRead ? asked + interval : Now() + policy::RetryPause(failures);
    co_await Pause(kShortPause);
  }
}

boost::asio::awaitable<bool> store_sync::ReadConfiguration()
{
  const instant asked = BootNow();
  auto question = wire::EncodeGet(wire::object_kind::Configuration, wire::ConfigurationName(), false);
  const auto answer = co_await mCalls->Call(std::move(question), kCallTimeout);
  if (!answer.IsSuccess()) {
    co_return false;
  }
  if (answer.mBody == mLastBody) {
    Confirmed(asked);
    co_return true;
  }
  std::string fault;
  const auto object = wire::DecodeRecord(answer.mBody, fault);
  if (!object) {
    log_line(log_event::ConfigurationUnreadable).Text("reason", fault);
    co_return true;
  }
  mLastBody = answer.mBody;
  TakeConfiguration(*object, asked);
  co_return true;
}

void store_sync::Confirmed(instant aAsked)
{
  mKeys.Confirmed(aAsked);
  mCache->Confirmed(aAsked);
}

void store_sync::TakeConfiguration(const wire::record& aObject, instant aAsked)
{
  std::string fault;
  const auto made = wire::DecodeConfiguration(aObject.mSpec, fault);
  if (!made) {
    mLastBody.clear();
    log_line(log_event::ConfigurationUnreadable).Text("reason", fault);
    return;
  }
  const auto& present = mFleet->Configuration();
  if (present && made->mVersion < present->mVersion) {
    mLastBody.clear();
    log_line(log_event::ConfigurationOlder).Count("version", made->mVersion).Count("in_force", present->mVersion);
    return;
  }
  Confirmed(aAsked);
  if (!present || made->mVersion > present->mVersion) {
    log_line(log_event::ConfigurationInForce)
      .Count("version", made->mVersion)
      .Count("routes", made->mRoutes.size())
      .Count("workspaces", made->mWorkspaces.size())
      .Count("keys", made->mKeys.size())
      .Count("revision", aObject.mRevision)
      .Text("from", mIsFollowing ? "relay" : "store");
    mFleet->SetConfiguration(made);
  }
  mCache->UpdateConfiguration(aObject, aAsked);
}

boost::asio::awaitable<void> store_sync::FollowMembers()
{
  const ref<store_sync> self(this);
  while (true) {
    if (mIsFollowing) {
      co_await Pause(kShortPause);
      continue;
    }
    bool isListed = !mCache->IsListLost();
    if (!isListed) {
      isListed = co_await ListMembers();
    }
    if (!isListed) {
      ListLost();
      co_await Pause(kLongPause);
      continue;
    }
    const bool isWatched = co_await WatchMembers();
    if (!isWatched) {
      co_await Pause(kShortPause);
    }
  }
}

void store_sync::ListLost()
{
  mFleet->Members().ListLost();
  mCache->ListLost();
}

boost::asio::awaitable<bool> store_sync::ListMembers()
{
  std::vector<wire::record> items;
  std::string after;
  std::optional<std::uint64_t> revision;
  while (true) {
    auto question = wire::EncodeList(wire::object_kind::Backends, after, false);
    const auto answer = co_await mCalls->Call(std::move(question), kListTimeout);
    if (!answer.IsSuccess()) {
      co_return false;
    }
    std::string fault;
    auto list = wire::DecodeList(answer.mBody, fault);
    if (!list) {
      log_line(log_event::ListUnreadable).Text("reason", fault);
      co_return false;
    }
    // Changes since the first page are seen by the watch that follows.
    revision = revision ? std::min(*revision, list->mRevision) : list->mRevision;
    std::move(list->mItems.begin(), list->mItems.end(), std::back_inserter(items));
    if (!list->mIsTruncated || list->mItems.empty()) {
      break;
    }
    after = items.back().mName;
  }
  if (!mCache->IsListLost() && *revision < mCache->Position().mMembers) {
    // A relay has told of later changes meanwhile.
    co_return true;
  }
  TakeList(std::move(items), *revision);
  co_return true;
}

void store_sync::TakeList(std::vector<wire::record> aItems, std::uint64_t aRevision)
{
  std::vector<policy::backend_member> members;
  for (const wire::record& object : aItems) {
    TakeMember(object, members);
  }
  mFleet->Members().Listed(std::move(members), Now());
  mFleet->MembersChanged(Now());
  mHasMembers = true;
  mCache->Listed(std::move(aItems), aRevision);
}

void store_sync::TakeMember(const wire::record& aObject, std::vector<policy::backend_member>& aMembers)
{
  std::string fault;
  if (auto member = wire::DecodeMember(aObject.mName, aObject.mSpec, fault)) {
    aMembers.push_back(std::move(*member));
    return;
  }
  log_line(log_event::ListEntryUnreadable).Text("name", aObject.mName).Text("reason", fault);
}

/// Waits for changes once; false when that failed.
boost::asio::awaitable<bool> store_sync::WatchMembers()
{
  const duration wait = std::min<duration>(kLongestWatch, mBounds.mDrain * 3 / 4);
  auto question = wire::EncodeWatch(wire::object_kind::Backends, mCache->Position().mMembers, wait);
  const auto answer = co_await mCalls->Call(std::move(question), wait + kWatchSlack);
  if (!answer.IsSuccess()) {
    // Forgotten history is no outage: nothing that is listed has lapsed for it.
    bool isListed = false;
    if (answer.mStatus == 410) {
      isListed = co_await ListMembers();
    }
    if (!isListed) {
      ListLost();
    }
    co_return false;
  }
  std::string fault;
  auto changes = wire::DecodeChanges(answer.mBody, fault);
  if (!changes) {
    log_line(log_event::ChangesUnreadable).Text("reason", fault);
    const bool isListed = co_await ListMembers();
    if (!isListed) {
      ListLost();
    }
    co_return false;
  }
  const bool any = !changes->mChanges.empty();
  TakeChanges(std::move(changes->mChanges), changes->mRevision);
  if (any) {
    co_await Pause(kChangesPause);
  }
  co_return true;
}

void store_sync::TakeChanges(std::vector<wire::record_change> aChanges, std::uint64_t aRevision)
{
  // Changes that were read from two sources: the older answer tells nothing new.
  if (aRevision > mCache->Position().mMembers && !aChanges.empty()) {
    std::vector<policy::backend_member> changed;
    for (const wire::record_change& change : aChanges) {
      changed.clear();
      if (!change.mIsDeleted) {
        TakeMember(change.mObject, changed);
      }
      // An entry that can't be read names no server to use.
      if (changed.empty()) {
        mFleet->Members().Removed(backend_id(change.mObject.mName), Now());
      } else {
        mFleet->Members().Changed(std::move(changed.front()));
      }
    }
    mFleet->MembersChanged(Now());
  }
  mFleet->Members().TimePassed(Now());
  mCache->Changed(std::move(aChanges), aRevision);
}

duration store_sync::RelayWait() const
{
  const auto shortest = std::min(mBounds.mConfiguration, mBounds.mDrain);
  return std::min(std::chrono::duration_cast<duration>(shortest * kRelayWaitShare), kLongestRelayWaitHere);
}

bool store_sync::IsStoreFailing() const
{
  const auto age = mKeys.Age(BootNow());
  return age && *age > mBounds.mKeys * kStoreFailsAge;
}

boost::asio::awaitable<void> store_sync::FollowRelays()
{
  const ref<store_sync> self(this);
  while (true) {
    const auto relay = mSources.Next(IsStoreFailing(), Now());
    const auto address = relay ? mRelayAddresses.find(*relay) : mRelayAddresses.end();
    if (!IsComplete() || address == mRelayAddresses.end()) {
      mIsFollowing = false;
      co_await Pause(kShortPause);
      continue;
    }
    const std::string fault = co_await AskRelay(address->second);
    if (fault.empty() && !mIsFollowing) {
      log_line(log_event::RelayFollowed).Text("gateway", relay->Str());
    } else if (!fault.empty()) {
      const auto age = mKeys.Age(BootNow());
      log_line(log_event::RelayFailed)
        .Text("gateway", relay->Str())
        .Text("reason", fault)
        .Number("confirmed_ms_ago", age ? std::chrono::duration<double, std::milli>(*age).count() : -1);
      mSources.Failed(*relay, Now());
    }
    mIsFollowing = fault.empty();
  }
}

/// Asks a relay once for news; says what is wrong with it, or nothing.
boost::asio::awaitable<std::string> store_sync::AskRelay(net::endpoint aRelay)
{
  const duration wait = RelayWait();
  const instant asked = BootNow();
  cache_position has = mCache->Position();
  if (mCache->IsListLost()) {
    // Entries that lapsed meanwhile are held by what a whole list says.
    has.mMembers = 0;
  }
  net::http_request question = EncodeRelayRequest({ has, wait });
  auto reply = co_await mRelayClient->Fetch(std::move(aRelay), std::move(question), wait + kRelaySlack);
  if (!reply) {
    co_return reply.error().mMessage;
  }
  if (reply.value().mStatus != 200) {
    co_return "status " + std::to_string(reply.value().mStatus);
  }
  std::string fault;
  auto answer = DecodeRelayResponse(reply.value().mBody, fault);
  if (!answer) {
    co_return fault;
  }
  std::string verdict = co_await TakeNews(std::move(*answer), asked);
  co_return verdict;
}

boost::asio::awaitable<std::string> store_sync::TakeNews(relay_response aAnswer, instant aAsked)
{
  cache_updates& news = aAnswer.mUpdates;
  if (news.mListIsLost) {
    co_return "its list is lost";
  }
  if (news.mConfirmedAge) {
    // The answer was composed no earlier than this long after the question was sent, so that the age counts from there.
    const instant confirmed = aAsked + aAnswer.mWaited - *news.mConfirmedAge;
    if (news.mConfiguration) {
      TakeConfiguration(*news.mConfiguration, confirmed);
    } else if (news.mConfigurationRevision == mCache->Position().mConfiguration) {
      Confirmed(confirmed);
    }
  }
  const std::uint64_t known = mCache->Position().mMembers;
  if (news.mIsWhole && news.mMembersRevision >= known) {
    std::vector<wire::record> items;
    for (wire::record_change& change : news.mChanges) {
      items.push_back(std::move(change.mObject));
    }
    TakeList(std::move(items), news.mMembersRevision);
  } else if (!news.mIsWhole && !news.mIsTooLarge) {
    TakeChanges(std::move(news.mChanges), news.mMembersRevision);
  }
  // What is too large to be handed on is read from the store.
  if (news.mConfigurationRevision > mCache->Position().mConfiguration) {
    co_await ReadConfiguration();
  }
  if (news.mIsTooLarge && news.mMembersRevision >= known) {
    co_await ListMembers();
  }
  if (mCache->IsListLost()) {
    co_return "its list is behind";
  }
  const auto age = mKeys.Age(BootNow());
  co_return age&&* age <= mBounds.mKeys* kMostRelayedAge ? "" : "its word is old";
}

} // namespace chervilpulley::gateway
