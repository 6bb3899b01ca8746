#pragma once

#include <optional>
#include <vector>

#include "policy/engine_model.h"
#include "policy/interconnect_load.h"

/// The engines that a request passes through, each layer once and in order. It answers to the load of engines, the
/// memory that running requests were promised, and lost engines: the cheapest path by the published cost model over
/// engines that have room for the whole request, inside one failure domain as long as that has a path.
namespace chervilpulley::policy {

/// Share of the memory for requests that may be promised; prompts' estimates err and other gateways promise too.
inline constexpr double kReservableMemoryShare = 0.9;

/// A path does not cross to another failure domain where its transfer would wait for longer: what is refused at once
/// does less harm than what stops all streams on the pipe.
inline constexpr fractional_ms kMaxInterconnectWait{ 150 };

/// Times the usual from which an engine is too slow for a path as long as there is another one. A work load that fills
/// a third of an engine's time, as the users' sheets give it, stands in a queue without end there.
inline constexpr double kMaxSlowdownFactor = 2.5;

/// An engine as path choice sees it.
struct path_engine
{
  backend_id mId;
  failure_domain_id mDomain;
  accelerator_kind mKind;
  layer_span mHeld;
  double mSlowdownFactor = 1;      ///< its own report: times the usual
  double mReservedTokenLayers = 0; ///< memory promised to running requests, all gateways together
  double mRunning = 0;             ///< requests that pass through it, all gateways together
  bool mUsable = true;
};

/// A part of a path.
struct path_stage
{
  std::size_t mEngine = 0; ///< index
  layer_span mRange;
};

struct path_request
{
  double mInputTokens = 0;  ///< tokens that must be read before the next one is written
  double mOutputTokens = 0; ///< tokens expected
  failure_domain_id mHome;
  interconnect_waits mInterconnectWaits;
  std::optional<layer_span> mSpan; ///< only these layers, as where a part of a running path is replaced; else all
  /// Where the parts next to the span are: what passes between them and the span may cross a pipe as well.
  std::optional<failure_domain_id> mDomainBefore;
  std::optional<failure_domain_id> mDomainAfter;
  bool mFastEnginesOnly = false; ///< no path is better than one through an engine that is too slow
};

/// Tokens x layers that an engine can hold beside its weights.
double MemoryForRequests(const engine_model& aModel, const accelerator_kind& aKind, layer_span aHeld);

/// Time for which one request takes the pipe between two failure domains.
fractional_ms TransferTime(const engine_model& aModel, double aTokens);

/// How long the parts of a path take.
struct path_cost
{
  fractional_ms mFirstToken{ 0 }; ///< reading the prompt and the first step
  fractional_ms mTotal{ 0 };
};

struct layer_path
{
  std::vector<path_stage> mStages;
  path_cost mCost;
};

/// The cheapest path, or nothing where no engines with room cover all layers.
std::optional<layer_path> ChoosePath(const engine_model& aModel,
                                     const std::vector<path_engine>& aEngines,
                                     const path_request& aWish);

} // namespace chervilpulley::policy
