#include "gateway/fleet.h"

#include <algorithm>
#include <utility>

#include "base/decision_log.h"
#include "policy/service_choice.h"

namespace chervilpulley::gateway {

namespace {

/// Weight of the newest outcome in the moving average of a server's failures.
constexpr double kOutcomeWeight = 0.15;

} // namespace

fleet::fleet(failure_domain_id aHome, duration aReturnTime, policy::retry_bounds aRetryBounds)
  : mHome(std::move(aHome))
  , mMembers(aReturnTime)
  , mLimits(mHome)
  , mRetries(aRetryBounds)
  , mAnnouncements(mHome)
{
}

void fleet::MembersChanged(instant aNow)
{
  std::map<backend_id, backend_state> states;
  mByAddress.clear();
  for (const auto& [id, member] : mMembers.Members()) {
    const auto [at, isFirst] = mByAddress.try_emplace(member.mAddress, id);
    if (!isFirst && mMembers.Find(at->second)->mStartedAt < member.mStartedAt) {
      at->second = id;
    }
    const auto known = mStates.find(id);
    if (known != mStates.end() && known->second.mStartedAt == member.mStartedAt) {
      states.emplace(id, known->second);
      continue;
    }
    states.emplace(id, NewState(member, aNow));
    mLimits.Restarted({ id, member.mStartedAt });
    log_line(log_event::BackendSeen)
      .Text("backend", id.Str())
      .Text("pool", member.mPool.Str())
      .Text("address", member.mAddress)
      .Count("started_at", member.mStartedAt);
  }
  for (const auto& [id, state] : mStates) {
    if (!states.contains(id)) {
      log_line(log_event::BackendGone).Text("backend", id.Str());
      AddDeparted(id, state, aNow);
    }
  }
  mStates = std::move(states);
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.mLeaving) {
      MarkLeaving({ id, member.mStartedAt }, "list", aNow);
    }
  }
  MarkUnlisted(aNow);
}

/// Marks the servers whose removal from the list has not taken effect yet.
void fleet::MarkUnlisted(instant aNow)
{
  const auto& held = mMembers.HeldRemovals();
  for (auto& [id, state] : mStates) {
    const auto removal = held.find(id);
    const bool wasUnlisted = std::exchange(state.mIsUnlisted, removal != held.end());
    if (state.mIsUnlisted && !wasUnlisted) {
      log_line(log_event::BackendUnlisted)
        .Text("backend", id.Str())
        .Number("since_ms", policy::fractional_ms(aNow - removal->second.mSince).count())
        .Number("for_ms", policy::fractional_ms(removal->second.mUntil - aNow).count());
    }
  }
}

void fleet::AddDeparted(const backend_id& aId, const backend_state& aState, instant aNow)
{
  std::erase_if(mDeparted, [&](const auto& aKnown) { return aNow - aKnown.second.mSince > kDepartedRetention; });
  mDeparted[aId] = { aState.mAddress, aState.mStartedAt, aState.mLostUntil > aNow, aState.mNotices, aNow };
}

backend_state& fleet::State(const backend_id& aId)
{
  return mStates[aId];
}

void fleet::FillEngines(const pool& aPool)
{
  if (mEnginesOf == aPool.mName && mEnginesVersion == mMembers.Version() &&
      mEnginesConfiguration == mConfiguration.get()) {
    return;
  }
  mEnginesOf = aPool.mName;
  mEnginesVersion = mMembers.Version();
  mEnginesConfiguration = mConfiguration.get();
  mEngines.clear();
  ForEachEngine(aPool, [&](const policy::backend_member& aMember, const policy::accelerator_kind& aKind) {
    policy::path_engine engine;
    engine.mId = aMember.mId;
    engine.mDomain = aMember.mDomain;
    engine.mKind = aKind;
    engine.mHeld = aMember.mLayers;
    mEngines.push_back(std::move(engine));
  });
  mEngineShares.clear();
}

