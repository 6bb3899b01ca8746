#include "gateway/route_explanation.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "gateway/request_context.h"

namespace chervilpulley::gateway {

namespace {

namespace json = boost::json;

constexpr unsigned kRejectedStatus = 503;
/// Largest number of tokens in a question, as in callers' requests.
constexpr double kMaxTokens = 1e9;

/// The first reason of its state for which a server gets no new requests.
std::optional<candidate_verdict> StateVerdict(const backend_state& aState, instant aNow)
{
  if (aState.mLostUntil > aNow) {
    return candidate_verdict::Lost;
  }
  if (aState.mUnconfirmedUntil > aNow) {
    return candidate_verdict::Unconfirmed;
  }
  if (aState.mNotices.mLeavingSince) {
    return candidate_verdict::Leaving;
  }
  if (aState.mNotices.mPausedUntil > aNow) {
    return candidate_verdict::Paused;
  }
  return std::nullopt;
}

bool IsOnPath(const chosen_path& aPath, const backend_id& aId)
{
  return std::any_of(aPath.mStages.begin(), aPath.mStages.end(), [&](const chosen_path::stage& aStage) {
    return aStage.mEngine == aId;
  });
}

bool IsWithinDomain(const chosen_path& aPath, const failure_domain_id& aDomain)
{
  return std::all_of(aPath.mStages.begin(), aPath.mStages.end(), [&](const chosen_path::stage& aStage) {
    return aStage.mDomain == aDomain;
  });
}

/// Collects the facts about one request in one pool.
class pool_explainer
{
public:
  pool_explainer(fleet& aFleet,
                 const route_question& aQuestion,
                 const caller_verdict& aVerdict,
                 const queue_viewer& aQueue,
                 instant aNow)
    : mFleet(aFleet)
    , mQuestion(aQuestion)
    , mVerdict(aVerdict)
    , mQueue(aQueue)
    , mNow(aNow)
  {
  }

  explained_pool Explain(const pool_share& aShare)
  {
    mPool = {};
    mPool.mName = aShare.mPool;
    mPool.mWeight = aShare.mWeight;
    const pool* pool = mFleet.Configuration()->FindPool(aShare.mPool);
    mPool.mHasEngines = pool != nullptr && pool->mEngine;
    if (mPool.mHasEngines && mVerdict.mRoute->mKind == request_kind::Stream) {
      ExplainStream(*pool);
    } else {
      ExplainService();
    }
    return std::move(mPool);
  }

private:
  void Reject(std::string_view aReason)
  {
    mPool.mOutcome = route_outcome::Rejected;
    mPool.mStatus = kRejectedStatus;
    mPool.mReason = aReason;
  }

  void ExplainStream(const pool& aPool)
  {
    const double output = EstimateOutputTokens(&aPool, std::nullopt, mQuestion.mMaxOutputTokens);
    mPool.mTokens = mQuestion.mPromptTokens + output;
    const bool isAdmitted = ExplainOverload();
    path_query query;
    query.mPool = aPool.mName;
    query.mInputTokens = mQuestion.mPromptTokens;
    query.mOutputTokens = output;
    query.mMaxQueueWait = std::chrono::duration_cast<duration>(mVerdict.mRoute->mObjective * kQueueShareOfObjective);
    const path_preview preview = mFleet.PreviewPath(query, mNow);
    mPool.mPath = preview.mPath;
    for (const policy::path_engine& engine : preview.mEngines) {
      mPool.mCandidates.push_back({ engine.mId,
                                    engine.mDomain,
                                    engine.mHeld,
                                    EngineVerdict(aPool, preview, engine),
                                    engine.mRunning,
                                    engine.mQueueWait });
    }
    policy::waiting_request waiting;
    waiting.mArrived = mNow;
    waiting.mObjective = mVerdict.mRoute->mObjective;
    waiting.mPatience = std::min(kDefaultCallerTimeout, mVerdict.mRoute->mTimeout);
    waiting.mPriority = mPool.mOverload ? static_cast<std::uint32_t>(mPool.mOverload->mLevel) : Priority();
    waiting.mRank = mPool.mOverload ? std::optional(mPool.mOverload->mRank) : std::nullopt;
    policy::queue_view queue = mQueue(aPool.mName, waiting);
    mPool.mAhead = queue.mAhead;
    mPool.mPermitWait = mFleet.PermitWait(aPool.mName, queue.mAhead, mNow);
    queue.mState.mPermitWait = mPool.mPermitWait;
    if (isAdmitted) {
      DecideStream(waiting, queue);
    }
  }

