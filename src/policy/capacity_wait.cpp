#include "policy/capacity_wait.h"

#include <algorithm>
#include <utility>

namespace chervilpulley::policy {

namespace {

/// A request may always wait this share of its objective, whatever the forecast: capacity can become free at any time,
/// and most of the objective is left.
constexpr double kMinWaitShareOfObjective = 0.3;
/// Waiting may take this fraction (1/n) of a caller's patience; the response needs some seconds of the rest.
constexpr int kPatienceDivisor = 4;
/// Maximum wait in objectives: callers give up when they have seen no first event after four of them.
constexpr int kMaxWaitObjectives = 3;
/// Run time assumed before any request has run: 140 tokens at 20 ms.
constexpr duration kInitialRunTime = std::chrono::seconds(3);
/// The newest run time has the weight 1/n in the average.
constexpr int kAverageDivisor = 16;

/// Arrival time of a request of the highest priority that would have the same place in the queue.
instant AdjustedArrival(const waiting_request& aRequest)
{
  const double steps = std::min(aRequest.mPriority, kLowestPriority);
  return aRequest.mArrived + std::chrono::duration_cast<duration>(aRequest.mObjective * (kPriorityStep * steps));
}

} // namespace

duration WaitForecast(const queue_state& aQueue)
{
  const auto running = static_cast<duration::rep>(std::max<std::size_t>(1, aQueue.mRunning));
  return aQueue.mTypicalRunTime * static_cast<duration::rep>(aQueue.mAhead + 1) / running;
}

bool MayWait(const waiting_request& aRequest, const queue_state& aQueue, instant aNow)
{
  const duration waited = aNow - aRequest.mArrived;
  const duration maxWait = std::min(aRequest.mPatience / kPatienceDivisor, aRequest.mObjective * kMaxWaitObjectives);
  if (aQueue.mPermitWait > duration::zero() && waited + aQueue.mPermitWait > maxWait) {
    return false;
  }
  if (waited <= std::chrono::duration_cast<duration>(aRequest.mObjective * kMinWaitShareOfObjective)) {
    return true;
  }
  return waited + WaitForecast(aQueue) <= maxWait;
}

bool IsServedBefore(const waiting_request& aLeft, const waiting_request& aRight, instant aNow)
{
  if (aLeft.mRank && aRight.mRank) {
    return std::pair(*aLeft.mRank, aLeft.mArrived) < std::pair(*aRight.mRank, aRight.mArrived);
  }
  if (aLeft.mRank.has_value() != aRight.mRank.has_value()) {
    // Compared by age, requests with and without ranks would have no consistent order.
    return !aLeft.mRank.has_value();
  }
  const bool left = aLeft.CanBeOnTime(aNow);
  const bool right = aRight.CanBeOnTime(aNow);
  return left != right ? left : AdjustedArrival(aLeft) < AdjustedArrival(aRight);
}

void run_time_average::Ran(duration aTime)
{
  mAverage = mAverage > duration::zero() ? mAverage + (aTime - mAverage) / kAverageDivisor : aTime;
}

duration run_time_average::Average() const
{
  return mAverage > duration::zero() ? mAverage : kInitialRunTime;
}

} // namespace chervilpulley::policy
