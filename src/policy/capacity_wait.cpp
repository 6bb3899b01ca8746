#include "policy/capacity_wait.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// How long a request may wait whatever the forecast says: rooms are free by chance, and most of an objective is left.
constexpr double kChanceShareOfObjective = 0.3;
/// Part of a caller's patience that waiting may take; its answer takes some seconds of the rest.
constexpr int kPatienceParts = 4;
/// Objectives that waiting may take: callers were seen to leave when there was no first event after four of them.
constexpr int kMostObjectives = 3;
/// Time that a request is taken to run before one has: 140 tokens at 20 ms.
constexpr duration kFirstGuess = std::chrono::seconds(3);
/// Weight of the newest time in the average.
constexpr int kAverageParts = 16;

/// When a request of the highest priority would have come to stand where this one does.
instant Turn(const waiting_request& aRequest)
{
  const double steps = std::min(aRequest.mPriority, kLowestPriority);
  return aRequest.mArrived + std::chrono::duration_cast<duration>(aRequest.mObjective * (kPriorityStep * steps));
}

} // namespace

duration WaitForecast(const queue_state& aRoom)
{
  const auto places = static_cast<duration::rep>(std::max<std::size_t>(1, aRoom.mRunning));
  return aRoom.mTypicalRunTime * static_cast<duration::rep>(aRoom.mAhead + 1) / places;
}

bool MayWait(const waiting_request& aRequest, const queue_state& aRoom, instant aNow)
{
  const duration waited = aNow - aRequest.mArrived;
  if (waited <= std::chrono::duration_cast<duration>(aRequest.mObjective * kChanceShareOfObjective)) {
    return true;
  }
  const duration most = std::min(aRequest.mPatience / kPatienceParts, aRequest.mObjective * kMostObjectives);
  return waited + WaitForecast(aRoom) <= most;
}

bool IsServedBefore(const waiting_request& aLeft, const waiting_request& aRight, instant aNow)
{
  const bool left = aLeft.CanBeOnTime(aNow);
  const bool right = aRight.CanBeOnTime(aNow);
  return left != right ? left : Turn(aLeft) < Turn(aRight);
}

void run_time_average::Ran(duration aTime)
{
  mAverage = mAverage > duration::zero() ? mAverage + (aTime - mAverage) / kAverageParts : aTime;
}

duration run_time_average::Average() const
{
  return mAverage > duration::zero() ? mAverage : kFirstGuess;
}

} // namespace chervilpulley::policy
