#include "policy/service_choice.h"

namespace chervilpulley::policy {

namespace {

/// A server in another failure domain counts as if it had so much more work; it only breaks ties.
constexpr double kFarWork = 0.25;
/// A server that fails all its requests counts as if it had so much more work.
constexpr double kFailureWork = 30;

} // namespace

std::optional<std::size_t> ChooseService(const std::vector<service_candidate>& aCandidates, std::uint64_t aRandom)
{
  std::optional<std::size_t> best;
  double least = 0;
  for (std::size_t step = 0; step < aCandidates.size(); ++step) {
    const std::size_t index = (step + aRandom) % aCandidates.size();
    const service_candidate& candidate = aCandidates[index];
    if (!candidate.mUsable) {
      continue;
    }
    const double work = candidate.mRunning + (candidate.mIsNear ? 0 : kFarWork) + kFailureWork * candidate.mFailures;
    if (!best || work < least) {
      best = index;
      least = work;
    }
  }
  return best;
}

} // namespace chervilpulley::policy
