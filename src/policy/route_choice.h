#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "chervilpulley/policy_types.h"

/// Choice of the next stage (or of a plain backend server) by expected cost to finish.
namespace chervilpulley::policy {

/// What is known of one instance that could take the request.
struct route_candidate
{
  instance_id mInstance;
  failure_domain_id mFailureDomain;
  layer_index mFirstLayer; ///< first layer held, inclusive
  layer_index mLastLayer;  ///< last layer held, inclusive
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mSlots = 0;               ///< requests that it runs at once; 0 when unknown
  duration mStep{ 0 };                    ///< usual time of one engine step, or of one call of a plain service
  duration mPrefillPerToken{ 0 };         ///< prefill time of one prompt token
  duration mCostToGo{ 0 };                ///< as reported; 0 when unknown
  duration mLinkDelay{ 0 };               ///< one way
  duration mReportAge{ 0 };               ///< since the figures above were true
  std::uint32_t mInFlightSinceReport = 0; ///< sent by the chooser after the report was made
  std::uint32_t mInFlight = 0;            ///< sent by the chooser and not finished
  std::optional<duration> mJoinedFor;     ///< time since it joined, when that is recent enough to be known
  bool mLeaving = false;
  bool mBackendUp = true;
  token_count mCachedTokens; ///< of this prompt, in its prefix cache
  bool mPreferred = false;   ///< holds the state of an earlier attempt
  bool mAvoid = false;       ///< must not be chosen
};

/// Engine steps of a usual answer.
inline constexpr double kTypicalSteps = 256.0;

/// What is to be placed.
struct route_request
{
  layer_index mFirstLayer; ///< first layer that the chosen instance must run
  token_count mPromptTokens;
  double mSteps = kTypicalSteps; ///< engine steps that a usual request takes; 1 for a call of a plain service
};

/// Time in which a new instance is ramped up to its full share.
inline constexpr duration kSlowStartTime = std::chrono::seconds(10);
/// Candidates drawn for one choice; the cheapest of them wins.
inline constexpr std::size_t kRouteChoices = 2;

/// Whether the candidate may take the request at all.
bool IsEligible(const route_candidate& aCandidate, const route_request& aRequest);

/// What is assumed where a candidate's own report is old or says nothing.
struct route_fallback
{
  double mLoadPerSlot = 0.0;   ///< requests per place in a batch, over all candidates
  double mMaxDownstream = 0.0; ///< longest time from a candidate's output to that of the last stage, in microseconds
};

/// The usual figures of the eligible candidates.
route_fallback FallbackFor(std::span<const route_candidate> aCandidates, const route_request& aRequest);

/// Expected time until the candidate's chain has produced the first token of the request: link, wait behind what was
/// reported and what was sent since, prefill of what is not cached, and the stages after it. As a report ages, its load
/// gives way to the usual one. A candidate whose cost to go is unknown may have no way on, so it counts as the worst.
duration ExpectedCost(const route_candidate& aCandidate,
                      const route_request& aRequest,
                      const route_fallback& aFallback);

/// Index of the chosen candidate, or nothing when none is eligible. Candidates are drawn at random in proportion to
/// their speed, so that choosers which see the same late reports do not all choose the same one; those that hold a
/// state or a cached prefix of the request always take part.
std::optional<std::size_t> ChooseRoute(std::span<const route_candidate> aCandidates,
                                       const route_request& aRequest,
                                       random_pair aRandom,
                                       std::size_t aChoices = kRouteChoices);

/// Load of the instance that advertises a cost to go.
struct stage_load
{
  layer_index mLastLayer;        ///< last layer that it runs, inclusive
  std::uint32_t mLayerCount = 0; ///< layers of the model
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mSlots = 0; ///< requests that it runs at once; 0 when unknown
  duration mStep{ 0 };
};

/// Expected time until a request that arrives now has passed from the instance's first layer to the last layer of the
/// model: its own wait and step, and the least over its eligible successors. Nothing when no successor holds the next
/// layer.
std::optional<duration> CostToGo(const stage_load& aOwn, std::span<const route_candidate> aSuccessors);

} // namespace chervilpulley::policy
