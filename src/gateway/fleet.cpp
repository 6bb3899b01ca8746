#include "gateway/fleet.h"

#include <algorithm>

#include "base/decision_log.h"
#include "policy/service_choice.h"

namespace chervilpulley::gateway {

namespace {

/// Weight of the newest outcome in a server's share of failures.
constexpr double kOutcomeWeight = 0.15;

} // namespace

fleet::fleet(failure_domain_id aHome, duration aReturnTime, policy::retry_bounds aRetryBounds)
  : mHome(std::move(aHome))
  , mMembers(aReturnTime)
  , mRetryBounds(aRetryBounds)
{
}

void fleet::MembersChanged(instant aNow)
{
  std::map<backend_id, backend_belief> beliefs;
  mByAddress.clear();
  for (const auto& [id, member] : mMembers.Members()) {
    const auto [at, isFirst] = mByAddress.try_emplace(member.mAddress, id);
    if (!isFirst && mMembers.Find(at->second)->mStartedAt < member.mStartedAt) {
      at->second = id;
    }
    const auto known = mBeliefs.find(id);
    if (known != mBeliefs.end() && known->second.mStartedAt == member.mStartedAt) {
      backend_belief& kept = beliefs.emplace(id, known->second).first->second;
      if (member.mLeaving && !kept.mLeavingSince) {
        kept.mLeavingSince = aNow;
        log_line(log_event::BackendLeaving).Text("backend", id.Str());
      }
      continue;
    }
    backend_belief fresh;
    fresh.mStartedAt = member.mStartedAt;
    if (member.mLeaving) {
      fresh.mLeavingSince = aNow;
    }
    if (auto address = net::ParseEndpoint(member.mAddress)) {
      fresh.mAddress = address.value();
    }
    beliefs.emplace(id, fresh);
    log_line(log_event::BackendSeen)
      .Text("backend", id.Str())
      .Text("pool", member.mPool.Str())
      .Text("address", member.mAddress)
      .Count("started_at", member.mStartedAt);
  }
  for (const auto& [id, belief] : mBeliefs) {
    if (!beliefs.contains(id)) {
      log_line(log_event::BackendGone).Text("backend", id.Str());
      RememberDeparted(id, belief, aNow);
    }
  }
  mBeliefs = std::move(beliefs);
}

void fleet::RememberDeparted(const backend_id& aId, const backend_belief& aBelief, instant aNow)
{
  std::erase_if(mDeparted, [&](const auto& aKnown) { return aNow - aKnown.second.mSince > kDepartedMemory; });
  mDeparted[aId] = { aBelief.mAddress, aBelief.mStartedAt, aBelief.mLostUntil > aNow, aNow };
}

backend_belief& fleet::Belief(const backend_id& aId)
{
  return mBeliefs[aId];
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
    if (!aMember.mLeaving) {
      policy::path_engine engine;
      engine.mId = aMember.mId;
      engine.mDomain = aMember.mDomain;
      engine.mKind = aKind;
      engine.mHeld = aMember.mLayers;
      mEngines.push_back(std::move(engine));
    }
  });
}

