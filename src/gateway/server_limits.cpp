#include "gateway/server_limits.h"

#include <algorithm>
#include <utility>

#include "base/decision_log.h"
#include "base/random.h"

namespace chervilpulley::gateway {

namespace {

/// Time after which an ask without a response is sent once more; between gateways a response takes some milliseconds.
constexpr duration kAnswerTime = std::chrono::milliseconds(150);
/// Number of asks without a response after which the next coordinator is asked: datagrams are lost now and then.
constexpr int kMaxSends = 2;
/// A gateway that did not answer is not asked for this time.
constexpr duration kSilentTime = std::chrono::seconds(2);
/// What is known of a server is dropped when nothing was sent to it or heard of it for this time.
constexpr duration kRetention = std::chrono::minutes(10);
/// Maximum number of servers of which something is kept. Anyone may send datagrams that name servers, and the largest
/// deployments have 3,400 engines.
constexpr std::size_t kMaxServers = 8192;
/// Rate assumed before any grant was measured, as a share of the limit.
constexpr double kAssumedShare = 0.5;
/// Lower limit of a rate that a wait is computed from, per second.
constexpr double kMinRate = 0.05;

std::uint64_t Score(const policy::server_start& aServer, const instance_id& aGateway)
{
  return StableHash(aServer.mId.Str() + '/' + aGateway.Str());
}

} // namespace

std::string_view ToText(limit_source aSource)
{
  return aSource == limit_source::Response ? "response" : "hint";
}

server_limits::limited_server& server_limits::State(const policy::server_start& aServer,
                                                    const failure_domain_id& aDomain,
                                                    instant aNow)
{
  limited_server& state = mServers[aServer];
  if (aDomain.IsValid()) {
    state.mDomain = aDomain;
  }
  state.mUsedAt = aNow;
  return state;
}

void server_limits::Set(const policy::server_start& aServer,
                        limited_server& aState,
                        std::optional<double> aLimit,
                        limit_source aSource,
                        instant aChangedAt)
{
  const double former = aState.mLimit.value_or(-1);
  const bool isNew = aState.mLimit != aLimit;
  mLimited += (aLimit ? 1 : 0) - (aState.mLimit ? 1 : 0);
  aState.mLimit = aLimit;
  aState.mChangedAt = aChangedAt;
  if (isNew && aLimit) {
    log_line(log_event::BackendLimited)
      .Text("backend", aServer.mId.Str())
      .Count("started_at", aServer.mStartedAt)
      .Number("per_second", *aLimit)
      .Number("former", former)
      .Text("found_by", ToText(aSource));
  } else if (isNew) {
    aState.mPending.reset();
    log_line(log_event::BackendLimitEnded)
      .Text("backend", aServer.mId.Str())
      .Count("started_at", aServer.mStartedAt)
      .Number("former", former)
      .Text("found_by", ToText(aSource));
  }
}

void server_limits::Responded(const policy::server_start& aServer,
                              const failure_domain_id& aDomain,
                              std::optional<double> aLimit,
                              instant aSentAt,
                              instant aNow)
{
  const auto found = mServers.find(aServer);
  const bool isKnown = found != mServers.end() && found->second.mLimit;
  if (!aLimit && !isKnown) {
    return;
  }
  limited_server& state = State(aServer, aDomain, aNow);
  const bool isLower = aLimit && (!state.mLimit || *aLimit < *state.mLimit);
  if (isLower || aSentAt > state.mChangedAt) {
    Set(aServer, state, aLimit, limit_source::Response, aNow);
    if (!aLimit) {
      NotifyEnd(aServer, state, aNow);
    }
  }
}

/// Tells the coordinator, and through it the gateways that ask it, that a server names no limit any more.
void server_limits::NotifyEnd(const policy::server_start& aServer, const limited_server& aState, instant aNow)
{
  const auto coordinators = Coordinators(aServer, aState.mDomain, aNow);
  if (mSender && !coordinators.empty() && coordinators.front()->mInstance.IsValid()) {
    mSender(coordinators.front()->mAddress, { aServer, mSelf, {}, std::nullopt, duration::zero() });
  }
}

void server_limits::Restarted(const policy::server_start& aServer)
{
  const auto begin = mServers.lower_bound({ aServer.mId, 0 });
  for (auto each = begin; each != mServers.end() && each->first < aServer;) {
    mLimited -= each->second.mLimit ? 1 : 0;
    each = mServers.erase(each);
  }
}

bool server_limits::IsLimited(const policy::server_start& aServer) const
{
  if (mLimited == 0) {
    return false;
  }
  const auto found = mServers.find(aServer);
  return found != mServers.end() && found->second.mLimit;
}

bool server_limits::MayBegin(const policy::server_start& aServer, instant aNow) const
{
  return !IsLimited(aServer) || mServers.at(aServer).mPermits.Has(aNow);
}

void server_limits::Begun(const policy::server_start& aServer, instant aNow)
{
  if (IsLimited(aServer)) {
    limited_server& state = mServers.at(aServer);
    state.mPermits.Use(aNow);
    state.mUsedAt = aNow;
  }
}

void server_limits::Missed(const policy::server_start& aServer, bool aIsNew, instant aNow)
{
  if (IsLimited(aServer)) {
    limited_server& state = mServers.at(aServer);
    state.mPermits.Missed(aIsNew, aNow);
    state.mUsedAt = aNow;
    if (mSchedule && !std::exchange(mIsScheduled, true)) {
      mSchedule();
    }
  }
}

bool server_limits::MayGetPermits(const policy::server_start& aServer, instant aNow) const
{
  return IsLimited(aServer) && !mServers.at(aServer).mPermits.AreExhausted(aNow);
}

double server_limits::PermitsPerSecond(const policy::server_start& aServer) const
{
  if (!IsLimited(aServer)) {
    return 0;
  }
  const limited_server& state = mServers.at(aServer);
  return std::max(kMinRate, state.mPermits.GrantedPerSecond().value_or(*state.mLimit * kAssumedShare));
}

std::vector<server_limit> server_limits::InForce(instant aNow) const
{
  std::vector<server_limit> limits;
  for (const auto& [server, state] : mServers) {
    if (state.mLimit) {
      limits.push_back({ server.mId, *state.mLimit, state.mPermits.UsedLately(aNow) });
    }
  }
  return limits;
}

/// The gateways that may coordinate a server, in order: those of its failure domain, or all when that has none.
std::vector<const permit_peer*> server_limits::Coordinators(const policy::server_start& aServer,
                                                            const failure_domain_id& aDomain,
                                                            instant aNow) const
{
  static const permit_peer kSelf;
  std::vector<std::pair<std::uint64_t, const permit_peer*>> scored;
  for (const bool domainOnly : { true, false }) {
    for (const permit_peer& peer : mPeers) {
      if (!domainOnly || peer.mDomain == aDomain) {
        scored.emplace_back(Score(aServer, peer.mInstance), &peer);
      }
    }
    if (!domainOnly || mHome == aDomain) {
      scored.emplace_back(Score(aServer, mSelf), &kSelf);
    }
    if (!scored.empty()) {
      break;
    }
  }
  std::sort(scored.begin(), scored.end());
  scored.resize(std::min(scored.size(), kMaxCoordinators));
  std::vector<const permit_peer*> coordinators;
  for (const auto& [score, peer] : scored) {
    const auto silent = mSilentUntil.find(peer->mInstance);
    if (silent == mSilentUntil.end() || silent->second <= aNow) {
      coordinators.push_back(peer);
    }
  }
  return coordinators;
}

void server_limits::Ask(const policy::server_start& aServer,
                        limited_server& aState,
                        const permit_ask& aAsk,
                        instant aNow)
{
  const auto coordinators = Coordinators(aServer, aState.mDomain, aNow);
  const instance_id coordinator = coordinators.empty()                        ? instance_id()
                                  : coordinators.front()->mInstance.IsValid() ? coordinators.front()->mInstance
                                                                              : mSelf;
  if (coordinator != aState.mCoordinator) {
    aState.mCoordinator = coordinator;
    log_line(log_event::LimitCoordinator)
      .Text("backend", aServer.mId.Str())
      .Text("gateway", coordinator.Str())
      .Number("per_second", *aState.mLimit);
  }
  if (coordinators.empty()) {
    return;
  }
  if (coordinator == mSelf) {
    Receive(aState, Grant(aAsk, aState.mDomain, aNow).mPermits, aNow, aNow);
    return;
  }
  aState.mPending = { coordinator, aAsk, aNow, aNow };
  if (mSender) {
    mSender(coordinators.front()->mAddress, aAsk);
  }
}

/// Sends an ask without a response again, to the same coordinator or to the next one.
void server_limits::RepeatAsk(const policy::server_start& aServer, limited_server& aState, instant aNow)
{
  pending_ask& pending = *aState.mPending;
  const auto peer = std::find_if(
    mPeers.begin(), mPeers.end(), [&](const auto& aPeer) { return aPeer.mInstance == pending.mCoordinator; });
  if (pending.mSends < kMaxSends && peer != mPeers.end() && mSender) {
    ++pending.mSends;
    pending.mSentAt = aNow;
    mSender(peer->mAddress, pending.mAsk);
    return;
  }
  mSilentUntil[pending.mCoordinator] = aNow + kSilentTime;
  const permit_ask ask = pending.mAsk;
  aState.mPending.reset();
  Ask(aServer, aState, ask, aNow);
}

void server_limits::TimePassed(instant aNow)
{
  mIsScheduled = false;
  if (mServers.empty()) {
    return;
  }
  std::erase_if(mSilentUntil, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  for (auto each = mServers.begin(); each != mServers.end();) {
    limited_server& state = each->second;
    if (aNow - state.mUsedAt > kRetention) {
      mLimited -= state.mLimit ? 1 : 0;
      each = mServers.erase(each);
      continue;
    }
    if (state.mLimit && state.mPending && aNow - state.mPending->mSentAt >= kAnswerTime) {
      RepeatAsk(each->first, state, aNow);
    }
    const bool mayAsk = state.mLimit && !state.mPending;
    if (const auto demand = mayAsk ? state.mPermits.DueAsk(aNow) : std::nullopt) {
      Ask(each->first, state, { each->first, mSelf, *demand, *state.mLimit, aNow - state.mChangedAt }, aNow);
    }
    ++each;
  }
}

permit_grant server_limits::Grant(const permit_ask& aAsk, const failure_domain_id& aDomain, instant aNow)
{
  permit_grant grant;
  grant.mServer = aAsk.mServer;
  if (mServers.size() >= kMaxServers && !mServers.contains(aAsk.mServer)) {
    return grant;
  }
  limited_server& state = State(aAsk.mServer, aDomain, aNow);
  const instant namedAt = aNow - aAsk.mKnownFor;
  if (namedAt > state.mChangedAt) {
    Set(aAsk.mServer, state, aAsk.mLimit, limit_source::Hint, namedAt);
  }
  grant.mLimit = state.mLimit;
  grant.mKnownFor = aNow - state.mChangedAt;
  if (state.mLimit) {
    grant.mPermits = state.mSource.Grant(aAsk.mGateway, aAsk.mDemand, *state.mLimit, aNow);
  }
  return grant;
}

void server_limits::Granted(const net::endpoint& aFrom, const permit_grant& aGrant, instant aNow)
{
  const auto found = mServers.find(aGrant.mServer);
  if (found == mServers.end() || !found->second.mPending) {
    return;
  }
  limited_server& state = found->second;
  const auto peer = std::find_if(
    mPeers.begin(), mPeers.end(), [&](const auto& aPeer) { return aPeer.mInstance == state.mPending->mCoordinator; });
  if (peer == mPeers.end() || !(peer->mAddress == aFrom)) {
    return; // a late response of a coordinator that was given up
  }
  const instant askedAt = state.mPending->mAskedAt;
  state.mPending.reset();
  const instant changedAt = aNow - aGrant.mKnownFor;
  if (changedAt > state.mChangedAt) {
    Set(aGrant.mServer, state, aGrant.mLimit, limit_source::Hint, changedAt);
  }
  Receive(state, aGrant.mPermits, askedAt, aNow);
}

void server_limits::Receive(limited_server& aState, std::uint32_t aPermits, instant aAskedAt, instant aNow)
{
  aState.mPermits.Received(aPermits, aAskedAt, aNow);
  if (mOnPermits) {
    mOnPermits();
  }
}

} // namespace chervilpulley::gateway
