#include <algorithm>

#include "base/decision_log.h"
#include "gateway/fleet.h"

/// What backend servers say about themselves, in the list and in their responses: that they are leaving, or want no
/// requests for a while. It holds for a process of a server until it restarts.
namespace chervilpulley::gateway {

/// The state of a server that is listed for the first time, again, or after a restart. An entry that is not newer than
/// a process which is known to be leaving is an old picture of the list.
backend_state fleet::NewState(const policy::backend_member& aMember, instant aNow) const
{
  backend_state state;
  state.mStartedAt = aMember.mStartedAt;
  if (auto address = net::ParseEndpoint(aMember.mAddress)) {
    state.mAddress = address.value();
  }
  if (const auto known = mStates.find(aMember.mId);
      known != mStates.end() && aMember.mStartedAt <= known->second.mStartedAt) {
    state.mNotices = known->second.mNotices;
  }
  const auto departed = mDeparted.find(aMember.mId);
  const bool hadLeft = departed != mDeparted.end() && aMember.mStartedAt <= departed->second.mStartedAt;
  if (hadLeft && !state.mNotices.mLeavingSince) {
    state.mNotices = departed->second.mNotices;
  }
  if (hadLeft && mCopyUntil > aNow) {
    state.mUnconfirmedUntil = mCopyUntil;
    log_line(log_event::BackendUnconfirmed)
      .Text("backend", aMember.mId.Str())
      .Count("started_at", aMember.mStartedAt)
      .Number("for_ms", std::chrono::duration<double, std::milli>(mCopyUntil - aNow).count());
  }
  return state;
}

void fleet::EntryWritten(const backend_id& aId)
{
  if (const auto found = mStates.find(aId); found != mStates.end()) {
    found->second.mUnconfirmedUntil = {};
  }
}

void fleet::HandleHead(const policy::server_start& aServer,
                       const wire::response_metadata& aResponse,
                       instant aSentAt,
                       instant aNow)
{
  // A response of another server at a reused address says nothing about the one that the call was meant for.
  const bool isOther = !aResponse.mActualInstance.empty() && aResponse.mActualInstance != aServer.mId.Str();
  if (isOther) {
    return;
  }
  if (aResponse.mIsLeaving) {
    MarkLeaving(aServer, "response", aNow);
  }
  if (aResponse.mPause) {
    Pause(aServer, *aResponse.mPause, aNow);
  }
  Limit(aServer, aResponse, aSentAt, aNow);
}

void fleet::Limit(const policy::server_start& aServer,
                  const wire::response_metadata& aResponse,
                  instant aSentAt,
                  instant aNow)
{
  const bool isUnreadable = aResponse.mNamesLimit && !aResponse.mLimit;
  // A response that only says that the request reached the wrong server may come from another one.
  const bool isUncertain = !aResponse.mNamesLimit && aResponse.mIsMisdirected;
  if (!isUnreadable && !isUncertain && NoticesOf(aServer) != nullptr) {
    mLimits.Responded(aServer, DomainOf(aServer.mId), aResponse.mLimit, aSentAt, aNow);
  }
}

policy::server_start fleet::StartOf(const backend_id& aId) const
{
  const auto found = mStates.find(aId);
  return { aId, found == mStates.end() ? 0 : found->second.mStartedAt };
}

failure_domain_id fleet::DomainOf(const backend_id& aId) const
{
  const auto* member = mMembers.Find(aId);
  return member == nullptr ? failure_domain_id() : member->mDomain;
}

void fleet::MissPermits(const std::vector<backend_id>& aServers, bool aIsNew, instant aNow)
{
  for (const backend_id& id : aServers) {
    mLimits.Missed(StartOf(id), aIsNew, aNow);
  }
}

void fleet::RequestSent(const backend_id& aId, instant aNow)
{
  mLimits.Begun(StartOf(aId), aNow);
}

permit_grant fleet::GrantPermits(const permit_ask& aAsk, instant aNow)
{
  return mLimits.Grant(aAsk, DomainOf(aAsk.mServer.mId), aNow);
}

std::vector<server_limit> fleet::LimitsInForce(instant aNow) const
{
  std::vector<server_limit> limits = mLimits.InForce(aNow);
  std::erase_if(limits, [&](const server_limit& aLimit) { return !mStates.contains(aLimit.mServer); });
  return limits;
}

std::size_t fleet::OverLimit(const pool_name& aPool, instant aNow) const
{
  if (mLimits.IsEmpty()) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::count_if(mMembers.Members().begin(), mMembers.Members().end(), [&](const auto& aEntry) {
      return aEntry.second.mPool == aPool && !mLimits.MayBegin({ aEntry.first, aEntry.second.mStartedAt }, aNow);
    }));
}

