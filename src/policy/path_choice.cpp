#include "policy/path_choice.h"

#include <algorithm>
#include <limits>

namespace chervilpulley::policy {

namespace {

/// Delay of the link within a failure domain. A token pays it at each stage, besides waiting for half a pass there.
constexpr fractional_ms kLocalHopDelay{ 0.25 };
/// Transfers between failure domains cost this many times their own time, as the interconnect is shared by all.
constexpr double kInterconnectCostFactor = 3.0;
/// Cost of a first event that is late because of the first engine's queue: a path that takes longer by less than this
/// and starts in time is preferred.
constexpr fractional_ms kLateStartCost{ 4000 };
constexpr double kMillionPairs = 1e6;
constexpr double kMax = std::numeric_limits<double>::max();

/// Cost of one layer on one engine in ms: prefill of the whole request, and each output token.
struct layer_cost
{
  double mPrefill = 0;
  double mStep = 0; ///< one output token
};

/// Shortest-path search over the boundaries between layers that engines hold.
class path_search
{
public:
  path_search(const engine_model& aModel, const std::vector<path_engine>& aEngines, const path_request& aRequest)
    : mModel(aModel)
    , mEngines(aEngines)
    , mRequest(aRequest)
  {
  }

  /// @param aHomeOnly leaves out engines of other failure domains.
  /// @param aMaxSlowdownFactor leaves out engines that are slower.
  std::optional<layer_path> Run(bool aHomeOnly, double aMaxSlowdownFactor)
  {
    SelectEngines(aHomeOnly, aMaxSlowdownFactor);
    CollectBoundaries();
    mBest.assign(mBoundaries.size() * mChosen.size(), {});
    for (std::size_t boundary = 0; boundary + 1 < mBoundaries.size(); ++boundary) {
      for (std::size_t next = 0; next < mChosen.size(); ++next) {
        ExtendFrom(boundary, next);
      }
    }
    return TracePath();
  }

private:
  struct chosen_engine
  {
    std::size_t mIndex = 0;
    layer_cost mCost;
    double mMaxLayers = 0; ///< that it has memory for
  };
  struct state
  {
    double mCost = kMax;
    double mFirstToken = 0;
    std::size_t mFromBoundary = 0;
    std::size_t mFromEngine = kNone;
  };
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  static constexpr std::pair<double, double> kNoHopCost{ 0, 0 };

