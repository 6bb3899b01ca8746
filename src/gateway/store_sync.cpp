#include "gateway/store_sync.h"

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

/// Minimum interval between two queries of a relay, or two watches, that respond at once.
constexpr duration kMinQueryInterval = std::chrono::milliseconds(20);
/// Pauses after a failed call.
constexpr duration kShortPause = std::chrono::milliseconds(100);
constexpr duration kLongPause = std::chrono::milliseconds(500);
/// Timeout of a read of a page of the list.
constexpr duration kListTimeout = std::chrono::milliseconds(2000);
constexpr duration kMaxRequestedRelayWait = std::chrono::milliseconds(2000);
constexpr duration kMinRequestedRelayWait = std::chrono::milliseconds(50);
/// Time by which the response of a relay may be late.
constexpr duration kRelaySlack = std::chrono::milliseconds(150);
constexpr duration kMinRelaySlack = std::chrono::milliseconds(100);
/// Minimum interval between two questions to the same witnesses.
constexpr duration kWitnessInterval = std::chrono::milliseconds(500);
/// Interval at which a reader of a relay looks whether it still is one.
constexpr duration kSourceCheckInterval = std::chrono::milliseconds(1000);
/// Share of the bound for keys after which the store counts as failing for a gateway that reads it itself: a read was
/// missed.
constexpr double kStoreFailureAgeShare = 0.4;
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

store_client::store_client(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics)
  : mStore(std::move(aStore))
  , mClient(net::http_client::Create(aContext))
  , mMetrics(std::move(aMetrics))
{
}

boost::asio::awaitable<store_client::outcome> store_client::Call(net::http_request aRequest, duration aTimeout)
{
  const ref<store_client> self(this);
  const instant startedAt = Now();
  const std::string target = aRequest.mMethod + " " + aRequest.mTarget;
  auto reply = co_await mClient->Fetch(mStore, std::move(aRequest), aTimeout);
  outcome result;
  std::string reason;
  if (reply) {
    const bool isCurrent = SeeEra(wire::DecodeStoreEra(reply.value().mHeaders), target);
    result.mStatus = isCurrent ? reply.value().mStatus : 0;
    result.mBody = std::move(reply.value().mBody);
    result.mEra = Era();
    reason = isCurrent ? "status " + std::to_string(result.mStatus) : "of an earlier era";
  } else {
    reason = reply.error().mMessage;
  }
  // 404, 409 and 410 are valid responses, not failures of the store.
  const bool hasResponded =
    result.IsSuccess() || result.mStatus == 404 || result.mStatus == 409 || result.mStatus == 410;
  mMetrics->StoreCall(hasResponded, Now() - startedAt);
  if (!hasResponded && !mIsFailing) {
    log_line(log_event::StoreLost).Text("call", target).Text("reason", reason);
  } else if (hasResponded && mIsFailing) {
    log_line(log_event::StoreRegained).Text("call", target);
  }
  mIsFailing = !hasResponded;
  if (hasResponded) {
    mAvailability.Responded(Now());
  } else {
    mAvailability.Failed();
  }
  co_return result;
}

/// Notes the era of a response; false for one of an earlier era, or without an era although the store names them: what
/// it says may be from before the store came back from a copy.
bool store_client::SeeEra(const std::optional<policy::store_era>& aEra, const std::string& aCall)
{
  if (mEra && aEra && *aEra > *mEra) {
    log_line(log_event::StoreRestored)
      .Count("era", aEra->Value())
      .Count("former_era", mEra->Value())
      .Text("call", aCall);
    mAvailability.Restored(Now());
  }
  mEra = std::max(mEra, aEra);
  return mEra == aEra;
}

