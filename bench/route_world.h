#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "policy/route_choice.h"

/// Closed-form fakes of queues behind entries: no engine, no network, only start and end times.
namespace bench {

/// One kind of accelerator.
struct accelerator
{
  double mStep;            ///< seconds of one step
  double mPrefillPerToken; ///< seconds
  std::size_t mSlots;      ///< answers in one batch
};

/// Size, load and delays of one comparison.
struct route_scenario
{
  std::string mName;
  std::size_t mEntries = 3;
  std::size_t mServers = 40;
  std::size_t mStages = 1; ///< pipeline stages; servers are dealt to them in turn
  std::size_t mDomains = 3;
  std::size_t mSubset = 40;
  std::vector<accelerator> mKinds;
  double mLoad = 0.9;         ///< offered, as part of the bound
  double mDeadline = 0.0;     ///< seconds to the first token after which a caller has left; 0: never
  double mSlowLink = 0.00025; ///< one way, into the last failure domain
  double mSeconds = 60.0;
  double mWarmUp = 20.0;
};

/// What one run gave.
struct route_outcome
{
  double mThroughput = 0.0;    ///< served work per second, as part of the bound
  double mFirstTokenP95 = 0.0; ///< seconds
};

/// Chooses one of the candidates.
using route_policy = std::function<std::size_t(const std::vector<chervilpulley::policy::route_candidate>&,
                                               const chervilpulley::policy::route_request&,
                                               std::size_t& aTurn,
                                               std::mt19937_64&)>;

/// Runs one scenario with one policy. With aWholeChain the entry picks all stages from its own late reports of all
/// servers, instead of each stage picking the next.
route_outcome RunRoutes(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed);

} // namespace bench
