#include "gateway/gateway_registry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

#include "base/clock.h"
#include "base/decision_log.h"
#include "policy/config_spread.h"

namespace chervilpulley::gateway {

namespace {

/// Time between two renewals of our object.
constexpr duration kRenewal = std::chrono::seconds(8);
/// An object that was not renewed for so long counts for nothing.
constexpr duration kLife = std::chrono::seconds(18);
/// Time between two readings, and what each gateway adds to it, so that many do not read each other too often.
constexpr duration kReading = std::chrono::seconds(2);
constexpr duration kReadingPerGateway = std::chrono::milliseconds(100);
constexpr duration kRetryPause = std::chrono::milliseconds(700);
/// Time after a start within which a low count is not believed: others that start as well are not listed yet.
constexpr duration kSettling = std::chrono::seconds(2);
constexpr duration kStoreTimeout = std::chrono::milliseconds(800);
/// Removals of our object that are tried: one finds the last renewal, the next one has its revision.
constexpr int kMostRemovals = 2;

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
  , mCensus(kLife)
{
}

void gateway_registry::Start()
{
  mFleet->SetGateways(policy::kAssumedPeers, 1);
  boost::asio::co_spawn(mContext, Renew(), boost::asio::detached);
  boost::asio::co_spawn(mContext, Follow(), boost::asio::detached);
}

void gateway_registry::Leave()
{
  mIsLeaving = true;
  boost::asio::co_spawn(mContext, Remove(), boost::asio::detached);
}

boost::asio::awaitable<void> gateway_registry::Renew()
{
  const ref<gateway_registry> self(this);
  while (!mIsLeaving) {
    co_await Write();
    const duration pause = mRevision ? kRenewal : kRetryPause;
    co_await Pause(pause);
  }
}

boost::asio::awaitable<void> gateway_registry::Write()
{
  const std::string spec = wire::EncodeGateway({ mDomain, mHints->LocalAddress(), mRelayAddress, BootNow() });
  const auto question = mRevision ? wire::EncodeReplace(wire::object_kind::Gateways, mSelf.Str(), spec, *mRevision)
                                  : wire::EncodeCreate(wire::object_kind::Gateways, mSelf.Str(), spec);
  const auto answer = co_await mStore->Call(question, kStoreTimeout);
  std::string fault;
  const auto object = wire::DecodeRecord(answer.mBody, fault);
  // A conflict shows the object as it is: an earlier process of this instance, or a lost answer, left it.
  if ((answer.IsSuccess() || answer.mStatus == 409) && object) {
    mRevision = object->mRevision;
  } else if (answer.mStatus == 404) {
    mRevision.reset();
  }
}

boost::asio::awaitable<void> gateway_registry::Remove()
{
  const ref<gateway_registry> self(this);
  // Only as we know it: a removal that is carried out late would else count for nothing the process that follows us
  // under this name. A conflict shows a renewal of ours whose answer was lost.
  for (int tries = 0; tries < kMostRemovals && mRevision; ++tries) {
    const auto question = wire::EncodeDelete(wire::object_kind::Gateways, mSelf.Str(), *mRevision);
    const auto answer = co_await mStore->Call(question, kStoreTimeout);
    std::string fault;
    const auto object = wire::DecodeRecord(answer.mBody, fault);
    if (answer.mStatus != 409 || !object) {
      break;
    }
    mRevision = object->mRevision;
  }
}

boost::asio::awaitable<void> gateway_registry::Follow()
{
  const ref<gateway_registry> self(this);
  mStartedAt = Now();
  while (!mIsLeaving) {
    // The objects of gateways that were all killed at once are still there, and tell those that start again of each
    // other.
    if (co_await ReadAll()) {
      mCensus.ListRead(Now());
      mIsRead = true;
    }
    Count();
    ChooseRelays();
    const bool settling = Now() - mStartedAt < kSettling;
    const duration settled = kReading + kReadingPerGateway * static_cast<int>(mCounted);
    const duration pause = settling ? kRetryPause : settled;
    co_await Pause(pause);
  }
}

boost::asio::awaitable<bool> gateway_registry::ReadAll()
{
  std::string after;
  std::vector<net::endpoint> before;
  std::vector<net::endpoint> behind;
  mRelayAddresses.clear();
  while (true) {
    auto question = wire::EncodeList(wire::object_kind::Gateways, after, true);
    const auto answer = co_await mStore->Call(std::move(question), kStoreTimeout);
    std::string fault;
    const auto list = answer.IsSuccess() ? wire::DecodeList(answer.mBody, fault) : std::nullopt;
    if (!list) {
      co_return false;
    }
    for (const wire::record& object : list->mItems) {
      if (const auto gateway = wire::DecodeGateway(object.mSpec, fault)) {
        mCensus.Seen(instance_id(object.mName), gateway->mDomain, object.mRevision, Now());
        if (const auto relay = net::ParseEndpoint(gateway->mRelay)) {
          mRelayAddresses.insert_or_assign(instance_id(object.mName), relay.value());
        }
        const auto address = net::ParseEndpoint(gateway->mAddress);
        if (address && object.mName != mSelf.Str()) {
          (object.mName < mSelf.Str() ? before : behind).push_back(address.value());
        }
      }
    }
    if (!list->mIsTruncated || list->mItems.empty()) {
      behind.insert(behind.end(), before.begin(), before.end());
      mHints->SetPeers(std::move(behind));
      co_return true;
    }
    after = list->mItems.back().mName;
  }
}

void gateway_registry::Count()
{
  const bool settling = Now() - mStartedAt < kSettling;
  const std::size_t all = std::max(mCensus.All(Now()), settling ? policy::kAssumedPeers : 1);
  const std::size_t inDomain = mCensus.InDomain(mDomain, Now());
  if (all != mCounted) {
    log_line(log_event::GatewaysCounted).Count("all", all).Count("in_domain", inDomain);
  }
  mCounted = all;
  mFleet->SetGateways(all, inDomain);
}

/// The first of the failure domain's gateways reads the store, the others take from it what it has read. The second one
/// takes its place where it fails.
void gateway_registry::ChooseRelays()
{
  // A first reading may show some gateways only: then several take themselves for the first, which costs calls only.
  if (!mIsRead) {
    return;
  }
  std::vector<policy::spread_member> members;
  for (const instance_id& live : mCensus.LiveIn(mDomain, Now())) {
    members.push_back({ live, mDomain });
  }
  const policy::spread_plan plan({ mSelf, mDomain }, std::move(members));
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
}

} // namespace chervilpulley::gateway
