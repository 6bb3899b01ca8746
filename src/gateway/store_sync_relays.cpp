#include <algorithm>
#include <iterator>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/store_sync_p.h"

/// Reads what other gateways have read from the store, and leaves them when it is too old.
namespace chervilpulley::gateway {

namespace {

constexpr duration kMaxRequestedRelayWait = std::chrono::milliseconds(2000);
constexpr duration kMinRequestedRelayWait = std::chrono::milliseconds(50);
constexpr duration kMinRelaySlack = std::chrono::milliseconds(100);
/// Share of the bound for keys after which the store counts as failing for a gateway that reads it itself: a read was
/// missed.
constexpr double kStoreFailureAgeShare = 0.4;

} // namespace

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