  /// The order of checks is that of stream_request::TryPath().
  void DecideStream(const policy::waiting_request& aWaiting, const policy::queue_view& aQueue)
  {
    const bool hasQuota = !mPool.mOverload || mPool.mOverload->mHasQuota;
    const bool isNext = aQueue.mAhead == 0 || (!mPool.mOverload && mPool.mPermitWait <= duration::zero());
    if (isNext && hasQuota && mPool.mPath) {
      mPool.mOutcome = route_outcome::Sent;
      return;
    }
    const bool isCovered = mFleet.Availability(mPool.mName, mNow).mCoveredIn <= mVerdict.mRoute->mObjective;
    if (!isCovered || !policy::MayWait(aWaiting, aQueue.mState, mNow)) {
      Reject("no_path");
      return;
    }
    mPool.mOutcome = route_outcome::Waits;
    mPool.mWaitForecast = policy::WaitForecast(aQueue.mState);
    mPool.mReason = !hasQuota ? "the quota of this gateway is used up"
                    : !isNext ? "other requests are served first"
                              : "no path has capacity";
  }

  std::uint32_t Priority() const
  {
    const auto ofWorkspace = mVerdict.mWorkspace != nullptr ? mVerdict.mWorkspace->mPriority : std::nullopt;
    return ofWorkspace.value_or(mVerdict.mRoute->mPriority);
  }

  /// Returns whether overload control admits the request, or does not decide about it.
  bool ExplainOverload()
  {
    const policy::priority_levels* levels = mFleet.Configuration()->MixedPriorities(mPool.mName);
    const overload_control* control = mFleet.FindOverload(mPool.mName);
    if (levels == nullptr || control == nullptr) {
      return true;
    }
    // Admission uses up credit, so it is tried on a copy.
    overload_control copy = *control;
    const auto ofWorkspace = mVerdict.mWorkspace != nullptr ? mVerdict.mWorkspace->mPriority : std::nullopt;
    const workspace_id workspace = mVerdict.mWorkspace != nullptr ? mVerdict.mWorkspace->mName : workspace_id();
    explained_overload overload;
    overload.mLevel = levels->LevelOf(policy::request_priority::Of(ofWorkspace, mVerdict.mRoute->mPriority));
    overload.mRank = policy::RankOf(overload.mLevel, true);
    const stream_demand demand{ overload.mRank, policy::HashWorkspace(workspace), mPool.mTokens };
    overload.mAdmittedFraction = copy.AdmittedFraction(demand);
    overload.mState = copy.State();
    overload.mHasQuota = !overload.mState.mIsScarce || copy.MayStart(mPool.mTokens);
    mPool.mOverload = overload;
    if (!copy.Admits(demand, mNow)) {
      Reject("capacity is allocated to more urgent requests");
      mPool.mRetryAfter = copy.RetryAfter(std::min(kDefaultCallerTimeout, mVerdict.mRoute->mTimeout), 0, mNow);
      return false;
    }
    return true;
  }

  candidate_verdict EngineVerdict(const pool& aPool,
                                  const path_preview& aPreview,
                                  const policy::path_engine& aEngine) const
  {
    const backend_state& state = *mFleet.FindState(aEngine.mId);
    if (const auto verdict = StateVerdict(state, mNow)) {
      return *verdict;
    }
    if (state.mRefusingUntil > mNow) {
      return candidate_verdict::Refusing;
    }
    if (mFleet.IsMoving(aEngine.mId, mNow)) {
      return candidate_verdict::Moving;
    }
    if (aEngine.mHeld.IsEmpty()) {
      return candidate_verdict::NoLayers;
    }
    if (aPreview.mPath && IsOnPath(*aPreview.mPath, aEngine.mId)) {
      return candidate_verdict::Chosen;
    }
    return UsableVerdict(aPool, aPreview, aEngine);
  }

  /// Why a usable engine is not on the path.
  static candidate_verdict UsableVerdict(const pool& aPool,
                                         const path_preview& aPreview,
                                         const policy::path_engine& aEngine)
  {
    if (aEngine.mHeld.Holds(0) && !aEngine.mMayBegin) {
      return candidate_verdict::OverLimit;
    }
    if (policy::LayersWithMemory(*aPool.mEngine, aEngine, aPreview.mRequest) < 1) {
      return candidate_verdict::NoMemory;
    }
    if (aEngine.mHeld.Holds(0) && !policy::HasSlot(*aPool.mEngine, aEngine)) {
      return candidate_verdict::SlotsTaken;
    }
    if (!aPreview.mPath) {
      return candidate_verdict::Incomplete;
    }
    if (aEngine.mSlowdownFactor > policy::kMaxSlowdownFactor) {
      return candidate_verdict::Slow;
    }
    const failure_domain_id& home = aPreview.mRequest.mHome;
    return aEngine.mDomain != home && IsWithinDomain(*aPreview.mPath, home) ? candidate_verdict::OtherDomain
                                                                            : candidate_verdict::CostsMore;
  }