/// Sets the load and usability of mEngines for a search.
policy::path_request fleet::PrepareSearch(const pool& aPool, const path_query& aQuery, instant aNow)
{
  FillEngines(aPool);
  policy::path_request request;
  request.mInputTokens = aQuery.mInputTokens;
  request.mOutputTokens = aQuery.mOutputTokens;
  request.mHome = aQuery.mDomainBefore.value_or(mHome);
  request.mInterconnectWaits = mInterconnect.Waits(aNow);
  request.mSpan = aQuery.mSpan;
  request.mDomainBefore = aQuery.mDomainBefore;
  request.mDomainAfter = aQuery.mDomainAfter;
  request.mMaxQueueWait = policy::fractional_ms(aQuery.mMaxQueueWait);
  request.mFastEnginesOnly = aQuery.mFastEnginesOnly;
  const overload_control* overload = FindOverload(aQuery.mPool);
  overload = overload != nullptr && overload->State().mIsScarce ? overload : nullptr;
  for (policy::path_engine& engine : mEngines) {
    const backend_state& state = State(engine.mId);
    const double sharingGateways =
      overload == nullptr && engine.mDomain == mHome ? static_cast<double>(mGatewaysInDomain) : 1.0;
    engine.mReservedTokenLayers = state.mReserved * sharingGateways;
    engine.mRunning = state.mRunning * sharingGateways;
    // Without announcements the estimate is coarse, so any use of the engine counts.
    engine.mBegun = (overload != nullptr ? state.mBegun : state.mRunning) * sharingGateways;
    engine.mQueueWait = policy::fractional_ms(state.mQueue.Wait(aNow));
    engine.mSlowdownFactor = state.mSlowdownFactor;
    engine.mUsable = IsUsable(engine.mId, state, aQuery, aNow) && !state.mIsUnlisted;
    engine.mMayBegin = mLimits.MayBegin({ engine.mId, state.mStartedAt }, aNow);
  }
  if (overload != nullptr) {
    AddOthersLoad(*aPool.mEngine, *overload);
  }
  return request;
}

bool fleet::IsUsable(const backend_id& aId, const backend_state& aState, const path_query& aQuery, instant aNow) const
{
  return MayGetWork(aState, aNow) && aState.mRefusingUntil <= aNow && !IsMoving(aId, aNow) &&
         !aQuery.mExcluded.contains(aId);
}

/// Makes engines whose entry is missing usable for a search that found no path without them; false if there are none.
bool fleet::AdmitUnlisted(const path_query& aQuery, instant aNow)
{
  bool isAnyAdmitted = false;
  for (policy::path_engine& engine : mEngines) {
    const backend_state& state = State(engine.mId);
    if (state.mIsUnlisted && IsUsable(engine.mId, state, aQuery, aNow)) {
      engine.mUsable = true;
      isAnyAdmitted = true;
    }
  }
  return isAnyAdmitted;
}

std::optional<chosen_path> fleet::SearchPath(const pool& aPool,
                                             const path_query& aQuery,
                                             const policy::path_request& aRequest,
                                             instant aNow)
{
  auto path = FindPath(aPool, aQuery, aRequest);
  if (!path && AdmitUnlisted(aQuery, aNow)) {
    path = FindPath(aPool, aQuery, aRequest);
  }
  return path;
}

/// Searches a path through mEngines.
std::optional<chosen_path> fleet::FindPath(const pool& aPool,
                                           const path_query& aQuery,
                                           const policy::path_request& aRequest) const
{
  const auto path = policy::ChoosePath(*aPool.mEngine, mEngines, aRequest);
  if (!path) {
    return std::nullopt;
  }
  chosen_path chosen;
  chosen.mPool = aPool.mName;
  chosen.mTokens = aQuery.mInputTokens + aQuery.mOutputTokens;
  chosen.mCost = path->mCost;
  for (const policy::path_stage& stage : path->mStages) {
    const backend_id& id = mEngines[stage.mEngine].mId;
    chosen.mStages.push_back({ id, mMembers.Find(id)->mAddress, stage.mRange, mEngines[stage.mEngine].mDomain });
  }
  return chosen;
}

std::optional<chosen_path> fleet::ChoosePath(const path_query& aQuery, instant aNow)
{
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aQuery.mPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return std::nullopt;
  }
  auto path = SearchPath(*pool, aQuery, PrepareSearch(*pool, aQuery, aNow), aNow);
  std::vector<backend_id> overLimit;
  for (const policy::path_engine& engine : mEngines) {
    // A path that begins in another failure domain is worse, so permits are wanted for the engines of this one.
    if (!engine.mMayBegin && engine.mUsable && engine.mHeld.Holds(0) && !aQuery.mSpan &&
        (!path || engine.mDomain == mHome)) {
      overLimit.push_back(engine.mId);
    }
  }
  MissPermits(overLimit, !aQuery.mIsRepeated, aNow);
  return path;
}

const backend_state* fleet::FindState(const backend_id& aId) const
{
  const auto found = mStates.find(aId);
  return found == mStates.end() ? nullptr : &found->second;
}

