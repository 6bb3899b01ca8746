#pragma once

#include <optional>

#include "chervilpulley/policy_types.h"

/// Decides whether a request waits for capacity or is refused, and which request is served first. Guards against a
/// burst: after a restart of many gateways or the loss of a failure domain, requests that normally arrive over seconds
/// arrive at once, and most callers retry only once. Requests that can still be served on time go first; the others
/// are better served late than refused, as long as their turn comes in time. Within each group urgent requests get a
/// head start that waiting makes up for, so that no request starves in a lasting overload.
namespace chervilpulley::policy {

/// Share of the objective within which a request must be sent for its first event to be on time.
inline constexpr double kOnTimeShare = 0.6;
/// Head start over a request of the next lower priority, in objectives. Three steps equal the time within which a
/// request can be on time.
inline constexpr double kPriorityStep = 0.2;
/// The lowest priority that is distinguished, as in the engines.
inline constexpr std::uint32_t kLowestPriority = 9;

/// The queue as seen by a request that must wait.
struct queue_state
{
  std::size_t mAhead = 0;        ///< requests that are served earlier
  std::size_t mRunning = 0;      ///< running requests; each frees capacity for one that waits
  duration mTypicalRunTime{ 0 }; ///< average run time of a request
  duration mPermitWait{ 0 };     ///< until a server that names a limit takes the request; zero if another one does
};

/// The queue as found by a request.
struct queue_view
{
  std::size_t mAhead = 0; ///< waiting requests for the same pool that are served before it
  queue_state mState;     ///< from which it is decided whether the request may wait
};

/// A request that waits for capacity.
struct waiting_request
{
  instant mArrived;
  duration mObjective{ 0 };
  duration mPatience{ 0 };          ///< how long its caller waits for the complete response
  std::uint32_t mPriority = 0;      ///< 0 is the most urgent
  std::optional<std::size_t> mRank; ///< of requests under overload control; see policy/request_rank.h

  /// Whether the first event may still be within the objective.
  bool CanBeOnTime(instant aNow) const
  {
    return aNow - mArrived <= std::chrono::duration_cast<duration>(mObjective * kOnTimeShare);
  }
};

/// Predicted time until there is capacity for a request.
duration WaitForecast(const queue_state& aQueue);
/// Whether a request may wait; false means that it must be refused now.
bool MayWait(const waiting_request& aRequest, const queue_state& aQueue, instant aNow);
/// Whether the left request is served before the right one: by rank and age under overload control; otherwise requests
/// that can be on time first, then by age and priority. Requests without overload control come before those under it:
/// they are of other pools, or resume a stream that has begun.
bool IsServedBefore(const waiting_request& aLeft, const waiting_request& aRight, instant aNow);

/// Moving average of the run times of requests; a default before the first one.
class run_time_average
{
public:
  /// Adds the run time of a request that has ended.
  void Ran(duration aTime);
  duration Average() const;

private:
  duration mAverage{ 0 };
};

} // namespace chervilpulley::policy
