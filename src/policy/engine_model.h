#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chervilpulley/policy_types.h"

/// The cost model that a pool of model engines publishes: memory, layers and step times. Path choice, layer placement
/// and the Retry-After delay are computed from it.
namespace chervilpulley::policy {

/// Fractional milliseconds, for cost models.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// The half-open range [mFrom, mEnd) of a model's layers.
struct layer_span
{
  std::uint32_t mFrom = 0;
  std::uint32_t mEnd = 0;

  std::uint32_t Size() const { return mEnd - mFrom; }
  bool IsEmpty() const { return mEnd <= mFrom; }
  bool Holds(std::uint32_t aLayer) const { return mFrom <= aLayer && aLayer < mEnd; }
  bool operator==(const layer_span&) const = default;
};

/// A type of accelerator.
struct accelerator_kind
{
  std::string mName;
  double mMemoryMb = 0;
  double mStepScale = 1;    ///< factor on the model's step time
  double mPrefillScale = 1; ///< factor on the model's prefill time
};

/// The cost model of one model on one pool of engines. Times are for all layers; a range of layers takes its
/// proportion.
struct engine_model
{
  std::uint32_t mLayers = 0;
  double mLayerMb = 0;
  double mBytesPerTokenAndLayer = 0;          ///< memory that a request needs
  std::uint32_t mSlots = 0;                   ///< maximum number of requests that begin at an engine; 0 if unknown
  std::uint32_t mStride = 1;                  ///< decode steps per pass
  fractional_ms mStep{ 0 };                   ///< decode step without requests
  fractional_ms mStepPerRequest{ 0 };         ///< added to the step by each running request
  fractional_ms mStepPerThousandContext{ 0 }; ///< added by each running request per 1000 tokens of context
  double mPrefillTokensPerSecond = 1;
  fractional_ms mPrefillPerMillionPairs{ 0 }; ///< attention, per million pairs of tokens
  double mActivationBytes = 0;                ///< bytes per token between two stages of a path
  double mInterconnectMbps = 0;               ///< bandwidth between two failure domains, shared by all
  fractional_ms mInterconnectDelay{ 0 };      ///< one-way delay between two failure domains
  fractional_ms mLoadTime{ 0 };               ///< time to load all layers
  std::uint32_t mMaxConcurrentLoads = 1;
  double mTypicalInputTokens = 0; ///< average per request
  double mTypicalOutputTokens = 0;
  std::vector<accelerator_kind> mKinds;

  /// Returns the accelerator type of that name, or nullptr.
  const accelerator_kind* FindKind(const std::string& aName) const
  {
    for (const accelerator_kind& kind : mKinds) {
      if (kind.mName == aName) {
        return &kind;
      }
    }
    return nullptr;
  }
};

} // namespace chervilpulley::policy
