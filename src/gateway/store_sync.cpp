#include "gateway/store_sync_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

/// Pause after a read of the list that failed.
constexpr duration kLongPause = std::chrono::milliseconds(500);
/// Timeout of a read of a page of the list.
constexpr duration kListTimeout = std::chrono::milliseconds(2000);
/// Minimum interval between two questions to the same witnesses.
constexpr duration kWitnessInterval = std::chrono::milliseconds(500);
/// Interval at which a reader of a relay looks whether it still is one.
constexpr duration kSourceCheckInterval = std::chrono::milliseconds(1000);
/// The spec that is kept for an unreadable entry.
constexpr const char* kUnreadableSpec = "null";

double Milliseconds(duration aTime)
{
  return policy::fractional_ms(aTime).count();
}

/// Suspends the calling coroutine for this time, or until the timer is cancelled.
boost::asio::awaitable<void> PauseUntilCancelled(boost::asio::steady_timer& aTimer, duration aTime)
{
  boost::system::error_code cancelled;
  aTimer.expires_after(aTime);
  co_await aTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
}

} // namespace

void Spawn(boost::asio::io_context& aContext, boost::asio::awaitable<void> aCoroutine)
{
  boost::asio::co_spawn(aContext, std::move(aCoroutine), [](const std::exception_ptr& aException) {
    if (aException) {
      std::rethrow_exception(aException);
    }
  });
}

boost::asio::awaitable<void> Pause(duration aTime)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

store_sync::store_sync(boost::asio::io_context& aContext,
                       ref<store_client> aStoreClient,
                       ref<fleet> aFleet,
                       ref<gateway_metrics> aMetrics,
                       policy::store_bounds aBounds)
  : mContext(aContext)
  , mStoreClient(std::move(aStoreClient))
  , mFleet(std::move(aFleet))
  , mMetrics(std::move(aMetrics))
  , mBounds(aBounds)
  , mSchedule(aBounds)
  , mKeys(aBounds.mKeys)
  , mCache(MakeRef<store_cache>())
  , mRelayClient(net::http_client::Create(aContext))
  , mRemovalTimer(aContext)
  , mConfigurationTimer(aContext)
  , mMembersTimer(aContext)
{
}

void store_sync::Start()
{
  mCache->OnStoreServedFor([client = mStoreClient] { return client->Availability().ServedFor(Now()); });
  if (!mSchedule.Keeps(mBounds)) {
    log_line(log_event::BoundsTooShort)
      .Number("configuration_ms", Milliseconds(mSchedule.ConfigurationFromRelay()))
      .Number("configuration_bound_ms", Milliseconds(mBounds.mConfiguration))
      .Number("list_ms", Milliseconds(mSchedule.ListFromRelay()))
      .Number("drain_bound_ms", Milliseconds(mBounds.mDrain));
  }
  Spawn(mContext, FollowConfiguration());
  Spawn(mContext, FollowMembers());
  Spawn(mContext, FollowRelays());
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
  instant next = Now();
  unsigned failures = 0;
  while (true) {
    if (mIsFollowing || Now() < next) {
      const duration pause = mIsFollowing ? kSourceCheckInterval : next - Now();
      co_await PauseUntilCancelled(mConfigurationTimer, pause);
      continue;
    }
    const instant requestedAt = Now();
    // A slow store, or a large configuration on a slow link, needs a longer timeout than a call that is lost.
    const duration timeout = failures == 0 ? std::clamp(2 * mReadTime, mSchedule.mReadTimeout, policy::kMaxReadTimeout)
                                           : policy::kMaxReadTimeout;
    const bool isRead = co_await ReadConfiguration(timeout);
    failures = isRead ? 0 : failures + 1;
    next = isRead ? requestedAt + mSchedule.mReadInterval : Now() + policy::RetryBackoff(failures);
  }
}

