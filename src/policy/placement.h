#pragma once

#include <optional>
#include <span>
#include <vector>

#include "chervilpulley/policy_types.h"
#include "policy/subset.h"

/// Plans which instance holds which layers of which model version, and decides the next step of one instance towards
/// that plan. It keeps every range of layers served when demand changes or instances or failure domains are lost, while
/// moving as little as possible.
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
  double mSpeed = 1.0;                  ///< layers per second over its whole batch, by kind of accelerator
  std::optional<layer_range> mAssigned; ///< range desired by the previous plan; empty for a new instance
};

/// A model version that must be served.
struct placement_model
{
  model_name mName;
  std::uint32_t mLayerCount = 1;
  double mBytesPerLayer = 0.0;
  std::uint32_t mStages = 1; ///< number of equal ranges that the layers are split into; see StagesFor
  double mDemand = 1.0;      ///< tokens per second, including the desired headroom
};

/// The range that each server should hold, in the order of the servers.
struct placement_plan
{
  std::vector<std::optional<layer_range>> mDesired;
  std::size_t mChanges = 0; ///< servers whose desired range differs from mAssigned; if 0, nothing is written
};

/// A server is moved between ranges only if, after it has left, the ratio of speed to demand of its old range is still
/// at least this factor above the ratio of the new range before the move.
inline constexpr double kMinMoveGain = 1.25;
/// Maximum number of concurrent loads in one failure domain.
inline constexpr std::size_t kMaxLoadsPerDomain = 2;

/// Smallest number of equal ranges such that servers with nearly all of the total speed can hold one range.
std::uint32_t StagesFor(const placement_model& aModel, std::span<const placement_server> aServers);

/// Plans in one step, for one conditional write. Servers keep their assigned range; servers without one go to the range
/// with the lowest ratio of speed to demand, spread over failure domains; a server is moved only for a gain of
/// kMinMoveGain. Planning again on its own result changes nothing.
placement_plan PlanPlacement(std::span<const placement_server> aServers, std::span<const placement_model> aModels);

/// The state of an engine and of the configuration, from which its sidecar decides its next step.
struct placement_state
{
  std::optional<layer_range> mDesired;
  std::optional<layer_range> mCurrent; ///< as reported by the engine
  std::optional<layer_range> mLoading; ///< range that the engine is loading
  bool mRevisionConfirmed = false;     ///< the configuration was read since the start or the last long pause
  member_key mSelf;
  /// Instances of its failure domain, including itself, whose desired range is not loaded yet.
  std::span<const member_key> mPending;
};

/// What the sidecar requests from its engine now.
enum class placement_action
{
  None,
  Load,         ///< load mDesired, with the configuration's revision as fencing token
  Unload,       ///< no range is desired
  AwaitConfig,  ///< request nothing until the current revision is known
  AwaitLoading, ///< the engine is loading
  AwaitTurn,    ///< kMaxLoadsPerDomain instances go first in the failure domain
};

/// Returns the next step towards the desired range.
placement_action Reconcile(const placement_state& aState);

} // namespace chervilpulley::policy
