#include "policy/path_choice.h"

#include <algorithm>
#include <limits>

namespace chervilpulley::policy {

namespace {

/// A token waits for half a pass at each part, and for the link within a failure domain.
constexpr fractional_ms kHop{ 0.25 };
/// Crossing between failure domains counts for more than its time, as the pipe is shared by all.
constexpr double kPipeSharers = 3.0;
constexpr double kMillionPairs = 1e6;
constexpr double kMax = std::numeric_limits<double>::max();

/// Cost of one layer on one engine, in ms over the whole request.
struct layer_cost
{
  double mRead = 0;
  double mStep = 0; ///< one token
};

class path_search
{
public:
  path_search(const engine_model& aModel, const std::vector<path_engine>& aEngines, const path_request& aWish)
    : mModel(aModel)
    , mEngines(aEngines)
    , mWish(aWish)
  {
  }

  /// @param aHomeOnly engines of other failure domains are left out.
  /// @param aMostSlowness slower engines are left out.
  std::optional<layer_path> Run(bool aHomeOnly, double aMostSlowness)
  {
    Select(aHomeOnly, aMostSlowness);
    CutAtRangeEnds();
    mBest.assign(mCuts.size() * mChosen.size(), {});
    for (std::size_t cut = 0; cut + 1 < mCuts.size(); ++cut) {
      for (std::size_t next = 0; next < mChosen.size(); ++next) {
        Enter(cut, next);
      }
    }
    return Trace();
  }

private:
  struct chosen_engine
  {
    std::size_t mIndex = 0;
    layer_cost mCost;
    double mMostLayers = 0; ///< that it has memory for
  };
  struct state
  {
    double mCost = kMax;
    double mFirstToken = 0;
    std::size_t mFromCut = 0;
    std::size_t mFromEngine = kNone;
  };
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  static constexpr std::pair<double, double> kNoHop{ 0, 0 };

  void Select(bool aHomeOnly, double aMostSlowness)
  {
    mChosen.clear();
    for (std::size_t index = 0; index < mEngines.size(); ++index) {
      const path_engine& engine = mEngines[index];
      if (!engine.mUsable || engine.mHeld.IsEmpty() || engine.mSlowdownFactor > aMostSlowness ||
          (aHomeOnly && engine.mDomain != mWish.mHome)) {
        continue;
      }
      const double room =
        MemoryForRequests(mModel, engine.mKind, engine.mHeld) * kReservableMemoryShare - engine.mReservedTokenLayers;
      const double layers = room / std::max(1.0, mWish.mInputTokens + mWish.mOutputTokens);
      if (layers >= 1) {
        mChosen.push_back({ index, CostOf(engine), layers });
      }
    }
  }

  layer_cost CostOf(const path_engine& aEngine) const
  {
    const double share = aEngine.mSlowdownFactor / mModel.mLayers;
    const double context = (mModel.mTypicalInputTokens + mModel.mTypicalOutputTokens / 2) / 1000;
    const double step = mModel.mStep.count() + aEngine.mRunning * (mModel.mStepPerRequest.count() +
                                                                   mModel.mStepPerThousandContext.count() * context);
    const double read =
      mWish.mInputTokens / mModel.mPrefillTokensPerSecond * 1000 +
      mWish.mInputTokens * mWish.mInputTokens / 2 / kMillionPairs * mModel.mPrefillPerMillionPairs.count();
    // A pass takes `stride` steps, and a token waits for half of the pass before its own.
    const double wait = 1 + mModel.mStride / 2.0;
    return { read * aEngine.mKind.mPrefillScale * share, step * wait * aEngine.mKind.mStepScale * share };
  }

  void CutAtRangeEnds()
  {
    const layer_span span = mWish.mSpan.value_or(layer_span{ 0, mModel.mLayers });
    mCuts = { span.mFrom, span.mEnd };
    for (const chosen_engine& chosen : mChosen) {
      const layer_span& held = mEngines[chosen.mIndex].mHeld;
      mCuts.push_back(std::clamp(held.mFrom, span.mFrom, span.mEnd));
      mCuts.push_back(std::clamp(held.mEnd, span.mFrom, span.mEnd));
    }
    std::sort(mCuts.begin(), mCuts.end());
    mCuts.erase(std::unique(mCuts.begin(), mCuts.end()), mCuts.end());
  }

  state& At(std::size_t aCut, std::size_t aEngine) { return mBest[aCut * mChosen.size() + aEngine]; }

  /// Goes on from a cut at an engine that holds the layer there, to each cut that it reaches.
  void Enter(std::size_t aCut, std::size_t aNext)
  {
    const chosen_engine& next = mChosen[aNext];
    const path_engine& engine = mEngines[next.mIndex];
    if (!engine.mHeld.Holds(mCuts[aCut])) {
      return;
    }
    state from;
    if (!BestEntry(aCut, aNext, from)) {
      return;
    }
    for (std::size_t end = aCut + 1; end < mCuts.size() && mCuts[end] <= engine.mHeld.mEnd; ++end) {
      const double layers = mCuts[end] - mCuts[aCut];
      if (layers > next.mMostLayers) {
        break;
      }
      const double first = from.mFirstToken + layers * (next.mCost.mRead + next.mCost.mStep);
      const double cost = from.mCost + layers * (next.mCost.mRead + next.mCost.mStep * mWish.mOutputTokens);
      state& to = At(end, aNext);
      if (cost < to.mCost) {
        to = { cost, first, aCut, from.mFromEngine };
      }
    }
  }

