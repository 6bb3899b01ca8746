#include "policy/layer_plan.h"

#include <algorithm>
#include <map>

namespace chervilpulley::policy {

namespace {

/// Worth of holding a layer that nobody holds; one that no engine of the domain holds; one that one, two or three
/// engines of the domain hold. Each outweighs any number of the next below it within one range. A layer's requests
/// share the memory of its holders, so that further holders belong where there are fewest.
constexpr std::uint64_t kWorthOfUnheld = 10'000'000'000;
constexpr std::uint64_t kWorthOfGap = 100'000'000;
constexpr std::uint64_t kWorthOfSecondHolder = 10'000;
constexpr std::uint64_t kWorthOfThirdHolder = 100;
constexpr std::uint64_t kWorthOfFourthHolder = 1;

using holder_counts = std::vector<std::uint32_t>;

/// Holders of each layer, everywhere and by failure domain.
class coverage
{
public:
  /// @param aCounts says whether an engine counts.
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

  std::uint64_t Worth(const failure_domain_id& aDomain, std::uint32_t aLayer)
  {
    if (mAll[aLayer] == 0) {
      return kWorthOfUnheld;
    }
    switch (InDomain(aDomain)[aLayer]) {
      case 0:
        return kWorthOfGap;
      case 1:
        return kWorthOfSecondHolder;
      case 2:
        return kWorthOfThirdHolder;
      case 3:
        return kWorthOfFourthHolder;
      default:
        return 0;
    }
  }

  /// The most useful range of so many layers; the lowest of equals.
  std::pair<layer_span, std::uint64_t> BestRange(const failure_domain_id& aDomain, std::uint32_t aSize)
  {
    aSize = std::min(aSize, mLayers);
    std::uint64_t worth = 0;
    for (std::uint32_t layer = 0; layer < aSize; ++layer) {
      worth += Worth(aDomain, layer);
    }
    std::uint64_t best = worth;
    std::uint32_t bestFrom = 0;
    for (std::uint32_t from = 1; from + aSize <= mLayers; ++from) {
      worth += Worth(aDomain, from + aSize - 1);
      worth -= Worth(aDomain, from - 1);
      if (worth > best) {
        best = worth;
        bestFrom = from;
      }
    }
    return { layer_span{ bestFrom, bestFrom + aSize }, best };
  }

  bool HasGap(const failure_domain_id& aDomain) { return HasGap(aDomain, { 0, mLayers }); }

  bool HasGap(const failure_domain_id& aDomain, layer_span aRange)
  {
    const holder_counts& domain = InDomain(aDomain);
    const auto end = domain.begin() + aRange.mEnd;
    return std::find(domain.begin() + aRange.mFrom, end, 0U) != end;
  }

  /// Worth of what would be missed if this engine's layers were given up.
  std::uint64_t WorthHeld(const plan_engine& aEngine)
  {
    Add(aEngine.mDomain, aEngine.mHeld, -1);
    std::uint64_t worth = 0;
    for (std::uint32_t layer = aEngine.mHeld.mFrom; layer < std::min(aEngine.mHeld.mEnd, mLayers); ++layer) {
      worth += Worth(aEngine.mDomain, layer);
    }
    Add(aEngine.mDomain, aEngine.mHeld, 1);
    return worth;
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

/// Whether streams pass through what an engine holds: not through layers that are still to be loaded.
bool IsServing(const plan_engine& aEngine)
{
  return aEngine.mGone ? aEngine.mStillServes : !aEngine.mBusy;
}

bool MayBeOrdered(const plan_engine& aEngine)
{
  return !aEngine.mGone && !aEngine.mBusy;
}

/// Engines with most room first, then by name.
void SortByRoom(std::vector<plan_engine>& aEngines)
{
  std::sort(aEngines.begin(), aEngines.end(), [](const plan_engine& aLeft, const plan_engine& aRight) {
    if (aLeft.mKind.mMemoryMb != aRight.mKind.mMemoryMb) {
      return aLeft.mKind.mMemoryMb > aRight.mKind.mMemoryMb;
    }
    return aLeft.mId < aRight.mId;
  });
}

class planner
{
public:
  planner(const engine_model& aModel, std::vector<plan_engine> aEngines, interruption_rule aMayCut)
    : mModel(aModel)
    , mMayCut(aMayCut)
    , mEngines(std::move(aEngines))
    , mCoverage(aModel, mEngines, IsHolder)
    , mServed(aModel, mEngines, IsServing)
  {
    SortByRoom(mEngines);
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
        Give(engine, mShares.at(engine.mDomain));
      }
    }
    MoveIntoGaps();
    ExtendOverUnheld();
    return std::move(mOrders);
  }

private:
  void Give(plan_engine& aEngine, double aWeightShare)
  {
    const std::uint32_t size = LayerCapacity(mModel, aEngine.mKind, aWeightShare);
    if (size > 0) {
      Order(aEngine, mCoverage.BestRange(aEngine.mDomain, size).first);
    }
  }

