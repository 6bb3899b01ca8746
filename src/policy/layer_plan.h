#pragma once

#include <vector>

#include "policy/engine_model.h"

/// Which engine holds which layers. It answers to losses, returns and added engines with as few loads as it can:
/// engines that hold something useful keep it, empty ones fill gaps first and then double what one engine alone holds,
/// and an engine whose layers others hold too moves into a gap.
namespace chervilpulley::policy {

/// Share of an engine's memory that weights take at most; the rest holds requests. At 0.73 each kind of card of the
/// users' sheets keeps about 110,000 tokens.
inline constexpr double kWeightShare = 0.73;
/// The same where a layer has no holder at all: memory for a few requests is left.
inline constexpr double kDenseWeightShare = 0.92;

/// An engine as the plan sees it.
struct plan_engine
{
  backend_id mId;
  failure_domain_id mDomain;
  accelerator_kind mKind;
  layer_span mHeld;   ///< what it holds, or will hold when the order under way is done
  bool mBusy = false; ///< an order is under way: it can't be given another one
  bool mGone = false; ///< leaving, or believed lost: it counts for nothing and gets no order
};

struct layer_order
{
  backend_id mEngine;
  layer_span mRange;
};

/// Layers that an engine may hold.
std::uint32_t LayerCapacity(const engine_model& aModel, const accelerator_kind& aKind, double aWeightShare);

/// Orders that bring the engines nearer to a cover of every layer in each failure domain; empty when nothing is to do.
/// The same engines in any order give the same orders.
std::vector<layer_order> PlanLayers(const engine_model& aModel, std::vector<plan_engine> aEngines);

/// Layers of a failure domain that no engine holds; for reports.
std::uint32_t UncoveredLayers(const engine_model& aModel,
                              const std::vector<plan_engine>& aEngines,
                              const failure_domain_id& aDomain);

} // namespace chervilpulley::policy
