#pragma once

#include <optional>
#include <span>
#include <vector>

#include "chervilpulley/policy_types.h"
#include "policy/subset.h"

/// Which instance holds which layers of which model version, and how one instance gets there.
namespace chervilpulley::policy {

/// A range of layers of a model version, both ends inclusive.
struct layer_range
{
  model_name mModel;
  layer_index mFirst;
  layer_index mLast;
  bool operator==(const layer_range&) const = default;
};

/// An instance that can hold layers.
struct placement_server
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  double mMemory = 0.0;                 ///< for weights, in bytes
  double mSpeed = 1.0;                  ///< layers per second over its whole batch, by its kind of accelerator
  std::optional<layer_range> mAssigned; ///< desired so far; nothing for a new instance
};

/// A model version that is served.
struct placement_model
{
  model_name mName;
  std::uint32_t mLayerCount = 1;
  double mBytesPerLayer = 0.0;
  std::uint32_t mStages = 1; ///< equal ranges that the layers are cut into; see StagesFor
  double mDemand = 1.0;      ///< tokens per second, at the head room that is wanted
};

/// What each server should hold, in the order of the servers.
struct placement_plan
{
  std::vector<std::optional<layer_range>> mDesired;
  std::size_t mChanges = 0; ///< servers whose desired range differs from mAssigned; with 0 nothing is written
};

/// A group is moved from only if it stays this much better supplied than the one that is moved to.
inline constexpr double kMinMoveGain = 1.25;
/// Loads at the same time in one failure domain.
inline constexpr std::size_t kMaxLoadsPerDomain = 2;

/// Least number of equal ranges with which servers of nearly the whole speed can hold one.
std::uint32_t StagesFor(const placement_model& aModel, std::span<const placement_server> aServers);

/// Plans in one step, for one conditional write. Keeps what is held, gives servers without a range to the range that is
/// supplied worst for its demand, spread over failure domains, and moves a server only for a gain of kMinMoveGain.
/// Planning again on its own result changes nothing.
placement_plan PlanPlacement(std::span<const placement_server> aServers, std::span<const placement_model> aModels);

/// What a sidecar knows when it compares its engine with the configuration.
struct placement_state
{
  std::optional<layer_range> mDesired;
  std::optional<layer_range> mCurrent; ///< as the engine reports
  std::optional<layer_range> mLoading; ///< an order that is under way
  bool mRevisionConfirmed = false;     ///< the configuration was read since the start, or since the last long pause
  member_key mSelf;
  /// Instances of its failure domain, itself among them, whose desired range is not loaded yet.
  std::span<const member_key> mPending;
};

/// What the sidecar orders now.
enum class placement_action
{
  None,
  Load,         ///< load mDesired, with the configuration's revision as fencing number
  Unload,       ///< nothing is desired
  AwaitConfig,  ///< no order before the current revision is known
  AwaitLoading, ///< an order is under way
  AwaitTurn,    ///< enough others of the failure domain are loading
};

/// One step towards the desired range.
placement_action Reconcile(const placement_state& aState);

} // namespace chervilpulley::policy
