#include "policy/layer_plan.h"

#include <algorithm>
#include <map>

namespace chervilpulley::policy {

namespace {

/// Value of one more holder of a layer, by its present holders: no engine at all, no engine of the failure domain, or
/// one, two or three engines of the domain. Each value outweighs any number of the next lower one within one range. The
/// requests that use a layer share the memory of its holders, so new holders go to the layers with the fewest.
constexpr std::uint64_t kValueOfUnheldLayer = 10'000'000'000;
constexpr std::uint64_t kValueOfDomainGap = 100'000'000;
constexpr std::uint64_t kValueOfSecondHolder = 10'000;
constexpr std::uint64_t kValueOfThirdHolder = 100;
constexpr std::uint64_t kValueOfFourthHolder = 1;

using holder_counts = std::vector<std::uint32_t>;

/// Number of holders of each layer, overall and by failure domain.
class coverage
{
public:
  /// @param aCounts returns whether an engine counts as a holder.
  template<class Counts>
  coverage(const engine_model& aModel, const std::vector<plan_engine>& aEngines, Counts aCounts)
    : mLayers(aModel.mLayers)
    , mAll(aModel.mLayers, 0)
  {
    for (const plan_engine& engine : aEngines) {
      if (aCounts(engine)) {
        Add(engine.mDomain, engine.mHeld, 1);
      }
    }
  }

  void Add(const failure_domain_id& aDomain, layer_span aRange, int aHolders)
  {
    holder_counts& domain = InDomain(aDomain);
    for (std::uint32_t layer = aRange.mFrom; layer < std::min(aRange.mEnd, mLayers); ++layer) {
      mAll[layer] += aHolders;
      domain[layer] += aHolders;
    }
  }

  holder_counts& InDomain(const failure_domain_id& aDomain)
  {
    auto [found, isNew] = mByDomain.try_emplace(aDomain);
    if (isNew) {
      found->second.assign(mLayers, 0);
    }
    return found->second;
  }

  std::uint64_t LayerValue(const failure_domain_id& aDomain, std::uint32_t aLayer)
  {
    if (mAll[aLayer] == 0) {
      return kValueOfUnheldLayer;
    }
    switch (InDomain(aDomain)[aLayer]) {
      case 0:
        return kValueOfDomainGap;
      case 1:
        return kValueOfSecondHolder;
      case 2:
        return kValueOfThirdHolder;
      case 3:
        return kValueOfFourthHolder;
      default:
        return 0;
    }
  }

  /// The most valuable range of this many layers, with its value; the lowest among equals.
  std::pair<layer_span, std::uint64_t> BestRange(const failure_domain_id& aDomain, std::uint32_t aSize)
  {
    aSize = std::min(aSize, mLayers);
    std::uint64_t value = 0;
    for (std::uint32_t layer = 0; layer < aSize; ++layer) {
      value += LayerValue(aDomain, layer);
    }
    std::uint64_t bestValue = value;
    std::uint32_t bestFrom = 0;
    for (std::uint32_t from = 1; from + aSize <= mLayers; ++from) {
      value += LayerValue(aDomain, from + aSize - 1);
      value -= LayerValue(aDomain, from - 1);
      if (value > bestValue) {
        bestValue = value;
        bestFrom = from;
      }
    }
    return { layer_span{ bestFrom, bestFrom + aSize }, bestValue };
  }

  bool HasGap(const failure_domain_id& aDomain) { return HasGap(aDomain, { 0, mLayers }); }

  bool HasGap(const failure_domain_id& aDomain, layer_span aRange)
  {
    const holder_counts& domain = InDomain(aDomain);
    const auto end = domain.begin() + aRange.mEnd;
    return std::find(domain.begin() + aRange.mFrom, end, 0U) != end;
  }