boost::asio::awaitable<bool> store_sync::ReadConfiguration(duration aTimeout)
{
  const instant requestedAt = BootNow();
  auto request = wire::EncodeGet(wire::object_kind::Configuration, wire::ConfigurationName(), false);
  const auto response = co_await mStoreClient->Call(std::move(request), aTimeout);
  if (!response.IsSuccess()) {
    co_return false;
  }
  mReadTime = BootNow() - requestedAt;
  if (response.mBody == mLastBody) {
    Confirmed(requestedAt);
    co_return true;
  }
  std::string fault;
  const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
  if (!object) {
    log_line(log_event::ConfigurationUnreadable).Text("reason", fault);
    co_return true;
  }
  mLastBody = response.mBody;
  ApplyConfiguration(*object, requestedAt);
  co_return true;
}

void store_sync::Confirmed(instant aRequestedAt)
{
  mKeys.Confirmed(aRequestedAt);
  mCache->Confirmed(aRequestedAt);
}

void store_sync::ApplyConfiguration(const wire::record& aObject, instant aRequestedAt)
{
  std::string fault;
  const auto decoded = wire::DecodeConfiguration(aObject.mSpec, fault);
  if (!decoded) {
    mLastBody.clear();
    log_line(log_event::ConfigurationUnreadable).Text("reason", fault);
    return;
  }
  const auto& current = mFleet->Configuration();
  if (current && decoded->mVersion < current->mVersion) {
    mLastBody.clear();
    // It comes with each read until the operator has written the newer one again.
    if (std::exchange(mOlderVersion, decoded->mVersion) != decoded->mVersion) {
      log_line(log_event::ConfigurationOlder).Count("version", decoded->mVersion).Count("in_force", current->mVersion);
    }
    return;
  }
  mOlderVersion.reset();
  Confirmed(aRequestedAt);
  if (!current || decoded->mVersion > current->mVersion) {
    log_line(log_event::ConfigurationInForce)
      .Count("version", decoded->mVersion)
      .Count("routes", decoded->mRoutes.size())
      .Count("workspaces", decoded->mWorkspaces.size())
      .Count("keys", decoded->mKeys.size())
      .Count("revision", aObject.mRevision.mNumber)
      .Count("era", aObject.mRevision.mEra.Value())
      .Text("from", mIsFollowing ? "relay" : "store");
    mFleet->SetConfiguration(decoded);
  }
  mCache->UpdateConfiguration(aObject, decoded->mVersion, aRequestedAt);
}

boost::asio::awaitable<void> store_sync::FollowMembers()
{
  const ref<store_sync> self(this);
  while (true) {
    if (mIsFollowing) {
      co_await PauseUntilCancelled(mMembersTimer, kSourceCheckInterval);
      continue;
    }
    bool isListed = !mCache->IsListLost();
    if (!isListed) {
      isListed = co_await ListMembers();
    }
    if (!isListed) {
      mCache->ListLost();
      co_await Pause(kLongPause);
      continue;
    }
    const instant watchedAt = Now();
    const bool isWatched = co_await WatchMembers();
    if (!isWatched && Now() - watchedAt < kShortPause) {
      co_await Pause(kShortPause);
    } else if (Now() - watchedAt < kMinQueryInterval) {
      co_await Pause(kMinQueryInterval);
    }
  }
}

boost::asio::awaitable<bool> store_sync::ListMembers()
{
  const instant requestedAt = BootNow();
  std::vector<wire::record> items;
  std::string after;
  std::optional<policy::store_revision> revision;
  while (true) {
    auto request = wire::EncodeList(wire::object_kind::Backends, after, false);
    const auto response = co_await mStoreClient->Call(std::move(request), kListTimeout);
    if (!response.IsSuccess()) {
      co_return false;
    }
    std::string fault;
    auto list = wire::DecodeList(response.mBody, response.mEra, fault);
    if (!list) {
      log_line(log_event::ListUnreadable).Text("reason", fault);
      co_return false;
    }
    if (revision && revision->mEra != list->mRevision.mEra) {
      co_return false; // the pages before are of a state that is gone
    }
    // The watch that follows returns the changes since the first page.
    revision = revision ? std::min(*revision, list->mRevision) : list->mRevision;
    std::move(list->mItems.begin(), list->mItems.end(), std::back_inserter(items));
    if (!list->mIsTruncated || list->mItems.empty()) {
      break;
    }
    after = items.back().mName;
  }
  if (!mCache->IsListLost() && *revision < mCache->Position().mMembers) {
    // A relay has sent later changes in the meantime.
    co_return true;
  }
  ApplyList(std::move(items), *revision);
  mCache->ListConfirmed(requestedAt);
  co_return true;
}