bool fleet::MayGetPermits(const pool_name& aPool, instant aNow) const
{
  return !mLimits.IsEmpty() &&
         std::any_of(mMembers.Members().begin(), mMembers.Members().end(), [&](const auto& aEntry) {
           const auto state = mStates.find(aEntry.first);
           return aEntry.second.mPool == aPool && state != mStates.end() && MayGetWork(state->second, aNow) &&
                  mLimits.MayGetPermits({ aEntry.first, aEntry.second.mStartedAt }, aNow);
         });
}

duration fleet::PermitWait(const pool_name& aPool, std::size_t aAhead, instant aNow) const
{
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aPool) : nullptr;
  if (mLimits.IsEmpty() || pool == nullptr) {
    return duration::zero();
  }
  double perSecond = 0;
  for (const auto& [id, member] : mMembers.Members()) {
    const auto state = mStates.find(id);
    const bool canBegin = !pool->mEngine || member.mLayers.Holds(0);
    if (member.mPool != aPool || state == mStates.end() || !canBegin || !MayGetWork(state->second, aNow) ||
        IsReplaced(id) || (pool->mEngine && IsMoving(id, aNow))) {
      continue;
    }
    if (!mLimits.IsLimited({ id, member.mStartedAt })) {
      return duration::zero();
    }
    perSecond += mLimits.PermitsPerSecond({ id, member.mStartedAt });
  }
  if (perSecond <= 0) {
    return duration::zero();
  }
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(static_cast<double>(aAhead + 1) / perSecond));
}

server_notices* fleet::NoticesOf(const policy::server_start& aServer)
{
  const auto found = mStates.find(aServer.mId);
  if (found != mStates.end() && found->second.mStartedAt == aServer.mStartedAt) {
    return &found->second.mNotices;
  }
  const auto departed = mDeparted.find(aServer.mId);
  const bool isDeparted = departed != mDeparted.end() && departed->second.mStartedAt == aServer.mStartedAt;
  return isDeparted ? &departed->second.mNotices : nullptr;
}

void fleet::Pause(const policy::server_start& aServer, duration aTime, instant aNow)
{
  server_notices* notices = NoticesOf(aServer);
  if (notices == nullptr) {
    return;
  }
  const bool isNew = notices->mPausedUntil <= aNow;
  notices->mPausedUntil = std::max(notices->mPausedUntil, aNow + aTime);
  if (isNew) {
    log_line(log_event::BackendPaused)
      .Text("backend", aServer.mId.Str())
      .Number("for_ms", std::chrono::duration<double, std::milli>(aTime).count());
  }
}

bool fleet::IsPaused(const backend_id& aId, instant aNow) const
{
  const auto found = mStates.find(aId);
  return found != mStates.end() && found->second.mNotices.mPausedUntil > aNow;
}

void fleet::MarkLeaving(const policy::server_start& aServer, std::string_view aSource, instant aNow)
{
  server_notices* notices = NoticesOf(aServer);
  if (notices == nullptr || notices->mLeavingSince) {
    return;
  }
  notices->mLeavingSince = aNow;
  log_line(log_event::BackendLeaving)
    .Text("backend", aServer.mId.Str())
    .Count("started_at", aServer.mStartedAt)
    .Text("found_by", aSource);
}

std::optional<instant> fleet::LeavingSince(const backend_id& aId) const
{
  const auto found = mStates.find(aId);
  return found == mStates.end() ? std::nullopt : found->second.mNotices.mLeavingSince;
}

std::optional<duration> fleet::ServiceReturnsIn(const pool_name& aPool, instant aNow) const
{
  std::optional<duration> soonest;
  for (const auto& [id, member] : mMembers.Members()) {
    const auto state = mStates.find(id);
    if (member.mPool != aPool || state == mStates.end() || state->second.mNotices.mLeavingSince || IsReplaced(id) ||
        state->second.mNotices.mPausedUntil <= aNow) {
      continue;
    }
    const duration left = std::max(state->second.mNotices.mPausedUntil, state->second.mLostUntil) - aNow;
    soonest = std::min(soonest.value_or(left), left);
  }
  return soonest;
}

} // namespace chervilpulley::gateway