engine_availability fleet::Availability(const pool_name& aPool, instant aNow)
{
  engine_availability availability;
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return availability;
  }
  FillEngines(*pool);
  std::vector<std::uint32_t> here(pool->mEngine->mLayers, 0);
  std::vector<bool> anywhere(pool->mEngine->mLayers, false);
  std::vector<instant> coveredAt(pool->mEngine->mLayers, instant::max());
  for (const policy::path_engine& engine : mEngines) {
    const backend_state& state = State(engine.mId);
    const bool lost = state.mLostUntil > aNow;
    const bool refusing = state.mRefusingUntil > aNow;
    const bool moving = IsMoving(engine.mId, aNow);
    const bool leaving = state.mNotices.mLeavingSince.has_value();
    const bool paused = state.mNotices.mPausedUntil > aNow;
    availability.mLost += lost ? 1 : 0;
    availability.mRefusing += refusing ? 1 : 0;
    availability.mMoving += moving ? 1 : 0;
    availability.mLeaving += leaving ? 1 : 0;
    availability.mPaused += paused ? 1 : 0;
    availability.mOverLimit += mLimits.MayBegin({ engine.mId, state.mStartedAt }, aNow) ? 0 : 1;
    const instant usableAt = leaving || lost || moving ? instant::max() : state.mNotices.mPausedUntil;
    const std::uint32_t end = std::min(engine.mHeld.mEnd, pool->mEngine->mLayers);
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < end; ++layer) {
      coveredAt[layer] = std::min(coveredAt[layer], usableAt);
    }
    if (lost || refusing || moving || leaving || paused) {
      continue;
    }
    ++availability.mUsable;
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < end; ++layer) {
      anywhere[layer] = true;
      here[layer] += engine.mDomain == mHome ? 1 : 0;
    }
  }
  for (const instant at : coveredAt) {
    if (at != instant::max() && at > aNow) {
      availability.mCoveredIn = std::max(availability.mCoveredIn, duration(at - aNow));
    }
  }
  availability.mUncoveredHere = static_cast<std::size_t>(std::count(here.begin(), here.end(), 0U));
  availability.mHeldOnceHere = static_cast<std::size_t>(std::count(here.begin(), here.end(), 1U));
  availability.mUncoveredAnywhere = static_cast<std::size_t>(std::count(anywhere.begin(), anywhere.end(), false));
  return availability;
}

std::optional<backend_id> fleet::ChooseService(const pool_name& aPool,
                                               const std::set<backend_id>& aExcluded,
                                               std::uint64_t aRandom,
                                               instant aNow)
{
  std::vector<policy::service_candidate> candidates;
  std::vector<const backend_id*> ids;
  std::vector<backend_id> overLimit;
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.mPool != aPool) {
      continue;
    }
    const backend_state& state = State(id);
    const bool mayGetWork = MayGetWork(state, aNow) && !IsReplaced(id) && !aExcluded.contains(id);
    const bool usable = mayGetWork && mLimits.MayBegin({ id, member.mStartedAt }, aNow);
    if (mayGetWork && !usable) {
      overLimit.push_back(id);
    }
    const double refusing = state.mRefusingUntil > aNow ? 1.0 : 0.0;
    candidates.push_back(
      { member.mDomain == mHome, state.mRunning, std::max(state.mFailures, refusing), usable, !state.mIsUnlisted });
    ids.push_back(&id);
  }
  MissPermits(overLimit, true, aNow);
  const auto index = policy::ChooseService(candidates, aRandom);
  return index ? std::optional(*ids[*index]) : std::nullopt;
}

void fleet::AddInterconnectLoad(const pool_name& aPool, const chosen_path& aPath, double aTokens, instant aNow)
{
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return;
  }
  const policy::fractional_ms time = policy::TransferTime(*pool->mEngine, aTokens);
  const auto sharingGateways = static_cast<double>(mGateways);
  for (std::size_t index = 1; index < aPath.mStages.size(); ++index) {
    const failure_domain_id& left = aPath.mStages[index - 1].mDomain;
    const failure_domain_id& right = aPath.mStages[index].mDomain;
    if (left != right) {
      mInterconnect.Add(policy::domain_pair(left, right), time, sharingGateways, aNow);
    }
  }
}