void store_sync::ApplyList(std::vector<wire::record> aItems, const policy::store_revision& aRevision)
{
  const policy::store_revision former = mCache->Position().mMembers;
  if (mHasMembers && aRevision.mEra != former.mEra) {
    // Servers that were listed since the copy was made are written again; until then they are kept as after an outage.
    mFleet->ListRestored(Now());
    log_line(log_event::ListRestored)
      .Count("era", aRevision.mEra.Value())
      .Count("revision", aRevision.mNumber)
      .Count("former_revision", former.mNumber)
      .Count("listed", aItems.size());
  }
  std::vector<policy::backend_member> members;
  const std::set<std::string> formerUnreadable = std::exchange(mUnreadableEntries, {});
  for (wire::record& object : aItems) {
    const bool isKnown = formerUnreadable.contains(object.mName);
    AppendMember(object, members, isKnown);
  }
  mFleet->Members().Listed(std::move(members), Now(), mStoreClient->Availability().ReturnedAt(Now()));
  for (const std::string& name : mUnreadableEntries) {
    mFleet->Members().Discard(backend_id(name));
  }
  MembersApplied();
  mMetrics->UnreadableEntries(mUnreadableEntries.size());
  mHasMembers = true;
  mCache->Listed(std::move(aItems), aRevision);
}

/// Appends the server that an entry names. An unreadable entry names none; it is logged once, and keeps only its name,
/// so that readers of the cache can read what surrounds it.
void store_sync::AppendMember(wire::record& aObject, std::vector<policy::backend_member>& aMembers, bool aIsLogged)
{
  std::string fault;
  if (auto member = wire::DecodeMember(aObject.mName, aObject.mSpec, fault)) {
    mUnreadableEntries.erase(aObject.mName);
    aMembers.push_back(std::move(*member));
    return;
  }
  aObject.mSpec = kUnreadableSpec;
  const bool isNew = mUnreadableEntries.insert(aObject.mName).second;
  if (isNew && !aIsLogged) {
    log_line(log_event::ListEntryUnreadable)
      .Quote("name", aObject.mName)
      .Count("revision", aObject.mRevision.mNumber)
      .Text("reason", fault);
  }
}

/// Waits for changes once; false if that failed.
boost::asio::awaitable<bool> store_sync::WatchMembers()
{
  const duration wait = std::exchange(mHasPaused, false) ? mSchedule.mWatchWaitAfterPause : mSchedule.mWatchWait;
  const instant requestedAt = BootNow();
  auto request = wire::EncodeWatch(wire::object_kind::Backends, mCache->Position().mMembers, wait);
  const auto response = co_await mStoreClient->Call(std::move(request), wait + policy::kWatchSlack);
  if (!response.IsSuccess()) {
    // A compacted history is not an outage: the listed servers stay valid.
    bool isListed = false;
    if (response.mStatus == 410) {
      isListed = co_await ListMembers();
    }
    if (!isListed) {
      mCache->ListLost();
    }
    co_return false;
  }
  std::string fault;
  auto changes = wire::DecodeChanges(response.mBody, response.mEra, fault);
  if (!changes) {
    log_line(log_event::ChangesUnreadable).Text("reason", fault);
    const bool isListed = co_await ListMembers();
    if (!isListed) {
      mCache->ListLost();
    }
    co_return false;
  }
  if (changes->mRevision.mEra != mCache->Position().mMembers.mEra) {
    // The store has given out the revision of this watch again, so that changes before it are missing.
    const bool isListed = co_await ListMembers();
    co_return isListed;
  }
  const bool hasChanges = !changes->mChanges.empty();
  // A store that waited for changes in vain knows of none until the wait was over.
  const duration waited = BootNow() - requestedAt;
  mCache->ListConfirmed(requestedAt + (hasChanges ? duration::zero() : std::min(waited, wait)));
  ApplyChanges(std::move(changes->mChanges), changes->mRevision);
  if (hasChanges) {
    mHasPaused = true;
    co_await Pause(mSchedule.mChangesPause);
  }
  co_return true;
}