  void ExplainService()
  {
    const std::vector<service_preview> services = mFleet.PreviewServices(mPool.mName, mNow);
    std::vector<policy::service_candidate> candidates;
    candidates.reserve(services.size());
    for (const service_preview& each : services) {
      candidates.push_back(each.mCandidate);
    }
    // Of equal candidates the gateway takes one at random, and this the first.
    const auto chosen = policy::ChooseService(candidates, 0);
    for (std::size_t index = 0; index < services.size(); ++index) {
      const auto* member = mFleet.Members().Find(services[index].mId);
      const candidate_verdict verdict = chosen == index ? candidate_verdict::Chosen : ServiceVerdict(services[index]);
      mPool.mCandidates.push_back(
        { services[index].mId, member->mDomain, {}, verdict, static_cast<double>(candidates[index].mRunning), {} });
    }
    if (chosen) {
      mPool.mOutcome = route_outcome::Sent;
    } else if (mFleet.MayGetPermits(mPool.mName, mNow)) {
      mPool.mOutcome = route_outcome::Waits;
      mPool.mReason = "servers over their limits";
    } else {
      Reject(mFleet.OverLimit(mPool.mName, mNow) > 0 ? "servers over their limits" : "no_server");
    }
  }

  candidate_verdict ServiceVerdict(const service_preview& aService) const
  {
    const backend_state& state = *mFleet.FindState(aService.mId);
    if (const auto verdict = StateVerdict(state, mNow)) {
      return *verdict;
    }
    if (aService.mIsReplaced) {
      return candidate_verdict::Replaced;
    }
    if (aService.mIsOverLimit) {
      return candidate_verdict::OverLimit;
    }
    return state.mRefusingUntil > mNow ? candidate_verdict::Refusing : candidate_verdict::CostsMore;
  }