  /// Value that would be lost if this engine gave up its layers.
  std::uint64_t ValueHeld(const plan_engine& aEngine)
  {
    Add(aEngine.mDomain, aEngine.mHeld, -1);
    std::uint64_t value = 0;
    for (std::uint32_t layer = aEngine.mHeld.mFrom; layer < std::min(aEngine.mHeld.mEnd, mLayers); ++layer) {
      value += LayerValue(aEngine.mDomain, layer);
    }
    Add(aEngine.mDomain, aEngine.mHeld, 1);
    return value;
  }

private:
  std::uint32_t mLayers;
  holder_counts mAll;
  std::map<failure_domain_id, holder_counts> mByDomain;
};

bool IsHolder(const plan_engine& aEngine)
{
  return !aEngine.mGone;
}

/// Whether streams pass through the layers of an engine; false for layers that are still to be loaded.
bool IsServing(const plan_engine& aEngine)
{
  return aEngine.mGone ? aEngine.mStillServes : !aEngine.mBusy;
}

bool MayBeOrdered(const plan_engine& aEngine)
{
  return !aEngine.mGone && !aEngine.mBusy;
}

/// Sorts by memory, largest first, then by id.
void SortByMemory(std::vector<plan_engine>& aEngines)
{
  std::sort(aEngines.begin(), aEngines.end(), [](const plan_engine& aLeft, const plan_engine& aRight) {
    if (aLeft.mKind.mMemoryMb != aRight.mKind.mMemoryMb) {
      return aLeft.mKind.mMemoryMb > aRight.mKind.mMemoryMb;
    }
    return aLeft.mId < aRight.mId;
  });
}

/// Computes orders step by step; each order changes the coverage that later ones see.
class planner
{
public:
  planner(const engine_model& aModel, std::vector<plan_engine> aEngines, interruption_rule aInterruptionRule)
    : mModel(aModel)
    , mInterruptionRule(aInterruptionRule)
    , mEngines(std::move(aEngines))
    , mCoverage(aModel, mEngines, IsHolder)
    , mServed(aModel, mEngines, IsServing)
  {
    SortByMemory(mEngines);
    for (const plan_engine& engine : mEngines) {
      if (!mShares.contains(engine.mDomain)) {
        mShares[engine.mDomain] = WeightShare(aModel, mEngines, engine.mDomain);
      }
    }
  }

  std::vector<layer_order> Run()
  {
    for (plan_engine& engine : mEngines) {
      if (MayBeOrdered(engine) && engine.mHeld.IsEmpty()) {
        AssignBestRange(engine, mShares.at(engine.mDomain));
      }
    }
    MoveIntoGaps();
    ExtendOverUnheld();
    return std::move(mOrders);
  }

private:
  void AssignBestRange(plan_engine& aEngine, double aWeightShare)
  {
    const std::uint32_t size = LayerCapacity(mModel, aEngine.mKind, aWeightShare);
    if (size > 0) {
      Order(aEngine, mCoverage.BestRange(aEngine.mDomain, size).first);
    }
  }

  void Order(plan_engine& aEngine, layer_span aRange)
  {
    const bool interruptsStreams = MayInterruptStreams(aEngine, aRange) && mServed.HasGap(aEngine.mDomain, aRange);
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, -1);
    mCoverage.Add(aEngine.mDomain, aRange, 1);
    aEngine.mHeld = aRange;
    aEngine.mBusy = true;
    mOrders.push_back({ aEngine.mId, aRange, interruptsStreams });
  }

  bool MayInterruptStreams(const plan_engine& aEngine, layer_span aRange) const
  {
    const bool givesUp = aEngine.mHeld.mFrom < aRange.mFrom || aEngine.mHeld.mEnd > aRange.mEnd;
    return !aEngine.mHeld.IsEmpty() && givesUp &&
           (mInterruptionRule == interruption_rule::AnyStream || aEngine.mHeld.mFrom > 0);
  }

  /// Moves an engine when the gap that it fills is worth more than all that it gives up, and when it leaves no gap
  /// behind. Engines with the first layers move last: a running stream can be moved off any other engine, but not off
  /// the first one of its path.
  void MoveIntoGaps()
  {
    MoveIntoGaps([](const plan_engine& aEngine) { return aEngine.mHeld.mFrom > 0; });
    MoveIntoGaps([](const plan_engine& aEngine) { return aEngine.mHeld.mFrom == 0; });
  }

  template<class Condition>
  void MoveIntoGaps(Condition aCondition)
  {
    // Smallest engines first: they duplicate the fewest layers.
    for (auto engine = mEngines.rbegin(); engine != mEngines.rend(); ++engine) {
      if (MayBeOrdered(*engine) && aCondition(*engine) && mCoverage.HasGap(engine->mDomain)) {
        MoveIntoGap(*engine);
      }
    }
  }

