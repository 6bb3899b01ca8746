#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "chervilpulley/policy_types.h"

/// Chooses the next stage of a pipeline, or a plain backend server, by the expected cost to finish the request. It
/// balances load although reports arrive late, and keeps the choosers from herding onto one instance.
namespace chervilpulley::policy {

/// State of one instance that could take the request, as known to the chooser.
struct route_candidate
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  layer_index mFirstLayer; ///< first layer held, inclusive
  layer_index mLastLayer;  ///< last layer held, inclusive
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mSlots = 0;               ///< requests that it runs at once; 0 when unknown
  duration mStep{ 0 };                    ///< typical time of one engine step, or of one call of a plain service
  duration mPrefillPerToken{ 0 };         ///< prefill time of one prompt token
  duration mCostToGo{ 0 };                ///< as reported, see CostToGo; 0 when unknown
  duration mLinkDelay{ 0 };               ///< one-way network delay
  duration mReportAge{ 0 };               ///< time since the figures above were measured
  std::uint32_t mInFlightSinceReport = 0; ///< sent by the chooser after the report was made
  std::uint32_t mInFlight = 0;            ///< sent by the chooser and not finished
  std::optional<duration> mJoinedFor;     ///< time since it joined; empty when it joined too long ago to be known
  bool mLeaving = false;
  bool mBackendUp = true;
  token_count mCachedTokens; ///< prompt tokens of this request that are in its prefix cache
  bool mPreferred = false;   ///< holds the state of an earlier attempt
  bool mAvoid = false;       ///< must not be chosen
};

/// Engine steps of a typical output.
inline constexpr double kTypicalSteps = 256.0;

/// The request for which an instance is chosen.
struct route_request
{
  layer_index mFirstLayer; ///< first layer that the chosen instance must run
  token_count mPromptTokens;
  double mSteps = kTypicalSteps; ///< engine steps that a typical request takes; 1 for a call of a plain service
};

/// Time over which a new instance is ramped up to its full share of the traffic.
inline constexpr duration kSlowStartTime = std::chrono::seconds(10);
/// Number of candidates drawn for one choice; the cheapest of them is chosen.
inline constexpr std::size_t kRouteChoices = 2;

/// Whether the candidate may take the request at all.
bool IsEligible(const route_candidate& aCandidate, const route_request& aRequest);

/// Values assumed where a candidate's own report is old or incomplete.
struct route_fallback
{
  double mLoadPerSlot = 0.0;   ///< average requests per batch slot, over all candidates
  double mMaxDownstream = 0.0; ///< longest time from a candidate's output to that of the last stage, in microseconds
};

/// Computes the fallback values from the eligible candidates.
route_fallback FallbackFor(std::span<const route_candidate> aCandidates, const route_request& aRequest);

/// Expected time until the chain of stages that starts at the candidate has produced the first token of the request:
/// link delay, wait behind the reported load and the requests sent since, prefill of uncached tokens, and the stages
/// after it. As a report ages, its load is replaced gradually by the average one. A candidate whose cost to go is
/// unknown may have no successor for the next layer, so the largest known downstream time is assumed for it.
duration ExpectedCost(const route_candidate& aCandidate,
                      const route_request& aRequest,
                      const route_fallback& aFallback);

/// Returns the index of the chosen candidate, or nothing when none is eligible. Candidates are drawn at random in
/// proportion to their speed, so that choosers which see the same outdated reports do not all choose the same one;
/// candidates that hold a state or a cached prefix of the request are always considered.
std::optional<std::size_t> ChooseRoute(std::span<const route_candidate> aCandidates,
                                       const route_request& aRequest,
                                       random_pair aRandom,
                                       std::size_t aChoices = kRouteChoices);

/// Load of an instance, from which it computes the cost to go that it advertises.
struct stage_load
{
  layer_index mLastLayer;        ///< last layer that it runs, inclusive
  std::uint32_t mLayerCount = 0; ///< layers of the model
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mSlots = 0; ///< requests that it runs at once; 0 when unknown
  duration mStep{ 0 };
};

/// Expected time for a request that arrives now to pass from the instance's first layer to the last layer of the model:
/// its own wait and step, plus the minimum over its eligible successors. Empty when no successor holds the next layer.
std::optional<duration> CostToGo(const stage_load& aOwn, std::span<const route_candidate> aSuccessors);

} // namespace chervilpulley::policy
