#pragma once

#include "chervilpulley/policy_types.h"

/// Whether a request that finds no room waits for it or is refused, and who is served first. It answers to a wave:
/// after a restart of many gateways, or the loss of a failure domain, as many requests as usually come in seconds stand
/// at the door at once, and most callers come back only once. Who can still be served on time goes first; who can't is
/// better served late than refused, as long as its turn comes in time. Among those of one kind the more urgent go
/// first, by a head start that waiting makes up for, so that in a lasting overload nobody starves.
namespace chervilpulley::policy {

/// Share of an objective within which a request is sent at least, so that its first event may be on time.
inline constexpr double kOnTimeShare = 0.6;
/// Head start of a request before one of the next lower priority, in objectives. Three steps are as much as the time
/// within which a request counts as fresh.
inline constexpr double kPriorityStep = 0.2;
/// The lowest priority that is told apart, as at engines.
inline constexpr std::uint32_t kLowestPriority = 9;

/// What a request that must wait sees before it.
struct queue_state
{
  std::size_t mAhead = 0;        ///< requests that are served before it
  std::size_t mRunning = 0;      ///< requests under way; each leaves its place to one that waits
  duration mTypicalRunTime{ 0 }; ///< for which one runs
};

/// A request that waits.
struct waiting_request
{
  instant mArrived;
  duration mObjective{ 0 };
  duration mPatience{ 0 };     ///< how long its caller waits for the whole answer
  std::uint32_t mPriority = 0; ///< 0 is the most urgent

  bool CanBeOnTime(instant aNow) const
  {
    return aNow - mArrived <= std::chrono::duration_cast<duration>(mObjective * kOnTimeShare);
  }
};

/// Time until there is room for a request.
duration WaitForecast(const queue_state& aRoom);
/// False when the request is to be refused now.
bool MayWait(const waiting_request& aRequest, const queue_state& aRoom, instant aNow);
/// Whether one is served before the other: fresh ones first, then by age and priority.
bool IsServedBefore(const waiting_request& aLeft, const waiting_request& aRight, instant aNow);

/// How long requests run: an average of the last ones, and a guess before the first.
class run_time_average
{
public:
  void Ran(duration aTime);
  duration Average() const;

private:
  duration mAverage{ 0 };
};

} // namespace chervilpulley::policy