void store_client::LearnEra(policy::store_era aEra)
{
  if (aEra > Era()) {
    SeeEra(aEra, "relay");
  }
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

void store_sync::SetFollowing(bool aIsFollowing)
{
  if (std::exchange(mIsFollowing, aIsFollowing) != aIsFollowing) {
    mConfigurationTimer.cancel();
    mMembersTimer.cancel();
  }
}

duration store_sync::ConfigurationAge() const
{
  return mKeys.Age(BootNow()).value_or(duration::max());
}

bool store_sync::IsStoreFailing() const
{
  const auto age = mKeys.Age(BootNow());
  return age && *age > mBounds.mKeys * kStoreFailureAgeShare;
}

boost::asio::awaitable<void> store_sync::FollowRelays()
{
  const ref<store_sync> self(this);
  while (true) {
    const bool isStoreFailing = IsStoreFailing();
    const auto relay = mSources.Next(isStoreFailing, Now());
    const auto address = relay ? mRelayAddresses.find(*relay) : mRelayAddresses.end();
    if (!IsComplete() || address == mRelayAddresses.end()) {
      SetFollowing(false);
      co_await Pause(kShortPause);
      continue;
    }
    const instant queriedAt = Now();
    // Without the store of its own, a gateway takes from a relay what keys may be checked with.
    const duration maxAge = isStoreFailing
                              ? std::chrono::duration_cast<duration>(mBounds.mKeys * policy::kMaxRelayedKeyShare)
                              : mSchedule.mMaxRelayedAge;
    const std::string fault = co_await QueryRelay(address->second, maxAge);
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
    SetFollowing(fault.empty());
    // A relay that responds at once may have nothing that this gateway can use.
    if (Now() - queriedAt < kMinQueryInterval) {
      co_await Pause(kMinQueryInterval);
    }
  }
}

/// Requests updates from a relay once; returns what is wrong with it, or an empty string. A relay that is followed is
/// given up once the configuration has not been confirmed for aMaxAge.
boost::asio::awaitable<std::string> store_sync::QueryRelay(net::endpoint aRelay, duration aMaxAge)
{
  const duration rest = aMaxAge - std::min(aMaxAge, ConfigurationAge());
  const duration wait = std::clamp(rest - kRelaySlack, kMinRequestedRelayWait, kMaxRequestedRelayWait);
  const duration timeout = mIsFollowing ? std::max(rest, kMinRelaySlack) : wait + kRelaySlack;
  const instant requestedAt = BootNow();
  cache_position position = mCache->Position();
  if (mCache->IsListLost()) {
    // The member table needs the whole list to retain entries that lapsed in the meantime.
    position.mMembers = {};
  }
  net::http_request request = EncodeRelayRequest({ position, wait, mRelayConfirmation });
  auto reply = co_await mRelayClient->Fetch(std::move(aRelay), std::move(request), timeout);
  if (!reply) {
    co_return reply.error().mMessage;
  }
  if (reply.value().mStatus != 200) {
    co_return "status " + std::to_string(reply.value().mStatus);
  }
  std::string fault;
  auto response = DecodeRelayResponse(reply.value().mBody, fault);
  if (!response) {
    co_return fault;
  }
  std::string relayFault = co_await ApplyUpdates(std::move(*response), requestedAt, aMaxAge);
  co_return relayFault;
}

boost::asio::awaitable<std::string> store_sync::ApplyUpdates(relay_response aResponse,
                                                             instant aRequestedAt,
                                                             duration aMaxAge)
{
  cache_updates& updates = aResponse.mUpdates;
  if (updates.mListIsLost) {
    co_return "the relay's list is not up to date";
  }
  if (updates.mMembersRevision.mEra < mStoreClient->Era()) {
    co_return "the relay has not read the store since it came back from a copy";
  }
  mRelayConfirmation = updates.mConfirmation;
  if (updates.mStoreServedFor && updates.mMembersRevision.mEra == mStoreClient->Era()) {
    mStoreClient->Availability().Witnessed(*updates.mStoreServedFor, Now());
  }
  if (updates.mConfirmedAge) {
    // The relay composed the response no earlier than mWaited after the request was sent; the age counts from then.
    const instant confirmed = aRequestedAt + aResponse.mWaited - *updates.mConfirmedAge;
    if (updates.mConfiguration) {
      ApplyConfiguration(*updates.mConfiguration, confirmed);
    } else if (updates.mConfigurationVersion == mCache->Position().mConfiguration) {
      Confirmed(confirmed);
    }
  }
  if (updates.mListAge) {
    mCache->ListConfirmed(aRequestedAt + aResponse.mWaited - *updates.mListAge);
  }
  const policy::store_revision knownRevision = mCache->Position().mMembers;
  mStoreClient->LearnEra(updates.mMembersRevision.mEra);
  if (updates.mIsWhole && updates.mMembersRevision >= knownRevision) {
    std::vector<wire::record> items;
    for (wire::record_change& change : updates.mChanges) {
      items.push_back(std::move(change.mObject));
    }
    ApplyList(std::move(items), updates.mMembersRevision);
  } else if (!updates.mIsWhole && !updates.mIsTooLarge) {
    ApplyChanges(std::move(updates.mChanges), updates.mMembersRevision);
  }
  // Objects that are too large to relay are read from the store.
  if (updates.mConfigurationVersion > mCache->Position().mConfiguration) {
    co_await ReadConfiguration(policy::kMaxReadTimeout);
  }
  if (updates.mIsTooLarge && updates.mMembersRevision >= knownRevision) {
    co_await ListMembers();
  }
  if (mCache->IsListLost()) {
    co_return "the relay's list is older than the last known one";
  }
  co_return ConfigurationAge() <= aMaxAge ? "" : "the relay's data is too old";
}

} // namespace chervilpulley::gateway