std::optional<chosen_path> fleet::ChoosePath(const path_question& aQuestion, instant aNow)
{
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aQuestion.mPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return std::nullopt;
  }
  FillEngines(*pool);
  policy::path_wish wish;
  wish.mPrompt = aQuestion.mPrompt;
  wish.mAnswer = aQuestion.mAnswer;
  wish.mHome = aQuestion.mBefore.value_or(mHome);
  wish.mPipeWaits = mPipes.Waits(aNow);
  wish.mSpan = aQuestion.mSpan;
  wish.mBefore = aQuestion.mBefore;
  wish.mAfter = aQuestion.mAfter;
  wish.mQuickOnly = aQuestion.mQuickOnly;
  for (policy::path_engine& engine : mEngines) {
    const backend_belief& belief = Belief(engine.mId);
    const double sharers = engine.mDomain == mHome ? static_cast<double>(mGatewaysInDomain) : 1.0;
    engine.mPromisedTokenLayers = belief.mPromised * sharers;
    engine.mRunning = belief.mRunning * sharers;
    engine.mSlowness = belief.mSlowness;
    engine.mUsable = belief.mLostUntil <= aNow && belief.mRefusingUntil <= aNow && !IsMoving(engine.mId, aNow) &&
                     !aQuestion.mExcluded.contains(engine.mId);
  }
  const auto path = policy::ChoosePath(*pool->mEngine, mEngines, wish);
  if (!path) {
    return std::nullopt;
  }
  chosen_path chosen;
  chosen.mTokens = aQuestion.mPrompt + aQuestion.mAnswer;
  chosen.mCost = path->mCost;
  for (const policy::path_part& part : path->mParts) {
    const backend_id& id = mEngines[part.mEngine].mId;
    chosen.mParts.push_back({ id, mMembers.Find(id)->mAddress, part.mRange, mEngines[part.mEngine].mDomain });
  }
  return chosen;
}

engine_supply fleet::Supply(const pool_name& aPool, instant aNow)
{
  engine_supply supply;
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return supply;
  }
  FillEngines(*pool);
  std::vector<std::uint32_t> here(pool->mEngine->mLayers, 0);
  std::vector<bool> anywhere(pool->mEngine->mLayers, false);
  for (const policy::path_engine& engine : mEngines) {
    const backend_belief& belief = Belief(engine.mId);
    const bool lost = belief.mLostUntil > aNow;
    const bool refusing = belief.mRefusingUntil > aNow;
    const bool moving = IsMoving(engine.mId, aNow);
    supply.mLost += lost ? 1 : 0;
    supply.mRefusing += refusing ? 1 : 0;
    supply.mMoving += moving ? 1 : 0;
    if (lost || refusing || moving) {
      continue;
    }
    ++supply.mUsable;
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < std::min(engine.mHeld.mEnd, pool->mEngine->mLayers);
         ++layer) {
      anywhere[layer] = true;
      here[layer] += engine.mDomain == mHome ? 1 : 0;
    }
  }
  supply.mUncoveredHere = static_cast<std::size_t>(std::count(here.begin(), here.end(), 0U));
  supply.mHeldOnceHere = static_cast<std::size_t>(std::count(here.begin(), here.end(), 1U));
  supply.mUncoveredAnywhere = static_cast<std::size_t>(std::count(anywhere.begin(), anywhere.end(), false));
  return supply;
}

std::optional<backend_id> fleet::ChooseService(const pool_name& aPool,
                                               const std::set<backend_id>& aExcluded,
                                               std::uint64_t aRandom,
                                               instant aNow)
{
  std::vector<policy::service_candidate> candidates;
  std::vector<const backend_id*> ids;
  for (const auto& [id, member] : mMembers.Members()) {
    if (member.mPool != aPool) {
      continue;
    }
    const backend_belief& belief = Belief(id);
    const bool usable = !member.mLeaving && !IsReplaced(id) && belief.mLostUntil <= aNow && !aExcluded.contains(id);
    const double refusing = belief.mRefusingUntil > aNow ? 1.0 : 0.0;
    candidates.push_back({ member.mDomain == mHome, belief.mRunning, std::max(belief.mFailures, refusing), usable });
    ids.push_back(&id);
  }
  const auto index = policy::ChooseService(candidates, aRandom);
  return index ? std::optional(*ids[*index]) : std::nullopt;
}

void fleet::CountCrossings(const pool_name& aPool, const chosen_path& aPath, double aTokens, instant aNow)
{
  const pool* pool = mConfiguration ? mConfiguration->FindPool(aPool) : nullptr;
  if (pool == nullptr || !pool->mEngine) {
    return;
  }
  const policy::fine_ms time = policy::PipeTime(*pool->mEngine, aTokens);
  const auto sharers = static_cast<double>(mGateways);
  for (std::size_t index = 1; index < aPath.mParts.size(); ++index) {
    const failure_domain_id& left = aPath.mParts[index - 1].mDomain;
    const failure_domain_id& right = aPath.mParts[index].mDomain;
    if (left != right) {
      mPipes.Add(policy::domain_pair(left, right), time, sharers, aNow);
    }
  }
}