  void MoveIntoGap(plan_engine& aEngine)
  {
    if (mCoverage.ValueHeld(aEngine) >= kValueOfDomainGap) {
      return;
    }
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, -1);
    const auto [range, value] =
      mCoverage.BestRange(aEngine.mDomain, LayerCapacity(mModel, aEngine.mKind, mShares.at(aEngine.mDomain)));
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, 1);
    if (value >= kValueOfDomainGap && !(range == aEngine.mHeld)) {
      Order(aEngine, range);
    }
  }

  /// Layers that no engine anywhere holds are added to engines with adjacent layers, at the cost of memory for
  /// requests.
  void ExtendOverUnheld()
  {
    for (plan_engine& engine : mEngines) {
      if (!MayBeOrdered(engine) || engine.mHeld.IsEmpty()) {
        continue;
      }
      const std::uint32_t maxLayers = LayerCapacity(mModel, engine.mKind, kMaxWeightShare);
      layer_span wider = engine.mHeld;
      while (wider.Size() < maxLayers && wider.mEnd < mModel.mLayers && IsUnheld(engine.mDomain, wider.mEnd)) {
        ++wider.mEnd;
      }
      while (wider.Size() < maxLayers && wider.mFrom > 0 && IsUnheld(engine.mDomain, wider.mFrom - 1)) {
        --wider.mFrom;
      }
      if (!(wider == engine.mHeld)) {
        Order(engine, wider);
      }
    }
  }

  bool IsUnheld(const failure_domain_id& aDomain, std::uint32_t aLayer)
  {
    return mCoverage.LayerValue(aDomain, aLayer) == kValueOfUnheldLayer;
  }

  const engine_model& mModel;
  interruption_rule mInterruptionRule;
  std::map<failure_domain_id, double> mShares; ///< share of memory for weights, by failure domain
  std::vector<plan_engine> mEngines;
  coverage mCoverage;
  coverage mServed; ///< layers that engines serve now, before any new order
  std::vector<layer_order> mOrders;
};

} // namespace

std::uint32_t LayerCapacity(const engine_model& aModel, const accelerator_kind& aKind, double aWeightShare)
{
  if (aModel.mLayerMb <= 0) {
    return 0;
  }
  const double layers = aKind.mMemoryMb * aWeightShare / aModel.mLayerMb;
  const auto fitting = layers < aModel.mLayers ? static_cast<std::uint32_t>(layers) : aModel.mLayers;
  return std::min(fitting, aModel.mLayers);
}

double WeightShare(const engine_model& aModel,
                   const std::vector<plan_engine>& aEngines,
                   const failure_domain_id& aDomain)
{
  double memoryMb = 0;
  double engines = 0;
  for (const plan_engine& engine : aEngines) {
    if (engine.mDomain == aDomain && !engine.mGone) {
      memoryMb += engine.mKind.mMemoryMb;
      engines += 1;
    }
  }
  if (memoryMb <= 0) {
    return kWeightShareForLongPaths;
  }
  const double stages = aModel.mLayers * aModel.mLayerMb * engines / (memoryMb * kWeightShareForLongPaths);
  const double position = std::clamp((stages - kShortPathStages) / (kLongPathStages - kShortPathStages), 0.0, 1.0);
  return kWeightShareForShortPaths + position * (kWeightShareForLongPaths - kWeightShareForShortPaths);
}

std::vector<layer_order> PlanLayers(const engine_model& aModel,
                                    std::vector<plan_engine> aEngines,
                                    interruption_rule aInterruptionRule)
{
  if (aModel.mLayers == 0) {
    return {};
  }
  // What an engine lists may not fit the model.
  for (plan_engine& engine : aEngines) {
    engine.mHeld.mEnd = std::min(engine.mHeld.mEnd, aModel.mLayers);
    if (engine.mHeld.IsEmpty()) {
      engine.mHeld = {};
    }
  }
  return planner(aModel, std::move(aEngines), aInterruptionRule).Run();
}

std::uint32_t UncoveredLayers(const engine_model& aModel,
                              const std::vector<plan_engine>& aEngines,
                              const failure_domain_id& aDomain)
{
  coverage counted(aModel, aEngines, IsHolder);
  const holder_counts& domain = counted.InDomain(aDomain);
  return static_cast<std::uint32_t>(std::count(domain.begin(), domain.end(), 0U));
}

} // namespace chervilpulley::policy
