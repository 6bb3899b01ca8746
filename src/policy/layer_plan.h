#pragma once

#include <vector>

#include "policy/engine_model.h"

/// Which engine holds which layers. It answers to losses, returns and added engines with as few loads as it can:
/// engines that hold something useful keep it, empty ones fill gaps first and then double what one engine alone holds,
/// and an engine whose layers others hold too moves into a gap. Where the last holder of a layer is lost, all streams
/// of the failure domain stand still until the gap is filled, and an engine that waits for them to end before it moves
/// waits for itself: then it cuts them off, and they go on over other engines.
namespace chervilpulley::policy {

/// Share of an engine's memory that weights take at most; the rest holds requests. Each part of a path is one more
/// engine whose loss breaks it, so that a failure domain of small cards, whose paths have nine parts and more, needs
/// further holders most, and one of large cards, with six or fewer, memory for requests. Found by playing the users'
/// sheets (docs/decisions/large-fleets.md).
inline constexpr double kWeightShareOfShortPaths = 0.66;
inline constexpr double kWeightShareOfLongPaths = 0.73;
inline constexpr double kShortPath = 6.5; ///< parts
inline constexpr double kLongPath = 8.5;  ///< parts
/// The same where a layer has no holder at all: memory for a few requests is left.
inline constexpr double kDenseWeightShare = 0.92;

/// An engine as the plan sees it.
struct plan_engine
{
  backend_id mId;
  failure_domain_id mDomain;
  accelerator_kind mKind;
  layer_span mHeld;          ///< what it holds, or will hold when the order under way is done
  bool mBusy = false;        ///< an order is under way: it can't be given another one
  bool mGone = false;        ///< leaving, or believed lost: it counts for nothing and gets no order
  bool mStillServes = false; ///< it is gone because it leaves, and serves on what it has
};

struct layer_order
{
  backend_id mEngine;
  layer_span mRange;
  /// Cuts off what passes through the layers that are given up, instead of waiting for it.
  bool mInterruptsStreams = false;
};

/// Layers that an engine may hold.
std::uint32_t LayerCapacity(const engine_model& aModel, const accelerator_kind& aKind, double aWeightShare);

/// Share of weights in a failure domain with these engines.
double WeightShare(const engine_model& aModel,
                   const std::vector<plan_engine>& aEngines,
                   const failure_domain_id& aDomain);

/// Which streams an engine may cut off to fill the gap of a lost one.
enum class interruption_rule
{
  AnyStream,   ///< all can be resumed
  LaterStages, ///< a stream whose first engine cuts it off would be lost
};

/// Orders that bring the engines nearer to a cover of every layer in each failure domain; empty when nothing is to do.
/// The same engines in any order give the same orders.
std::vector<layer_order> PlanLayers(const engine_model& aModel,
                                    std::vector<plan_engine> aEngines,
                                    interruption_rule aMayCut);

/// Layers of a failure domain that no engine holds; for reports.
std::uint32_t UncoveredLayers(const engine_model& aModel,
                              const std::vector<plan_engine>& aEngines,
                              const failure_domain_id& aDomain);

} // namespace chervilpulley::policy