  void SelectEngines(bool aHomeOnly, double aMaxSlowdownFactor)
  {
    mChosen.clear();
    for (std::size_t index = 0; index < mEngines.size(); ++index) {
      const path_engine& engine = mEngines[index];
      if (!engine.mUsable || engine.mHeld.IsEmpty() || engine.mSlowdownFactor > aMaxSlowdownFactor ||
          (aHomeOnly && engine.mDomain != mRequest.mHome)) {
        continue;
      }
      const double layers = LayersWithMemory(mModel, engine, mRequest);
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
    const double prefill =
      mRequest.mInputTokens / mModel.mPrefillTokensPerSecond * 1000 +
      mRequest.mInputTokens * mRequest.mInputTokens / 2 / kMillionPairs * mModel.mPrefillPerMillionPairs.count();
    // A pass has mStride steps, and a token waits for half a pass on average before its own.
    const double wait = 1 + mModel.mStride / 2.0;
    return { prefill * aEngine.mKind.mPrefillScale * share, step * wait * aEngine.mKind.mStepScale * share };
  }

  void CollectBoundaries()
  {
    const layer_span span = mRequest.mSpan.value_or(layer_span{ 0, mModel.mLayers });
    mBoundaries = { span.mFrom, span.mEnd };
    for (const chosen_engine& chosen : mChosen) {
      const layer_span& held = mEngines[chosen.mIndex].mHeld;
      mBoundaries.push_back(std::clamp(held.mFrom, span.mFrom, span.mEnd));
      mBoundaries.push_back(std::clamp(held.mEnd, span.mFrom, span.mEnd));
    }
    std::sort(mBoundaries.begin(), mBoundaries.end());
    mBoundaries.erase(std::unique(mBoundaries.begin(), mBoundaries.end()), mBoundaries.end());
  }

  state& At(std::size_t aBoundary, std::size_t aEngine) { return mBest[aBoundary * mChosen.size() + aEngine]; }

  /// Extends the cheapest path to a boundary by an engine that holds the layer there, to each boundary that the engine
  /// reaches.
  void ExtendFrom(std::size_t aBoundary, std::size_t aNext)
  {
    const chosen_engine& next = mChosen[aNext];
    const path_engine& engine = mEngines[next.mIndex];
    if (!engine.mHeld.Holds(mBoundaries[aBoundary])) {
      return;
    }
    state from;
    if (!BestPredecessor(aBoundary, aNext, from)) {
      return;
    }
    for (std::size_t end = aBoundary + 1; end < mBoundaries.size() && mBoundaries[end] <= engine.mHeld.mEnd; ++end) {
      const double layers = mBoundaries[end] - mBoundaries[aBoundary];
      if (layers > next.mMaxLayers) {
        break;
      }
      const double first = from.mFirstToken + layers * (next.mCost.mPrefill + next.mCost.mStep);
      const double cost = from.mCost + layers * (next.mCost.mPrefill + next.mCost.mStep * mRequest.mOutputTokens);
      state& to = At(end, aNext);
      if (cost < to.mCost) {
        to = { cost, first, aBoundary, from.mFromEngine };
      }
    }
  }

  /// Finds the cheapest path up to a boundary that this engine can continue; mFromEngine is its last engine. Returns
  /// false if there is none.
  bool BestPredecessor(std::size_t aBoundary, std::size_t aNext, state& aBest)
  {
    if (aBoundary == 0) {
      return mRequest.mSpan ? BeginSpan(aNext, aBest) : BeginPath(mEngines[mChosen[aNext].mIndex], aBest);
    }
    for (std::size_t last = 0; last < mChosen.size(); ++last) {
      const state& at = At(aBoundary, last);
      if (last == aNext || at.mCost == kMax || IsOnPath(aBoundary, last, aNext)) {
        continue;
      }
      const auto [prefillCost, perToken] = HopCost(DomainOf(last), DomainOf(aNext));
      if (prefillCost == kMax) {
        continue;
      }
      const double cost = at.mCost + prefillCost + perToken * mRequest.mOutputTokens;
      if (cost < aBest.mCost) {
        aBest = { cost, at.mFirstToken + prefillCost + perToken, aBoundary, last };
      }
    }
    return aBest.mCost < kMax;
  }

  /// Begins at the first engine of a request, which queues it when its slots or its memory are taken.
  bool BeginPath(const path_engine& aEngine, state& aBest) const
  {
    if (!aEngine.mMayBegin || !HasSlot(mModel, aEngine)) {
      return false;
    }
    const double wait = aEngine.mQueueWait.count();
    const double lateCost = aEngine.mQueueWait > mRequest.mMaxQueueWait ? kLateStartCost.count() : 0;
    aBest = { wait + lateCost, wait, 0, kNone };
    return true;
  }

  /// Begins at an engine that replaces a later stage of a running path.
  bool BeginSpan(std::size_t aNext, state& aBest) const
  {
    const auto [prefillCost, perToken] =
      mRequest.mDomainBefore ? HopCost(*mRequest.mDomainBefore, DomainOf(aNext)) : kNoHopCost;
    aBest = { prefillCost + perToken * mRequest.mOutputTokens, prefillCost + perToken, 0, kNone };
    return prefillCost < kMax;
  }

  /// Whether the path to a state uses an engine. A path must not use an engine twice.
  bool IsOnPath(std::size_t aBoundary, std::size_t aLast, std::size_t aEngine)
  {
    while (aLast != kNone) {
      if (aLast == aEngine) {
        return true;
      }
      const state& at = At(aBoundary, aLast);
      aBoundary = at.mFromBoundary;
      aLast = at.mFromEngine;
    }
    return false;
  }

  const failure_domain_id& DomainOf(std::size_t aEngine) const { return mEngines[mChosen[aEngine].mIndex].mDomain; }

  /// Cost of a hop between engines: once for the prompt, and for each output token.
  std::pair<double, double> HopCost(const failure_domain_id& aLeft, const failure_domain_id& aRight) const
  {
    if (aLeft == aRight || mModel.mInterconnectMbps <= 0) {
      return { 0, kLocalHopDelay.count() };
    }
    const auto wait = mRequest.mInterconnectWaits.find(domain_pair(aLeft, aRight));
    const double waiting = wait == mRequest.mInterconnectWaits.end() ? 0 : wait->second.count();
    if (waiting > kMaxInterconnectWait.count()) {
      return { kMax, 0 };
    }
    const double transferPerToken = TransferTime(mModel, 1).count();
    return { waiting + transferPerToken * mRequest.mInputTokens * kInterconnectCostFactor,
             transferPerToken + mModel.mInterconnectDelay.count() + kLocalHopDelay.count() };
  }

  std::optional<layer_path> TracePath()
  {
    std::size_t boundary = mBoundaries.size() - 1;
    std::size_t last = kNone;
    double best = kMax;
    for (std::size_t engine = 0; engine < mChosen.size(); ++engine) {
      if (At(boundary, engine).mCost == kMax) {
        continue;
      }
      const auto [prefillCost, perToken] =
        mRequest.mDomainAfter ? HopCost(DomainOf(engine), *mRequest.mDomainAfter) : kNoHopCost;
      const double cost = At(boundary, engine).mCost + prefillCost + perToken * mRequest.mOutputTokens;
      if (prefillCost < kMax && cost < best) {
        best = cost;
        last = engine;
      }
    }
    if (last == kNone) {
      return std::nullopt;
    }
    layer_path path;
    path.mCost = { fractional_ms(At(boundary, last).mFirstToken), fractional_ms(best) };
    while (last != kNone) {
      const state& at = At(boundary, last);
      path.mStages.push_back({ mChosen[last].mIndex, { mBoundaries[at.mFromBoundary], mBoundaries[boundary] } });
      boundary = at.mFromBoundary;
      last = at.mFromEngine;
    }
    std::reverse(path.mStages.begin(), path.mStages.end());
    return path;
  }

  const engine_model& mModel;
  const std::vector<path_engine>& mEngines;
  const path_request& mRequest;
  std::vector<chosen_engine> mChosen;
  std::vector<std::uint32_t> mBoundaries;
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

double LayersWithMemory(const engine_model& aModel, const path_engine& aEngine, const path_request& aRequest)
{
  const double freeMemory =
    MemoryForRequests(aModel, aEngine.mKind, aEngine.mHeld) * kReservableMemoryShare - aEngine.mReservedTokenLayers;
  return freeMemory / std::max(1.0, aRequest.mInputTokens + aRequest.mOutputTokens);
}

bool HasSlot(const engine_model& aModel, const path_engine& aEngine)
{
  return aModel.mSlots == 0 || aEngine.mBegun + 1 <= std::max(1.0, kUsableSlotShare * aModel.mSlots);
}

fractional_ms TransferTime(const engine_model& aModel, double aTokens)
{
  if (aModel.mInterconnectMbps <= 0) {
    return fractional_ms(0);
  }
  // Megabits divided by megabits per second give seconds.
  return fractional_ms(aTokens * aModel.mActivationBytes * 8 / 1e6 / aModel.mInterconnectMbps * 1000);
}

std::optional<layer_path> ChoosePath(const engine_model& aModel,
                                     const std::vector<path_engine>& aEngines,
                                     const path_request& aRequest)
{
  if (aModel.mLayers == 0) {
    return std::nullopt;
  }
  path_search search(aModel, aEngines, aRequest);
  for (const double maxSlowdownFactor : { kMaxSlowdownFactor, kMax }) {
    for (const bool homeOnly : { true, false }) {
      if (auto path = search.Run(homeOnly, maxSlowdownFactor)) {
        return path;
      }
    }
    if (aRequest.mFastEnginesOnly) {
      break;
    }
  }
  return std::nullopt;
}

} // namespace chervilpulley::policy
