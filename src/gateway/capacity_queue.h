#pragma once

#include <vector>

#include "gateway/request_context.h"
#include "policy/capacity_wait.h"

/// Queue of the streaming requests of one gateway that wait for capacity on engines. Under overload,
/// requests that can still be answered on time go first, by age and priority, and those that would wait too long are
/// refused.
namespace chervilpulley::gateway {

/// Waiting requests, and the average run time from which their waiting time is predicted.
class capacity_queue
{
public:
  explicit capacity_queue(const stream_list& aStreams)
    : mStreams(aStreams)
  {
  }

  /// Adds a request that found no capacity, or refuses it at once if it would be sent too late.
  void Add(const ref<stream_request>& aRequest, instant aNow);
  /// Sends waiting requests for which there is capacity now, and refuses those that would be sent too late.
  void TimePassed(instant aNow);
  /// Records how long a served request ran, from its last send to its end.
  void Ran(duration aTime) { mRunTime.Ran(aTime); }
  std::size_t Size() const { return mWaiting.size(); }
  /// The waiting requests under overload control, by pool.
  std::map<pool_name, std::vector<stream_demand>> RankedDemand(instant aNow) const;
  /// Number of waiting requests for the same pool that are served before this one.
  std::size_t Ahead(const stream_request& aRequest, instant aNow) const;
  /// The queue as a request that is not in it would find it; for explanations.
  policy::queue_view View(const pool_name& aPool, const policy::waiting_request& aRequest, instant aNow) const;
  /// Predicted time until there is capacity for a request behind all that wait now.
  duration Forecast() const { return policy::WaitForecast(QueueState(mWaiting.size())); }

private:
  std::size_t CountBefore(const pool_name& aPool,
                          const policy::waiting_request& aRequest,
                          const stream_request* aExcept,
                          instant aNow) const;
  /// The state of the queue as seen by a request with aAhead others before it.
  policy::queue_state QueueState(std::size_t aAhead) const;

  const stream_list& mStreams;
  std::vector<ref<stream_request>> mWaiting;
  policy::run_time_average mRunTime;
};

} // namespace chervilpulley::gateway