void store_sync::ApplyChanges(std::vector<wire::record_change> aChanges, const policy::store_revision& aRevision)
{
  const policy::store_revision known = mCache->Position().mMembers;
  // Changes may arrive from two sources; the older response contains nothing new.
  if (aRevision > known && aRevision.mEra == known.mEra && !aChanges.empty()) {
    std::vector<policy::backend_member> changed;
    std::vector<backend_id> written;
    const auto returnedAt = mStoreClient->Availability().ReturnedAt(Now());
    for (wire::record_change& change : aChanges) {
      changed.clear();
      if (change.mIsDeleted) {
        mUnreadableEntries.erase(change.mObject.mName);
      } else {
        AppendMember(change.mObject, changed, false);
      }
      if (change.mIsDeleted) {
        mFleet->Members().Removed(backend_id(change.mObject.mName), Now(), returnedAt);
      } else if (changed.empty()) {
        mFleet->Members().Discard(backend_id(change.mObject.mName));
      } else {
        written.push_back(changed.front().mId);
        mFleet->Members().Changed(std::move(changed.front()));
      }
    }
    MembersApplied();
    for (const backend_id& id : written) {
      mFleet->EntryWritten(id);
    }
    mMetrics->UnreadableEntries(mUnreadableEntries.size());
  }
  mCache->Changed(std::move(aChanges), aRevision);
}

/// Updates the state of the servers. While removals are held, asks other gateways whether the store was away at all,
/// and carries the removals out when their time has come.
void store_sync::MembersApplied()
{
  mFleet->MembersChanged(Now());
  const auto& held = mFleet->Members().HeldRemovals();
  if (held.empty()) {
    mRemovalTimer.cancel();
    return;
  }
  const auto next = std::min_element(held.begin(), held.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.mUntil < aRight.second.mUntil;
  });
  mRemovalTimer.expires_after(next->second.mUntil - Now());
  mRemovalTimer.async_wait([self = ref<store_sync>(this)](const boost::system::error_code& aError) {
    if (!aError) {
      self->mFleet->Members().TimePassed(Now());
      self->MembersApplied();
    }
  });
  if (!mWitnessesAskedAt || Now() - *mWitnessesAskedAt > kWitnessInterval) {
    mWitnessesAskedAt = Now();
    for (const relay_address& witness : mWitnesses) {
      Spawn(mContext, AskWitness(witness));
    }
  }
}

/// Asks another gateway for how long the store has served it. If that is longer than lapsed entries take to return, the
/// entries that are missing here were removed by their servers.
boost::asio::awaitable<void> store_sync::AskWitness(relay_address aWitness)
{
  const ref<store_sync> self(this);
  net::http_request request = EncodeRelayRequest({ mCache->Position(), duration::zero(), {} });
  auto reply = co_await mRelayClient->Fetch(aWitness.mAddress, std::move(request), kRelaySlack);
  std::string fault;
  const auto response =
    reply && reply.value().mStatus == 200 ? DecodeRelayResponse(reply.value().mBody, fault) : std::nullopt;
  if (!response || !response->mUpdates.mStoreServedFor ||
      response->mUpdates.mMembersRevision.mEra != mStoreClient->Era()) {
    co_return;
  }
  const duration servedFor = *response->mUpdates.mStoreServedFor;
  log_line(log_event::StoreWitnessed)
    .Text("gateway", aWitness.mInstance.Str())
    .Number("served_ms", Milliseconds(servedFor));
  mStoreClient->Availability().Witnessed(servedFor, Now());
  mFleet->Members().ReturnLearned(Now(), mStoreClient->Availability().ReturnedAt(Now()));
  MembersApplied();
}

} // namespace chervilpulley::gateway
