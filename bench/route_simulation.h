#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "policy/route_choice.h"

/// Simulates the queues of backend servers behind entries, to compare routing policies under load. There is no engine
/// and no network; start and end times are computed directly.
namespace bench {

/// One kind of accelerator.
struct accelerator
{
  double mStep;            ///< seconds of one step
  double mPrefillPerToken; ///< seconds
  std::size_t mSlots;      ///< requests in one batch
};

/// Size, load and delays of one comparison.
struct route_scenario
{
  std::string mName;
  std::size_t mEntries = 3;
  std::size_t mServers = 40;
  std::size_t mStages = 1; ///< pipeline stages; servers are assigned to them in turn
  std::size_t mDomains = 3;
  std::size_t mSubset = 40;
  std::vector<accelerator> mAccelerators;
  double mLoad = 0.9;         ///< offered load, as a fraction of the maximum request rate
  double mDeadline = 0.0;     ///< seconds to the first token after which a caller disconnects; 0: never
  double mSlowLink = 0.00025; ///< seconds, one way, into the last failure domain
  double mSeconds = 60.0;
  double mWarmUp = 20.0;
};

/// Results of one run.
struct route_outcome
{
  double mThroughput = 0.0;    ///< served requests per second, as a fraction of the maximum rate
  double mFirstTokenP95 = 0.0; ///< seconds
};

/// Returns the index of the chosen candidate. aTurn is kept between calls, for round robin.
using route_policy = std::function<std::size_t(const std::vector<chervilpulley::policy::route_candidate>&,
                                               const chervilpulley::policy::route_request&,
                                               std::size_t& aTurn,
                                               std::mt19937_64&)>;

/// Runs one scenario with one policy. With aWholeChain the entry chooses the servers of all stages from its own,
/// delayed reports of all servers; otherwise each stage chooses the next.
route_outcome RunRoutes(const route_scenario& aScenario, const route_policy& aPolicy, bool aWholeChain, unsigned aSeed);

} // namespace bench