void fleet::Promise(const chosen_path& aPath)
{
  for (const chosen_path::part& part : aPath.mParts) {
    // Nothing is believed of one that has left the list, though streams may still pass through it.
    const auto found = mBeliefs.find(part.mEngine);
    if (found != mBeliefs.end()) {
      found->second.mPromised += aPath.mTokens * part.mRange.Size();
      ++found->second.mRunning;
    }
  }
}

void fleet::Release(const chosen_path& aPath)
{
  for (const chosen_path::part& part : aPath.mParts) {
    const auto found = mBeliefs.find(part.mEngine);
    if (found != mBeliefs.end()) {
      found->second.mPromised = std::max(0.0, found->second.mPromised - aPath.mTokens * part.mRange.Size());
      found->second.mRunning -= found->second.mRunning > 0 ? 1 : 0;
    }
  }
}

void fleet::Started(const backend_id& aId)
{
  const auto found = mBeliefs.find(aId);
  if (found != mBeliefs.end()) {
    ++found->second.mRunning;
  }
}

void fleet::Ended(const backend_id& aId)
{
  const auto found = mBeliefs.find(aId);
  if (found != mBeliefs.end() && found->second.mRunning > 0) {
    --found->second.mRunning;
  }
}

void fleet::Outcome(const backend_id& aId, bool aFailed)
{
  const auto found = mBeliefs.find(aId);
  if (found != mBeliefs.end()) {
    double& share = found->second.mFailures;
    share += kOutcomeWeight * ((aFailed ? 1.0 : 0.0) - share);
  }
}

void fleet::BelieveLost(const backend_id& aId, instant aNow, loss_source aSource)
{
  const auto found = mBeliefs.find(aId);
  if (found == mBeliefs.end()) {
    if (const auto departed = mDeparted.find(aId); departed != mDeparted.end()) {
      departed->second.mIsLost = true;
    }
    return;
  }
  const bool isNews = found->second.mLostUntil <= aNow;
  found->second.mLostUntil = aNow + kLossBelief;
  if (!isNews) {
    return;
  }
  log_line(log_event::BackendBelievedLost)
    .Text("backend", aId.Str())
    .Text("found_by", aSource == loss_source::Own ? "own" : "hint");
  if (aSource == loss_source::Own && mOnLossFound && IsEngine(aId)) {
    mOnLossFound(aId);
  }
}

void fleet::BelieveUnreachable(const backend_id& aId,
                               const std::string& aRequest,
                               const std::string& aReason,
                               instant aNow)
{
  log_line(log_event::BackendUnreachable).Text("request", aRequest).Text("backend", aId.Str()).Text("reason", aReason);
  BelieveLost(aId, aNow);
}

bool fleet::IsEngine(const backend_id& aId) const
{
  const auto* member = mMembers.Find(aId);
  const pool* pool = member != nullptr && mConfiguration ? mConfiguration->FindPool(member->mPool) : nullptr;
  return pool != nullptr && pool->mEngine.has_value();
}

void fleet::BelieveMoving(const backend_id& aId, instant aNow)
{
  const auto found = mBeliefs.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found != mBeliefs.end() && member != nullptr) {
    const bool isNews = !IsMoving(aId, aNow);
    found->second.mMovingUntil = aNow + kMovingBelief;
    found->second.mMovingFrom = member->mLayers;
    if (isNews) {
      log_line(log_event::BackendMoving).Text("backend", aId.Str());
    }
  }
}

bool fleet::IsMoving(const backend_id& aId, instant aNow) const
{
  const auto found = mBeliefs.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found == mBeliefs.end() || member == nullptr || found->second.mMovingUntil <= aNow) {
    return false;
  }
  // One that was told to cut off what passes through it holds nothing until it has loaded its new layers.
  return found->second.mMovingFrom == member->mLayers || member->mLayers.IsEmpty();
}

