#pragma once

#include <optional>
#include <vector>

#include "policy/engine_model.h"
#include "policy/interconnect_load.h"

/// Chooses the engines that a request passes through, each layer once and in order. Balances the load of engines,
/// respects the memory reserved for running requests, and avoids lost engines: it returns the cheapest path by the
/// published cost model over engines with memory for the whole request, within one failure domain if that has a path.
/// Under a load that fills the fastest engines, paths begin at other holders of the first layer, which are slower but
/// start requests in time.
namespace chervilpulley::policy {

/// Share of an engine's request memory that may be reserved, as prompt estimates are inexact and other gateways reserve
/// memory too.
inline constexpr double kReservableMemoryShare = 0.9;

/// Paths do not cross to another failure domain where a transfer would wait for longer: refusing a request at once does
/// less harm than stalling all streams on the interconnect.
inline constexpr fractional_ms kMaxInterconnectWait{ 150 };

/// An engine with a higher slowdown factor is used only if there is no other path. At this factor a load that normally
/// fills a third of an engine's time would queue there without bound.
inline constexpr double kMaxSlowdownFactor = 2.5;

/// Share of an engine's slots that may be taken by requests that start there, as requests of other gateways may be on
/// their way to it.
inline constexpr double kUsableSlotShare = 0.95;

/// An engine as path choice sees it.
struct path_engine
{
  backend_id mId;
  failure_domain_id mDomain;
  accelerator_kind mKind;
  layer_span mHeld;
  double mSlowdownFactor = 1;      ///< reported by the engine; 1 is normal speed
  double mReservedTokenLayers = 0; ///< memory reserved for running requests of all gateways
  double mRunning = 0;             ///< running requests of all gateways
  double mBegun = 0;               ///< of these, those whose path begins here
  fractional_ms mQueueWait{ 0 };   ///< wait of a request whose path begins here, before the engine starts it
  bool mUsable = true;
  bool mMayBegin = true; ///< a path may begin here
};

/// One stage of a path: an engine and the layers that it runs.
struct path_stage
{
  std::size_t mEngine = 0; ///< index into the engines
  layer_span mRange;
};

/// What a path is needed for.
struct path_request
{
  double mInputTokens = 0;  ///< tokens to prefill before the next one is generated
  double mOutputTokens = 0; ///< expected number of generated tokens
  failure_domain_id mHome;  ///< preferred failure domain
  interconnect_waits mInterconnectWaits;
  std::optional<layer_span> mSpan; ///< only these layers, when a stage of a running path is replaced; else all
  /// Failure domains of the stages next to the span; hops to and from them may cross an interconnect too.
  std::optional<failure_domain_id> mDomainBefore;
  std::optional<failure_domain_id> mDomainAfter;
  /// Wait at the first engine beyond which the first event is late.
  fractional_ms mMaxQueueWait = fractional_ms::max();
  bool mFastEnginesOnly = false; ///< prefer no path to one through an engine that is too slow
};

/// Memory beside the weights for requests, in tokens x layers.
double MemoryForRequests(const engine_model& aModel, const accelerator_kind& aKind, layer_span aHeld);

/// Time for which the activations of this many tokens occupy the interconnect between two failure domains.
fractional_ms TransferTime(const engine_model& aModel, double aTokens);

/// Number of layers at which an engine has free memory for the whole request.
double LayersWithMemory(const engine_model& aModel, const path_engine& aEngine, const path_request& aRequest);

/// Whether a path may begin at an engine without exceeding its slots.
bool HasSlot(const engine_model& aModel, const path_engine& aEngine);

/// Predicted latency of a path.
struct path_cost
{
  fractional_ms mFirstToken{ 0 }; ///< queue of the first engine, prefill and the first decode step
  fractional_ms mTotal{ 0 };
};

/// A chosen path, with its predicted cost.
struct layer_path
{
  std::vector<path_stage> mStages;
  path_cost mCost;
};

/// Returns the cheapest path, or nullopt if no engines with free memory cover all layers.
std::optional<layer_path> ChoosePath(const engine_model& aModel,
                                     const std::vector<path_engine>& aEngines,
                                     const path_request& aRequest);

} // namespace chervilpulley::policy