  /// The cheapest way to stand at a cut before this engine; mFromEngine is the engine that was left.
  bool BestEntry(std::size_t aCut, std::size_t aNext, state& aEntry)
  {
    if (aCut == 0) {
      const auto [once, each] = mWish.mDomainBefore ? HopCost(*mWish.mDomainBefore, DomainOf(aNext)) : kNoHop;
      aEntry = { once + each * mWish.mOutputTokens, once + each, 0, kNone };
      return once < kMax;
    }
    for (std::size_t last = 0; last < mChosen.size(); ++last) {
      const state& at = At(aCut, last);
      if (last == aNext || at.mCost == kMax || Visits(aCut, last, aNext)) {
        continue;
      }
      const auto [once, each] = HopCost(DomainOf(last), DomainOf(aNext));
      if (once == kMax) {
        continue;
      }
      const double cost = at.mCost + once + each * mWish.mOutputTokens;
      if (cost < aEntry.mCost) {
        aEntry = { cost, at.mFirstToken + once + each, aCut, last };
      }
    }
    return aEntry.mCost < kMax;
  }

  /// Whether the way to a state passes through an engine; no engine may stand twice in a path.
  bool Visits(std::size_t aCut, std::size_t aLast, std::size_t aEngine)
  {
    while (aLast != kNone) {
      if (aLast == aEngine) {
        return true;
      }
      const state& at = At(aCut, aLast);
      aCut = at.mFromCut;
      aLast = at.mFromEngine;
    }
    return false;
  }

  const failure_domain_id& DomainOf(std::size_t aEngine) const { return mEngines[mChosen[aEngine].mIndex].mDomain; }

  /// Cost of a change of engines: once for the prompt, and for each token.
  std::pair<double, double> HopCost(const failure_domain_id& aLeft, const failure_domain_id& aRight) const
  {
    if (aLeft == aRight || mModel.mInterconnectMbps <= 0) {
      return { 0, kHop.count() };
    }
    const auto wait = mWish.mInterconnectWaits.find(domain_pair(aLeft, aRight));
    const double waiting = wait == mWish.mInterconnectWaits.end() ? 0 : wait->second.count();
    if (waiting > kMaxInterconnectWait.count()) {
      return { kMax, 0 };
    }
    const double perToken = TransferTime(mModel, 1).count();
    return { waiting + perToken * mWish.mInputTokens * kPipeSharers,
             perToken + mModel.mInterconnectDelay.count() + kHop.count() };
  }

  std::optional<layer_path> Trace()
  {
    std::size_t cut = mCuts.size() - 1;
    std::size_t last = kNone;
    double best = kMax;
    for (std::size_t engine = 0; engine < mChosen.size(); ++engine) {
      if (At(cut, engine).mCost == kMax) {
        continue;
      }
      const auto [once, each] = mWish.mDomainAfter ? HopCost(DomainOf(engine), *mWish.mDomainAfter) : kNoHop;
      const double cost = At(cut, engine).mCost + once + each * mWish.mOutputTokens;
      if (once < kMax && cost < best) {
        best = cost;
        last = engine;
      }
    }
    if (last == kNone) {
      return std::nullopt;
    }
    layer_path path;
    path.mCost = { fractional_ms(At(cut, last).mFirstToken), fractional_ms(best) };
    while (last != kNone) {
      const state& at = At(cut, last);
      path.mStages.push_back({ mChosen[last].mIndex, { mCuts[at.mFromCut], mCuts[cut] } });
      cut = at.mFromCut;
      last = at.mFromEngine;
    }
    std::reverse(path.mStages.begin(), path.mStages.end());
    return path;
  }

  const engine_model& mModel;
  const std::vector<path_engine>& mEngines;
  const path_request& mWish;
  std::vector<chosen_engine> mChosen;
  std::vector<std::uint32_t> mCuts;
  std::vector<state> mBest;
};

} // namespace

double MemoryForRequests(const engine_model& aModel, const accelerator_kind& aKind, layer_span aHeld)
{
  const double freeMb = aKind.mMemoryMb - aModel.mLayerMb * aHeld.Size();
  if (freeMb <= 0 || aModel.mBytesPerTokenAndLayer <= 0) {
    return 0;
  }
  return freeMb * 1e6 / aModel.mBytesPerTokenAndLayer;
}

fractional_ms TransferTime(const engine_model& aModel, double aTokens)
{
  if (aModel.mInterconnectMbps <= 0) {
    return fractional_ms(0);
  }
  // Megabits over megabits a second give seconds.
  return fractional_ms(aTokens * aModel.mActivationBytes * 8 / 1e6 / aModel.mInterconnectMbps * 1000);
}

std::optional<layer_path> ChoosePath(const engine_model& aModel,
                                     const std::vector<path_engine>& aEngines,
                                     const path_request& aWish)
{
  if (aModel.mLayers == 0) {
    return std::nullopt;
  }
  path_search search(aModel, aEngines, aWish);
  for (const double mostSlowness : { kMaxSlowdownFactor, kMax }) {
    for (const bool homeOnly : { true, false }) {
      if (auto path = search.Run(homeOnly, mostSlowness)) {
        return path;
      }
    }
    if (aWish.mFastEnginesOnly) {
      break;
    }
  }
  return std::nullopt;
}

} // namespace chervilpulley::policy