void fleet::BelieveRefusing(const backend_id& aId, instant aNow, duration aTime)
{
  const auto found = mBeliefs.find(aId);
  if (found != mBeliefs.end()) {
    found->second.mRefusingUntil = std::max(found->second.mRefusingUntil, aNow + aTime);
  }
}

void fleet::Reported(const backend_id& aId, const wire::engine_report& aReport, instant aNow)
{
  const auto found = mBeliefs.find(aId);
  const auto* member = mMembers.Find(aId);
  if (found == mBeliefs.end() || member == nullptr) {
    return;
  }
  const double slowness = std::max(1.0, aReport.mSlowness);
  if ((slowness >= kSlow) != (found->second.mSlowness >= kSlow)) {
    log_line(log_event::BackendPace).Text("backend", aId.Str()).Number("times_slower", slowness);
  }
  found->second.mSlowness = slowness;
  found->second.mSlownessSeen = aNow;
  if (slowness >= kSlow && mOnSlowFound) {
    mOnSlowFound(aId);
  }
  if (aReport.mTotalMemory > 0 && aReport.mUsedMemory > kFullShare * aReport.mTotalMemory) {
    BelieveRefusing(aId, aNow, kFullBelief);
  }
  if (!(aReport.mLayers == member->mLayers)) {
    BelieveRefusing(aId, aNow, kStaleBelief);
  }
}

bool fleet::IsReplaced(const backend_id& aId) const
{
  const auto* member = mMembers.Find(aId);
  const auto at = member == nullptr ? mByAddress.end() : mByAddress.find(member->mAddress);
  return at != mByAddress.end() && at->second != aId;
}

bool fleet::IsBelievedLost(const backend_id& aId, instant aNow) const
{
  const auto found = mBeliefs.find(aId);
  return found == mBeliefs.end() || found->second.mLostUntil > aNow;
}

bool fleet::IsFoundLost(const backend_id& aId, instant aNow) const
{
  if (const auto found = mBeliefs.find(aId); found != mBeliefs.end()) {
    return found->second.mLostUntil > aNow;
  }
  const auto departed = mDeparted.find(aId);
  return departed == mDeparted.end() || departed->second.mIsLost;
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
    mBeliefs.begin(), mBeliefs.end(), [](const auto& aBelief) { return aBelief.second.mSlowness >= kSlow; }));
}

std::vector<backend_id> fleet::SlowSoFar(instant aNow) const
{
  std::vector<backend_id> slow;
  for (const auto& [id, belief] : mBeliefs) {
    if (belief.mSlowness >= kSlow && aNow - belief.mSlownessSeen > kSlownessBelief) {
      slow.push_back(id);
    }
  }
  return slow;
}

std::optional<instant> fleet::LeavingSince(const backend_id& aId) const
{
  const auto found = mBeliefs.find(aId);
  return found == mBeliefs.end() ? std::nullopt : found->second.mLeavingSince;
}

std::optional<net::endpoint> fleet::AddressOf(const backend_id& aId) const
{
  if (const auto found = mBeliefs.find(aId); found != mBeliefs.end()) {
    return found->second.mAddress;
  }
  const auto departed = mDeparted.find(aId);
  const bool isKnown = departed != mDeparted.end() && !mByAddress.contains(departed->second.mAddress.Str());
  return isKnown ? std::optional(departed->second.mAddress) : std::nullopt;
}

std::optional<backend_id> fleet::AtAddress(const std::string& aAddress) const
{
  const auto found = mByAddress.find(aAddress);
  return found == mByAddress.end() ? std::nullopt : std::optional(found->second);
}

policy::retry_allowance& fleet::Retries(const pool_name& aPool)
{
  return mRetries.try_emplace(aPool, mRetryBounds).first->second;
}

void fleet::SetGateways(std::size_t aAll, std::size_t aInDomain)
{
  mGateways = std::max<std::size_t>(1, aAll);
  mGatewaysInDomain = std::max<std::size_t>(1, aInDomain);
}

} // namespace chervilpulley::gateway