void fleet::Reserve(const chosen_path& aPath)
{
  AddTokensInUse(aPath, aPath.mTokens);
  for (const chosen_path::stage& stage : aPath.mStages) {
    // A server that has left the list has no state, though streams may still pass through it.
    const auto found = mStates.find(stage.mEngine);
    if (found != mStates.end()) {
      found->second.mReserved += aPath.mTokens * stage.mRange.Size();
      ++found->second.mRunning;
      found->second.mBegun += &stage == &aPath.mStages.front() ? 1 : 0;
    }
  }
}

void fleet::Release(const chosen_path& aPath)
{
  AddTokensInUse(aPath, -aPath.mTokens);
  for (const chosen_path::stage& stage : aPath.mStages) {
    const auto found = mStates.find(stage.mEngine);
    if (found != mStates.end()) {
      found->second.mReserved = std::max(0.0, found->second.mReserved - aPath.mTokens * stage.mRange.Size());
      found->second.mRunning -= found->second.mRunning > 0 ? 1 : 0;
      found->second.mBegun -= &stage == &aPath.mStages.front() && found->second.mBegun > 0 ? 1 : 0;
    }
  }
}

void fleet::Queued(const backend_id& aEngine, instant aAt)
{
  const auto found = mStates.find(aEngine);
  if (found != mStates.end()) {
    found->second.mQueue.Sent(aAt);
  }
}

void fleet::Unqueued(const backend_id& aEngine, instant aAt)
{
  const auto found = mStates.find(aEngine);
  if (found != mStates.end()) {
    found->second.mQueue.Left(aAt);
  }
}

void fleet::Started(const backend_id& aId)
{
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    ++found->second.mRunning;
  }
}

void fleet::Ended(const backend_id& aId)
{
  const auto found = mStates.find(aId);
  if (found != mStates.end() && found->second.mRunning > 0) {
    --found->second.mRunning;
  }
}

void fleet::RecordOutcome(const backend_id& aId, bool aFailed)
{
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    double& share = found->second.mFailures;
    share += kOutcomeWeight * ((aFailed ? 1.0 : 0.0) - share);
  }
}

void fleet::MarkLost(const backend_id& aId, instant aNow, loss_source aSource)
{
  const auto found = mStates.find(aId);
  if (found == mStates.end()) {
    if (const auto departed = mDeparted.find(aId); departed != mDeparted.end()) {
      departed->second.mIsLost = true;
    }
    return;
  }
  const bool isNew = found->second.mLostUntil <= aNow;
  found->second.mLostUntil = aNow + kLostHoldTime;
  if (!isNew) {
    return;
  }
  log_line(log_event::BackendBelievedLost)
    .Text("backend", aId.Str())
    .Text("found_by", aSource == loss_source::Own ? "own" : "hint");
  if (aSource == loss_source::Own && mOnLossFound && IsEngine(aId)) {
    mOnLossFound(aId);
  }
}

void fleet::MarkUnreachable(const backend_id& aId,
                            const std::string& aRequest,
                            const std::string& aReason,
                            instant aNow)
{
  log_line(log_event::BackendUnreachable).Text("request", aRequest).Text("backend", aId.Str()).Text("reason", aReason);
  MarkLost(aId, aNow);
}

bool fleet::IsEngine(const backend_id& aId) const
{
  const auto* member = mMembers.Find(aId);
  const pool* pool = member != nullptr && mConfiguration ? mConfiguration->FindPool(member->mPool) : nullptr;
  return pool != nullptr && pool->mEngine.has_value();
}

void fleet::MarkMoving(const backend_id& aId, instant aNow)
{
  const auto found = mStates.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found != mStates.end() && member != nullptr) {
    const bool isNew = !IsMoving(aId, aNow);
    found->second.mMovingUntil = aNow + kMovingHoldTime;
    found->second.mMovingFrom = member->mLayers;
    if (isNew) {
      log_line(log_event::BackendMoving).Text("backend", aId.Str());
    }
  }
}

bool fleet::IsMoving(const backend_id& aId, instant aNow) const
{
  const auto found = mStates.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found == mStates.end() || member == nullptr || found->second.mMovingUntil <= aNow) {
    return false;
  }
  // An engine that was ordered to interrupt its streams holds no layers until it has loaded the new ones.
  return found->second.mMovingFrom == member->mLayers || member->mLayers.IsEmpty();
}

void fleet::MarkRefusing(const backend_id& aId, instant aNow, duration aTime)
{
  const auto found = mStates.find(aId);
  if (found != mStates.end()) {
    found->second.mRefusingUntil = std::max(found->second.mRefusingUntil, aNow + aTime);
  }
}

