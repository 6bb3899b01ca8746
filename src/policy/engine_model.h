#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chervilpulley/policy_types.h"

/// What a pool of model engines publishes of itself: memory, layers, and how long its steps take.
namespace chervilpulley::policy {

/// A length of time with fractions, for cost models.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// Layers [mFrom, mEnd) of a model.
struct layer_span
{
  std::uint32_t mFrom = 0;
  std::uint32_t mEnd = 0;

  std::uint32_t Size() const { return mEnd - mFrom; }
  bool IsEmpty() const { return mEnd <= mFrom; }
  bool Holds(std::uint32_t aLayer) const { return mFrom <= aLayer && aLayer < mEnd; }
  bool operator==(const layer_span&) const = default;
};

/// A kind of accelerator.
struct accelerator_kind
{
  std::string mName;
  double mMemoryMb = 0;
  double mStepScale = 1;    ///< a step takes so many times the model's time
  double mPrefillScale = 1; ///< reading a prompt does
};

/// The cost model of one model on one pool of engines. Times are for all layers; a range takes its share.
struct engine_model
{
  std::uint32_t mLayers = 0;
  double mLayerMb = 0;
  double mBytesPerTokenAndLayer = 0; ///< memory that a request needs
  std::uint32_t mSlots = 1;          ///< requests at once
  std::uint32_t mStride = 1;         ///< token steps in one pass
  fractional_ms mStep{ 0 };
  fractional_ms mStepPerRequest{ 0 };
  fractional_ms mStepPerThousandContext{ 0 };
  double mPrefillTokensPerSecond = 1; ///< prompt tokens
  fractional_ms mPrefillPerMillionPairs{ 0 };
  double mActivationBytes = 0;           ///< between two parts of a path, per token
  double mInterconnectMbps = 0;          ///< what all share between two failure domains
  fractional_ms mInterconnectDelay{ 0 }; ///< between two failure domains, one way
  fractional_ms mLoadTime{ 0 };          ///< loading all layers
  std::uint32_t mMaxConcurrentLoads = 1;
  double mTypicalInputTokens = 0; ///< tokens, on average
  double mTypicalOutputTokens = 0;
  std::vector<accelerator_kind> mKinds;

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