  fleet& mFleet;
  const route_question& mQuestion;
  const caller_verdict& mVerdict;
  const queue_viewer& mQueue;
  instant mNow;
  explained_pool mPool;
};

double ToMs(duration aTime)
{
  return policy::fractional_ms(aTime).count();
}

/// Rounds to a thousandth, which is finer than any estimate here.
double Rounded(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

json::object EncodeOverload(const explained_overload& aOverload)
{
  json::array admitted;
  for (const double fraction : aOverload.mState.mAdmitted) {
    admitted.push_back(Rounded(fraction));
  }
  return { { "level", aOverload.mLevel },
           { "rank", aOverload.mRank },
           { "admitted_fraction", Rounded(aOverload.mAdmittedFraction) },
           { "has_quota", aOverload.mHasQuota },
           { "scarce", aOverload.mState.mIsScarce },
           { "capacity_tokens", Rounded(aOverload.mState.mCapacity) },
           { "in_use_tokens", Rounded(aOverload.mState.mInUse) },
           { "quota_tokens", Rounded(aOverload.mState.mQuota) },
           { "admitted_by_rank", std::move(admitted) } };
}

json::object EncodePath(const chosen_path& aPath)
{
  json::array stages;
  for (const chosen_path::stage& stage : aPath.mStages) {
    stages.push_back(json::object{ { "backend", stage.mEngine.Str() },
                                   { "domain", stage.mDomain.Str() },
                                   { "from", stage.mRange.mFrom },
                                   { "end", stage.mRange.mEnd } });
  }
  return { { "stages", std::move(stages) },
           { "first_event_ms", Rounded(aPath.mCost.mFirstToken.count()) },
           { "total_ms", Rounded(aPath.mCost.mTotal.count()) } };
}

json::object EncodeCandidate(const explained_candidate& aCandidate)
{
  return { { "backend", aCandidate.mId.Str() },
           { "domain", aCandidate.mDomain.Str() },
           { "from", aCandidate.mLayers.mFrom },
           { "end", aCandidate.mLayers.mEnd },
           { "verdict", ToText(aCandidate.mVerdict) },
           { "running", Rounded(aCandidate.mRunning) },
           { "queue_wait_ms", Rounded(aCandidate.mQueueWait.count()) } };
}

json::object EncodePool(const explained_pool& aPool)
{
  json::object object{ { "pool", aPool.mName.Str() },       { "weight", aPool.mWeight },
                       { "engines", aPool.mHasEngines },    { "outcome", ToText(aPool.mOutcome) },
                       { "status", aPool.mStatus },         { "reason", aPool.mReason },
                       { "ahead", aPool.mAhead },           { "permit_wait_ms", ToMs(aPool.mPermitWait) },
                       { "tokens", Rounded(aPool.mTokens) } };
  if (aPool.mWaitForecast > duration::zero()) {
    object["wait_forecast_ms"] = Rounded(ToMs(aPool.mWaitForecast));
  }
  if (aPool.mRetryAfter) {
    object["retry_after_ms"] = Rounded(ToMs(*aPool.mRetryAfter));
  }
  if (aPool.mOverload) {
    object["overload"] = EncodeOverload(*aPool.mOverload);
  }
  if (aPool.mPath) {
    object["path"] = EncodePath(*aPool.mPath);
  }
  json::array candidates;
  for (const explained_candidate& each : aPool.mCandidates) {
    candidates.push_back(EncodeCandidate(each));
  }
  object["candidates"] = std::move(candidates);
  return object;
}

/// Reads a number of tokens; 0 when it is absent, nothing when it is invalid.
std::optional<double> ReadTokens(const std::string& aTarget, std::string_view aName)
{
  const auto text = net::QueryValue(aTarget, aName);
  if (!text) {
    return 0;
  }
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc() || end != text->data() + text->size()) {
    return std::nullopt;
  }
  return std::min(kMaxTokens, static_cast<double>(value));
}

} // namespace

std::string_view ToText(route_outcome aOutcome)
{
  switch (aOutcome) {
    case route_outcome::Rejected:
      return "rejected";
    case route_outcome::Waits:
      return "waits";
    default:
      return "sent";
  }
}

std::string_view ToText(candidate_verdict aVerdict)
{
  switch (aVerdict) {
    case candidate_verdict::Chosen:
      return "chosen";
    case candidate_verdict::Lost:
      return "lost";
    case candidate_verdict::Unconfirmed:
      return "list entry not confirmed";
    case candidate_verdict::Replaced:
      return "replaced at its address";
    case candidate_verdict::Leaving:
      return "leaving";
    case candidate_verdict::Paused:
      return "paused";
    case candidate_verdict::Refusing:
      return "refusing";
    case candidate_verdict::Moving:
      return "moving to other layers";
    case candidate_verdict::NoLayers:
      return "holds no layers";
    case candidate_verdict::OverLimit:
      return "over its limit";
    case candidate_verdict::NoMemory:
      return "no memory for the request";
    case candidate_verdict::SlotsTaken:
      return "slots taken";
    case candidate_verdict::Slow:
      return "slow";
    case candidate_verdict::OtherDomain:
      return "in another failure domain";
    case candidate_verdict::Incomplete:
      return "no usable engines for the other layers";
    default:
      return "costs more or as much";
  }
}

route_explanation ExplainRoute(fleet& aFleet,
                               const route_question& aQuestion,
                               const caller_query& aCaller,
                               const queue_viewer& aQueue,
                               instant aNow)
{
  route_explanation explanation;
  const ref<const configuration> inForce = aFleet.Configuration();
  const caller_verdict verdict = CheckCaller(inForce.get(), aCaller);
  explanation.mConfiguration = inForce ? inForce->mVersion : 0;
  explanation.mStatus = verdict.mStatus;
  explanation.mReason = verdict.mReason;
  if (verdict.mRoute != nullptr) {
    explanation.mRoute = verdict.mRoute->mName;
    explanation.mPriority = verdict.mRoute->mPriority;
  }
  if (verdict.mWorkspace != nullptr) {
    explanation.mWorkspace = verdict.mWorkspace->mName;
    explanation.mPriority = verdict.mWorkspace->mPriority.value_or(explanation.mPriority);
  }
  if (verdict.mStatus == 0) {
    pool_explainer explainer(aFleet, aQuestion, verdict, aQueue, aNow);
    for (const pool_share& share : verdict.mRoute->mPools) {
      explanation.mPools.push_back(explainer.Explain(share));
    }
  }
  return explanation;
}

std::optional<route_question> ReadRouteQuestion(const net::http_request& aRequest)
{
  const auto host = net::QueryValue(aRequest.mTarget, "host");
  const auto path = net::QueryValue(aRequest.mTarget, "path");
  const auto prompt = ReadTokens(aRequest.mTarget, "prompt_tokens");
  const auto output = ReadTokens(aRequest.mTarget, "max_output_tokens");
  if (!host || !path || !prompt || !output) {
    return std::nullopt;
  }
  return route_question{ *host, *path, std::string(aRequest.mHeaders.Get(kExplainKeyHeader)), *prompt, *output };
}

std::string ToJson(const route_explanation& aExplanation)
{
  json::object object{ { "leaving", aExplanation.mIsLeaving },
                       { "configuration", aExplanation.mConfiguration },
                       { "status", aExplanation.mStatus },
                       { "reason", aExplanation.mReason },
                       { "priority", aExplanation.mPriority } };
  if (aExplanation.mRoute) {
    object["route"] = aExplanation.mRoute->Str();
  }
  if (aExplanation.mWorkspace) {
    object["workspace"] = aExplanation.mWorkspace->Str();
  }
  json::array pools;
  for (const explained_pool& each : aExplanation.mPools) {
    pools.push_back(EncodePool(each));
  }
  object["pools"] = std::move(pools);
  return json::serialize(object);
}

} // namespace chervilpulley::gateway
