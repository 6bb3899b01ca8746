#include <algorithm>

#include "gateway/fleet.h"

/// The fleet's part in overload control: the capacity of a pool, what this gateway has in use of it, and what the other
/// gateways are estimated to have in use at each engine.
namespace chervilpulley::gateway {

namespace {

/// Own streams in a failure domain whose engines are as good a guide to those of the other gateways as the memory of
/// the engines.
constexpr double kPriorStreams = 5;
/// Time between two computations of a pool's capacity. With 3,000 engines one takes some milliseconds, and small
/// machines have a tenth of a processor.
constexpr duration kMinCapacityInterval = std::chrono::milliseconds(200);
constexpr duration kCapacityIntervalPerEngine = std::chrono::microseconds(500);

} // namespace

const overload_control* fleet::FindOverload(const pool_name& aPool) const
{
  const auto found = mOverload.find(aPool);
  return found == mOverload.end() || !mConfiguration || mConfiguration->MixedPriorities(aPool) == nullptr
           ? nullptr
           : &found->second;
}

overload_control* fleet::Overload(const pool_name& aPool)
{
  if (!mConfiguration || mConfiguration->MixedPriorities(aPool) == nullptr) {
    return nullptr;
  }
  return &mOverload.try_emplace(aPool, mHome).first->second;
}

/// Computes the capacity of a pool's engines for requests anew, if it is time to.
void fleet::UpdateCapacity(const pool& aPool, instant aNow)
{
  pool_capacity& capacity = mCapacities[aPool.mName];
  if (aNow < capacity.mNextUpdate) {
    return;
  }
  FillEngines(aPool);
  capacity.mNextUpdate =
    aNow +
    std::max<duration>(kMinCapacityInterval, kCapacityIntervalPerEngine * static_cast<duration::rep>(mEngines.size()));
  const std::uint32_t layers = aPool.mEngine->mLayers;
  std::vector<double> tokens(layers, 0.0);
  for (const policy::path_engine& engine : mEngines) {
    // Gateways of all failure domains with engines of the pool get announcements.
    capacity.mTokenLayersInUse.try_emplace(engine.mDomain, 0.0);
    const backend_state& state = State(engine.mId);
    if (engine.mHeld.IsEmpty() || !MayGetWork(state, aNow) || IsMoving(engine.mId, aNow)) {
      continue;
    }
    const double perLayer = policy::MemoryForRequests(*aPool.mEngine, engine.mKind, engine.mHeld) / engine.mHeld.Size();
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < std::min(engine.mHeld.mEnd, layers); ++layer) {
      tokens[layer] += perLayer;
    }
  }
  capacity.mTokens = tokens.empty() ? 0 : *std::min_element(tokens.begin(), tokens.end());
}

/// Adds the tokens of a stream to those in use in the failure domains of its path, or subtracts them.
void fleet::AddTokensInUse(const chosen_path& aPath, double aTokens)
{
  if (!mConfiguration || (mCapacities.empty() && mConfiguration->MixedPriorities(aPath.mPool) == nullptr)) {
    return;
  }
  domain_tokens& inUse = mCapacities[aPath.mPool].mTokenLayersInUse;
  for (const chosen_path::stage& stage : aPath.mStages) {
    double& ofDomain = inUse[stage.mDomain];
    ofDomain = std::max(0.0, ofDomain + aTokens * stage.mRange.Size());
  }
}

void fleet::FillEngineShares(const policy::engine_model& aModel)
{
  const auto memoryPerLayer = [&](const policy::path_engine& aEngine) {
    return policy::MemoryForRequests(aModel, aEngine.mKind, aEngine.mHeld) / std::max(1U, aEngine.mHeld.Size());
  };
  std::map<failure_domain_id, std::vector<double>> ofDomains; // memory by layer
  for (const policy::path_engine& engine : mEngines) {
    std::vector<double>& memory = ofDomains[engine.mDomain];
    memory.resize(aModel.mLayers, 0.0);
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < std::min(engine.mHeld.mEnd, aModel.mLayers); ++layer) {
      memory[layer] += memoryPerLayer(engine);
    }
  }
  mEngineShares.assign(mEngines.size(), {});
  for (std::size_t index = 0; index < mEngines.size(); ++index) {
    const policy::path_engine& engine = mEngines[index];
    const std::vector<double>& memory = ofDomains.at(engine.mDomain);
    for (std::uint32_t layer = engine.mHeld.mFrom; layer < std::min(engine.mHeld.mEnd, aModel.mLayers); ++layer) {
      const double share = memory[layer] > 0 ? memoryPerLayer(engine) / memory[layer] : 0;
      mEngineShares[index].mTokenLayers += share;
      mEngineShares[index].mBegun = layer == 0 ? share : mEngineShares[index].mBegun;
    }
  }
}

/// Adds to the load of each engine what the other gateways have in use there, estimated from what they have in its
/// failure domain: like this gateway's own use of the engines, and, the less that is, like their memory.
void fleet::AddOthersLoad(const policy::engine_model& aModel, const overload_control& aOverload)
{
  if (mEngineShares.size() != mEngines.size()) {
    FillEngineShares(aModel);
  }
  const double streamTokens = std::max(1.0, aModel.mTypicalInputTokens + aModel.mTypicalOutputTokens);
  std::map<failure_domain_id, double> begun;
  for (const policy::path_engine& engine : mEngines) {
    begun[engine.mDomain] += engine.mBegun;
  }
  for (std::size_t index = 0; index < mEngines.size(); ++index) {
    policy::path_engine& engine = mEngines[index];
    const engine_share& share = mEngineShares[index];
    const double others = aOverload.OthersInUse(engine.mDomain);
    const double otherStreams = others / streamTokens;
    const double ownWeight = aOverload.OwnInUse(engine.mDomain) + kPriorStreams * streamTokens;
    const double priorTokens = kPriorStreams * streamTokens;
    const double tokenLayers =
      others * (engine.mReservedTokenLayers + priorTokens * share.mTokenLayers) / std::max(1.0, ownWeight);
    engine.mBegun +=
      otherStreams * (engine.mBegun + kPriorStreams * share.mBegun) / (begun[engine.mDomain] + kPriorStreams);
    engine.mRunning += tokenLayers / (streamTokens * std::max(1U, engine.mHeld.Size()));
    engine.mReservedTokenLayers += tokenLayers;
  }
}

void fleet::UpdateOverload(const std::map<pool_name, std::vector<stream_demand>>& aWaiting, instant aNow)
{
  if (!mConfiguration) {
    return;
  }
  // A pool whose priorities differ again later must not begin with the state of a former shortage.
  std::erase_if(mOverload,
                [&](const auto& aEntry) { return mConfiguration->MixedPriorities(aEntry.first) == nullptr; });
  for (const pool& each : mConfiguration->mPools) {
    overload_control* overload = Overload(each.mName);
    if (overload == nullptr) {
      continue;
    }
    UpdateCapacity(each, aNow);
    const pool_capacity& capacity = mCapacities.at(each.mName);
    pool_load load;
    load.mCapacity = capacity.mTokens;
    load.mGateways = mGateways;
    for (const auto& [domain, tokenLayers] : capacity.mTokenLayersInUse) {
      load.mInUse[domain] = tokenLayers / std::max(1U, each.mEngine->mLayers);
    }
    const auto waiting = aWaiting.find(each.mName);
    if (waiting != aWaiting.end()) {
      load.mWaiting = waiting->second;
    }
    overload->Update(load, mAnnouncements, aNow);
    mAnnouncements.Announce(*overload->Own(), aNow);
  }
}

} // namespace chervilpulley::gateway