  void Order(plan_engine& aEngine, layer_span aRange)
  {
    const bool cutsOff = MayCutOff(aEngine, aRange) && mServed.HasGap(aEngine.mDomain, aRange);
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, -1);
    mCoverage.Add(aEngine.mDomain, aRange, 1);
    aEngine.mHeld = aRange;
    aEngine.mBusy = true;
    mOrders.push_back({ aEngine.mId, aRange, cutsOff });
  }

  bool MayCutOff(const plan_engine& aEngine, layer_span aRange) const
  {
    const bool givesUp = aEngine.mHeld.mFrom < aRange.mFrom || aEngine.mHeld.mEnd > aRange.mEnd;
    return !aEngine.mHeld.IsEmpty() && givesUp && (mMayCut == interruption_rule::AnyStream || aEngine.mHeld.mFrom > 0);
  }

  /// An engine moves when a gap that it fills is worth more than all that it would leave, and it leaves no gap. Those
  /// at the beginning of paths go last: streams can leave all others while they run.
  void MoveIntoGaps()
  {
    MoveIntoGaps([](const plan_engine& aEngine) { return aEngine.mHeld.mFrom > 0; });
    MoveIntoGaps([](const plan_engine& aEngine) { return aEngine.mHeld.mFrom == 0; });
  }

  template<class Condition>
  void MoveIntoGaps(Condition aCondition)
  {
    // The smallest engines first: they double the least.
    for (auto engine = mEngines.rbegin(); engine != mEngines.rend(); ++engine) {
      if (MayBeOrdered(*engine) && aCondition(*engine) && mCoverage.HasGap(engine->mDomain)) {
        MoveIntoGap(*engine);
      }
    }
  }

  void MoveIntoGap(plan_engine& aEngine)
  {
    if (mCoverage.WorthHeld(aEngine) >= kWorthOfGap) {
      return;
    }
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, -1);
    const auto [range, worth] =
      mCoverage.BestRange(aEngine.mDomain, LayerCapacity(mModel, aEngine.mKind, mShares.at(aEngine.mDomain)));
    mCoverage.Add(aEngine.mDomain, aEngine.mHeld, 1);
    if (worth >= kWorthOfGap && !(range == aEngine.mHeld)) {
      Order(aEngine, range);
    }
  }

  /// Layers that no engine anywhere holds are taken by neighbours, at the cost of memory for requests.
  void ExtendOverUnheld()
  {
    for (plan_engine& engine : mEngines) {
      if (!MayBeOrdered(engine) || engine.mHeld.IsEmpty()) {
        continue;
      }
      const std::uint32_t most = LayerCapacity(mModel, engine.mKind, kDenseWeightShare);
      layer_span wider = engine.mHeld;
      while (wider.Size() < most && wider.mEnd < mModel.mLayers && IsUnheld(engine.mDomain, wider.mEnd)) {
        ++wider.mEnd;
      }
      while (wider.Size() < most && wider.mFrom > 0 && IsUnheld(engine.mDomain, wider.mFrom - 1)) {
        --wider.mFrom;
      }
      if (!(wider == engine.mHeld)) {
        Order(engine, wider);
      }
    }
  }

  bool IsUnheld(const failure_domain_id& aDomain, std::uint32_t aLayer)
  {
    return mCoverage.Worth(aDomain, aLayer) == kWorthOfUnheld;
  }

  const engine_model& mModel;
  interruption_rule mMayCut;
  std::map<failure_domain_id, double> mShares; ///< of weights
  std::vector<plan_engine> mEngines;
  coverage mCoverage;
  coverage mServed; ///< by engines as they are now
  std::vector<layer_order> mOrders;
};

} // namespace

std::uint32_t LayerCapacity(const engine_model& aModel, const accelerator_kind& aKind, double aWeightShare)
{
  if (aModel.mLayerMb <= 0) {
    return 0;
  }
  const auto fitting = static_cast<std::uint32_t>(aKind.mMemoryMb * aWeightShare / aModel.mLayerMb);
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
    return kWeightShareOfLongPaths;
  }
  const double parts = aModel.mLayers * aModel.mLayerMb * engines / (memoryMb * kWeightShareOfLongPaths);
  const double place = std::clamp((parts - kShortPath) / (kLongPath - kShortPath), 0.0, 1.0);
  return kWeightShareOfShortPaths + place * (kWeightShareOfLongPaths - kWeightShareOfShortPaths);
}

std::vector<layer_order> PlanLayers(const engine_model& aModel,
                                    std::vector<plan_engine> aEngines,
                                    interruption_rule aMayCut)
{
  if (aModel.mLayers == 0) {
    return {};
  }
  return planner(aModel, std::move(aEngines), aMayCut).Run();
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
