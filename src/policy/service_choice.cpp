#include "policy/service_choice.h"

namespace chervilpulley::policy {

namespace {

/// A server in another failure domain counts as if it had this many more requests; this only breaks ties.
constexpr double kRemoteWorkPenalty = 0.25;
/// A server that fails all its requests counts as if it had this many more requests.
constexpr double kFailureWorkPenalty = 30;

} // namespace

std::optional<std::size_t> ChooseService(const std::vector<service_candidate>& aCandidates, std::uint64_t aRandom)
{
  std::optional<std::size_t> best;
  double leastWork = 0;
  for (std::size_t step = 0; step < aCandidates.size(); ++step) {
    const std::size_t index = (step + aRandom) % aCandidates.size();
    const service_candidate& candidate = aCandidates[index];
    if (!candidate.mUsable) {
      continue;
    }
    const double work =
      candidate.mRunning + (candidate.mIsLocal ? 0 : kRemoteWorkPenalty) + kFailureWorkPenalty * candidate.mFailures;
    const bool isBestListed = best && aCandidates[*best].mIsListed;
    if (!best || (candidate.mIsListed != isBestListed ? candidate.mIsListed : work < leastWork)) {
      best = index;
      leastWork = work;
    }
  }
  return best;
}

} // namespace chervilpulley::policy
