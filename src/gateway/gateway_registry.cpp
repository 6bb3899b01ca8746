#include "gateway/gateway_registry.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/random.h"
#include "policy/config_propagation.h"

namespace chervilpulley::gateway {

namespace {

/// Time between two renewals of this gateway's object.
constexpr duration kRenewInterval = std::chrono::seconds(8);
constexpr duration kRetryPause = std::chrono::milliseconds(700);
/// Interval at which a gateway looks whether its object was written in the store's era. The gateways' phases differ, so
/// that they do not write all at once.
constexpr duration kEraCheckInterval = std::chrono::milliseconds(1000);
/// Time after a start within which a low count is ignored: other gateways that start as well are not listed yet.
constexpr duration kSettleTime = std::chrono::seconds(2);
constexpr duration kStoreTimeout = std::chrono::milliseconds(800);
/// Gateways that are asked whether the store was away.
constexpr std::size_t kMaxWitnesses = 4;
/// Attempts to delete this gateway's object: the first may learn the revision of the last renewal, the second uses it.
constexpr int kMaxRemovals = 2;

} // namespace

gateway_registry::gateway_registry(boost::asio::io_context& aContext,
                                   instance_id aSelf,
                                   failure_domain_id aDomain,
                                   std::string aRelayAddress,
                                   ref<store_client> aStore,
                                   ref<store_sync> aSync,
                                   ref<fleet> aFleet,
                                   ref<peer_hints> aHints)
  : mContext(aContext)
  , mSelf(std::move(aSelf))
  , mDomain(std::move(aDomain))
  , mRelayAddress(std::move(aRelayAddress))
  , mStore(std::move(aStore))
  , mSync(std::move(aSync))
  , mFleet(std::move(aFleet))
  , mHints(std::move(aHints))
  , mPeerCounter(policy::kGatewayObjectLifetime)
{
}

void gateway_registry::Start()
{
  mFleet->SetGateways(policy::kAssumedPeers, 1);
  Spawn(mContext, Renew());
  Spawn(mContext, ReadPeriodically());
}

void gateway_registry::Leave()
{
  mIsLeaving = true;
  Spawn(mContext, Remove());
}

boost::asio::awaitable<void> gateway_registry::Renew()
{
  const ref<gateway_registry> self(this);
  while (!mIsLeaving) {
    const bool isWritten = co_await Write();
    if (!isWritten) {
      co_await Pause(kRetryPause);
      continue;
    }
    const instant next = Now() + kRenewInterval;
    // In a later era the object may be gone, or be that of a copy.
    while (!mIsLeaving && Now() < next && mWrittenEra == mStore->Era()) {
      co_await Pause(kEraCheckInterval);
    }
    if (mWrittenEra != mStore->Era()) {
      log_line(log_event::ObjectWrittenAgain).Text("kind", "gateway").Count("era", mStore->Era().Value());
    }
  }
}

/// Writes this gateway's object once; false when that has to be repeated soon.
boost::asio::awaitable<bool> gateway_registry::Write()
{
  if (mRevision && mRevision->mEra != mStore->Era()) {
    mRevision.reset();
  }
  const std::string spec = wire::EncodeGateway({ mDomain, mHints->LocalAddress(), mRelayAddress, BootNow() });
  const auto request = mRevision ? wire::EncodeReplace(wire::object_kind::Gateways, mSelf.Str(), spec, *mRevision)
                                 : wire::EncodeCreate(wire::object_kind::Gateways, mSelf.Str(), spec);
  const instant sentAt = BootNow();
  const auto response = co_await mStore->Call(request, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
  // A conflict returns the current object. It is from an earlier process of this instance, or from a write whose
  // response was lost.
  if ((response.IsSuccess() || response.mStatus == 409) && object) {
    mRevision = object->mRevision;
  } else if (response.mStatus == 404) {
    mRevision.reset();
  }
  if (response.IsSuccess()) {
    mWrittenEra = response.mEra;
    mShareHolder.Renewed(sentAt, BootNow());
  } else if (response.mStatus == 409 && object && !IsOwn(*object)) {
    mShareHolder.Displaced();
  }
  UpdateShare();
  co_return response.IsSuccess();
}

/// Whether an object was written by this process and not by another with its name.
bool gateway_registry::IsOwn(const wire::record& aObject) const
{
  std::string fault;
  const auto gateway = wire::DecodeGateway(aObject.mSpec, fault);
  return gateway && gateway->mAddress == mHints->LocalAddress();
}

boost::asio::awaitable<void> gateway_registry::Remove()
{
  const ref<gateway_registry> self(this);
  // Deletes this revision only: a delayed delete would otherwise remove the object of the next process with this name.
  // A conflict means that a renewal succeeded whose response was lost.
  for (int tries = 0; tries < kMaxRemovals && mRevision && mRevision->mEra == mStore->Era(); ++tries) {
    const auto request = wire::EncodeDelete(wire::object_kind::Gateways, mSelf.Str(), *mRevision);
    const auto response = co_await mStore->Call(request, kStoreTimeout);
    std::string fault;
    const auto object = wire::DecodeRecord(response.mBody, response.mEra, fault);
    if (response.mStatus != 409 || !object) {
      break;
    }
    mRevision = object->mRevision;
  }
}

boost::asio::awaitable<void> gateway_registry::ReadPeriodically()
{
  const ref<gateway_registry> self(this);
  mStartedAt = Now();
  while (!mIsLeaving) {
    // When all gateways are killed at once, their objects remain, so the restarted gateways count each other at once.
    const instant sentAt = BootNow();
    if (co_await ReadAll()) {
      mIsRead = true;
      mShareHolder.ListRead(sentAt, mPeerCounter.CountAll(), BootNow());
    }
    Count();
    UpdateShare();
    ChooseRelays();
    const bool settling = Now() - mStartedAt < kSettleTime;
    const duration pause = settling ? kRetryPause : policy::GatewayListInterval(mGatewayCount);
    co_await Pause(pause);
  }
}

boost::asio::awaitable<bool> gateway_registry::ReadAll()
{
  std::string after;
  std::vector<net::endpoint> peersBefore;
  std::vector<net::endpoint> peersAfter;
  std::map<instance_id, net::endpoint> relayAddresses;
  std::vector<permit_peer> permitPeers;
  while (true) {
    auto request = wire::EncodeList(wire::object_kind::Gateways, after, true);
    const auto response = co_await mStore->Call(std::move(request), kStoreTimeout);
    std::string fault;
    const auto list = response.IsSuccess() ? wire::DecodeList(response.mBody, response.mEra, fault) : std::nullopt;
    if (!list) {
      co_return false;
    }
    for (const wire::record& object : list->mItems) {
      if (const auto gateway = wire::DecodeGateway(object.mSpec, fault)) {
        mPeerCounter.Seen(instance_id(object.mName), gateway->mDomain, object.mRevision, Now());
        if (const auto relay = net::ParseEndpoint(gateway->mRelay)) {
          relayAddresses.insert_or_assign(instance_id(object.mName), relay.value());
        }
        const auto address = net::ParseEndpoint(gateway->mAddress);
        if (address && object.mName != mSelf.Str()) {
          (object.mName < mSelf.Str() ? peersBefore : peersAfter).push_back(address.value());
          permitPeers.push_back({ instance_id(object.mName), gateway->mDomain, address.value() });
        }
      }
    }
    if (!list->mIsTruncated || list->mItems.empty()) {
      mPeerCounter.ListRead(Now());
      mRelayAddresses = std::move(relayAddresses);
      peersAfter.insert(peersAfter.end(), peersBefore.begin(), peersBefore.end());
      mHints->SetPeers(std::move(peersAfter));
      std::erase_if(permitPeers, [&](const permit_peer& aPeer) { return !mPeerCounter.IsLive(aPeer.mInstance); });
      std::vector<announcement_peer> announcementPeers;
      announcementPeers.reserve(permitPeers.size());
      for (const permit_peer& peer : permitPeers) {
        announcementPeers.push_back({ peer.mDomain, peer.mAddress });
      }
      mFleet->Announcements().SetPeers(std::move(announcementPeers));
      mFleet->Limits().SetPeers(std::move(permitPeers));
      co_return true;
    }
    after = list->mItems.back().mName;
  }
}

void gateway_registry::Count()
{
  const bool settling = Now() - mStartedAt < kSettleTime;
  const std::size_t all = std::max(mPeerCounter.CountAll(), settling ? policy::kAssumedPeers : 1);
  const std::size_t inDomain = mPeerCounter.CountInDomain(mDomain);
  if (all != mGatewayCount) {
    log_line(log_event::GatewaysCounted).Count("all", all).Count("in_domain", inDomain);
  }
  mGatewayCount = all;
  mFleet->SetGateways(all, inDomain);
}

void gateway_registry::UpdateShare()
{
  const instant now = BootNow();
  mFleet->Retries().SetShare(mShareHolder.Share(now), now);
}

/// The first gateway of the failure domain reads the store itself, the others read through it. The second one replaces
/// it when it fails.
void gateway_registry::ChooseRelays()
{
  // The first read may show only some of the gateways. Then several act as the first one, which only costs store calls.
  if (!mIsRead) {
    return;
  }
  std::vector<policy::propagation_member> members;
  for (const instance_id& live : mPeerCounter.LiveInDomain(mDomain)) {
    members.push_back({ live, mDomain });
  }
  const policy::propagation_plan plan({ mSelf, mDomain }, std::move(members));
  const auto first = plan.RelaysOf(mDomain);
  const bool isFirst = first.front() == mSelf;
  std::vector<relay_address> relays;
  for (const instance_id& source : plan.IsRelay() ? first : plan.Sources()) {
    const auto address = mRelayAddresses.find(source);
    if (source != mSelf && address != mRelayAddresses.end()) {
      relays.push_back({ source, address->second });
    }
  }
  mSync->SetRelays(std::move(relays), isFirst);
  mSync->SetWitnesses(ChooseWitnesses());
}

/// Some live gateways, others for each gateway, so that an outage puts no load on a few of them.
std::vector<relay_address> gateway_registry::ChooseWitnesses() const
{
  std::map<std::uint64_t, relay_address> ordered;
  for (const auto& [instance, address] : mRelayAddresses) {
    if (instance != mSelf && mPeerCounter.IsLive(instance)) {
      ordered.emplace(StableHash(mSelf.Str() + "/" + instance.Str()), relay_address{ instance, address });
    }
  }
  std::vector<relay_address> witnesses;
  for (auto& [order, witness] : ordered) {
    if (witnesses.size() < kMaxWitnesses) {
      witnesses.push_back(std::move(witness));
    }
  }
  return witnesses;
}

} // namespace chervilpulley::gateway