void fleet::HandleReport(const backend_id& aId, const wire::engine_report& aReport, instant aNow)
{
  const auto found = mStates.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found == mStates.end() || member == nullptr) {
    return;
  }
  found->second.mReportedStartedAt = std::max(found->second.mReportedStartedAt, aReport.mStartedAt);
  const double slowdown = std::max(1.0, aReport.mSlowdownFactor);
  if ((slowdown >= kSlowFactor) != (found->second.mSlowdownFactor >= kSlowFactor)) {
    log_line(log_event::BackendPace).Text("backend", aId.Str()).Number("times_slower", slowdown);
  }
  found->second.mSlowdownFactor = slowdown;
  found->second.mSlowdownReportedAt = aNow;
  if (slowdown >= kSlowFactor && mOnSlowFound) {
    mOnSlowFound(aId);
  }
  if (aReport.mTotalMemory > 0 && aReport.mUsedMemory > kFullMemoryShare * aReport.mTotalMemory) {
    MarkRefusing(aId, aNow, kFullHoldTime);
  }
  if (!(aReport.mLayers == member->mLayers)) {
    MarkRefusing(aId, aNow, kStaleHoldTime);
  }
}

bool fleet::IsReplaced(const backend_id& aId) const
{
  const auto* member = mMembers.Find(aId);
  const auto at = member == nullptr ? mByAddress.end() : mByAddress.find(member->mAddress);
  return at != mByAddress.end() && at->second != aId;
}

bool fleet::IsLostOrUnlisted(const backend_id& aId, instant aNow) const
{
  const auto found = mStates.find(aId);
  return found == mStates.end() || found->second.mLostUntil > aNow || found->second.mUnconfirmedUntil > aNow;
}

bool fleet::IsMarkedLost(const backend_id& aId, instant aNow) const
{
  if (const auto found = mStates.find(aId); found != mStates.end()) {
    return found->second.mLostUntil > aNow;
  }
  const auto departed = mDeparted.find(aId);
  return departed == mDeparted.end() || departed->second.mIsLost;
}

bool fleet::HasEnded(const policy::server_start& aServer, instant aNow) const
{
  const auto found = mStates.find(aServer.mId);
  return found == mStates.end() || found->second.mStartedAt != aServer.mStartedAt ||
         found->second.mReportedStartedAt > aServer.mStartedAt || found->second.mLostUntil > aNow;
}

bool fleet::MayBeAlive(const policy::backend_member& aServer) const
{
  if (const auto* listed = mMembers.Find(aServer.mId)) {
    return listed->mStartedAt == aServer.mStartedAt;
  }
  const auto departed = mDeparted.find(aServer.mId);
  return departed != mDeparted.end() && departed->second.mStartedAt == aServer.mStartedAt &&
         !departed->second.mIsLost && !mByAddress.contains(aServer.mAddress);
}

std::size_t fleet::SlowEngines() const
{
  return static_cast<std::size_t>(std::count_if(
    mStates.begin(), mStates.end(), [](const auto& aState) { return aState.second.mSlowdownFactor >= kSlowFactor; }));
}

std::vector<backend_id> fleet::SlowEnginesToProbe(instant aNow) const
{
  std::vector<backend_id> slow;
  for (const auto& [id, state] : mStates) {
    if (state.mSlowdownFactor >= kSlowFactor && aNow - state.mSlowdownReportedAt > kSlowProbeInterval &&
        state.mNotices.mPausedUntil <= aNow) {
      slow.push_back(id);
    }
  }
  return slow;
}

std::optional<backend_address> fleet::AddressOf(const backend_id& aId) const
{
  if (const auto found = mStates.find(aId); found != mStates.end()) {
    return backend_address{ { aId, found->second.mStartedAt }, found->second.mAddress };
  }
  const auto departed = mDeparted.find(aId);
  const bool isKnown = departed != mDeparted.end() && !mByAddress.contains(departed->second.mAddress.Str());
  if (!isKnown) {
    return std::nullopt;
  }
  return backend_address{ { aId, departed->second.mStartedAt }, departed->second.mAddress };
}

std::optional<backend_id> fleet::AtAddress(const std::string& aAddress) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? std::nullopt : std::optional(found->second);
}

void fleet::SetGateways(std::size_t aAll, std::size_t aInDomain)
{
  mGateways = std::max<std::size_t>(1, aAll);
  mGatewaysInDomain = std::max<std::size_t>(1, aInDomain);
}

} // namespace chervilpulley::gateway
