#pragma once

#include <string>

#include "policy/engine_model.h"
#include "policy/member_table.h"

/// Engines and their model for tests of the gateway's fleet.
namespace chervilpulley {

/// A model of eight layers, of which a card of 16,000 MB holds all with half of its memory left for requests.
inline policy::engine_model EightLayerModel()
{
  policy::engine_model model;
  model.mLayers = 8;
  model.mLayerMb = 1000;
  model.mBytesPerTokenAndLayer = 4000;
  model.mStep = policy::fractional_ms(1);
  model.mPrefillTokensPerSecond = 100'000;
  model.mKinds.push_back({ "card", 16'000, 1, 1 });
  return model;
}

/// The list entry of an engine with such a card.
inline policy::backend_member EngineMember(const pool_name& aPool,
                                           const std::string& aId,
                                           const std::string& aDomain,
                                           policy::layer_span aHeld)
{
  policy::backend_member member;
  member.mId = backend_id(aId);
  member.mPool = aPool;
  member.mAddress = "127.0.0.1:" + std::to_string(9000 + std::hash<std::string>{}(aId) % 1000);
  member.mDomain = failure_domain_id(aDomain);
  member.mAccelerator = "card";
  member.mLayers = aHeld;
  member.mStartedAt = 1;
  return member;
}

} // namespace chervilpulley
