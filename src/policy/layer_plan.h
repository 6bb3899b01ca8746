#pragma once

#include <vector>

#include "policy/engine_model.h"

/// Plans which engine holds which layers. Responds to lost, returning and added engines with as few loads as possible:
/// engines that hold something useful keep it, empty engines first fill gaps and then duplicate layers with a single
/// holder, and an engine whose layers are also held by others moves into a gap. When the last holder of a layer is
/// lost, all streams of the failure domain stall until the gap is filled. An engine that moves into the gap therefore
/// interrupts the streams that use its old layers, and they resume on other engines. Waiting for them to end would be a
/// deadlock: they stall until the engine has moved.
namespace chervilpulley::policy {

/// Maximum share of an engine's memory for weights; the rest holds requests. Each stage of a path is one more engine
/// whose loss breaks the path. A failure domain of accelerators with little memory, whose paths have nine stages and
/// more, therefore needs several holders of each layer most, and one of accelerators with much memory, with six stages
/// or fewer, needs memory for requests. See docs/decisions/large-fleets.md.
inline constexpr double kWeightShareForShortPaths = 0.66;
inline constexpr double kWeightShareForLongPaths = 0.73;
/// Up to this number of stages the share for short paths applies, from kLongPathStages on that for long paths; between
/// them the share is interpolated.
inline constexpr double kShortPathStages = 6.5;
inline constexpr double kLongPathStages = 8.5;
/// Maximum share of an engine that takes over layers which no engine holds: memory for a few requests is left.
inline constexpr double kMaxWeightShare = 0.92;

/// An engine as the planner sees it.
struct plan_engine
{
  backend_id mId;
  failure_domain_id mDomain;
  accelerator_kind mKind;
  layer_span mHeld;          ///< layers that it holds, or will hold once a running order is done
  bool mBusy = false;        ///< an order is running; it can't be given another one
  bool mGone = false;        ///< leaving or marked as lost: it counts for nothing and gets no order
  bool mStillServes = false; ///< it is leaving and still serves the layers that it holds
};

/// An order to an engine to hold a range of layers.
struct layer_order
{
  backend_id mEngine;
  layer_span mRange;
  /// Interrupts the streams that use layers that are given up, instead of waiting for them to end.
  bool mInterruptsStreams = false;
};

/// Number of layers whose weights fit into this share of the memory, at most all layers of the model.
std::uint32_t LayerCapacity(const engine_model& aModel, const accelerator_kind& aKind, double aWeightShare);

/// Share of memory for weights in a failure domain that has these engines.
double WeightShare(const engine_model& aModel,
                   const std::vector<plan_engine>& aEngines,
                   const failure_domain_id& aDomain);

/// Which streams an engine may interrupt to fill the gap that a lost engine left.
enum class interruption_rule
{
  AnyStream,   ///< all streams can be resumed
  LaterStages, ///< not at a stream's first engine: the stream would be lost
};

/// Returns orders that bring the engines closer to covering every layer in each failure domain; empty when nothing is
/// to do. The result does not depend on the order of the engines.
std::vector<layer_order> PlanLayers(const engine_model& aModel,
                                    std::vector<plan_engine> aEngines,
                                    interruption_rule aInterruptionRule);

/// Number of layers that no engine of a failure domain holds, for reports.
std::uint32_t UncoveredLayers(const engine_model& aModel,
                              const std::vector<plan_engine>& aEngines,
                              const failure_domain_id& aDomain);

} // namespace chervilpulley::policy
