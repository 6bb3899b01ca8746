#pragma once

#include <vector>

#include "gateway/request_context.h"
#include "policy/capacity_wait.h"

/// Requests of one gateway that wait for room on engines.
namespace chervilpulley::gateway {

class room_queue
{
public:
  explicit room_queue(const stream_list& aStreams)
    : mStreams(aStreams)
  {
  }

  /// Takes a request that found no room; it is refused at once when its turn would come too late.
  void Add(const ref<stream_request>& aRequest, instant aNow);
  /// Gives free room to those who wait, and refuses those whose turn has moved too far away.
  void TimePassed(instant aNow);
  /// A request ran from its first sending to its end in so long.
  void Ran(duration aTime) { mRunTime.Ran(aTime); }
  std::size_t Size() const { return mWaiting.size(); }
  /// Time until there is room for one who would stand behind all that wait.
  duration Forecast() const { return policy::WaitForecast(Room(mWaiting.size())); }

private:
  policy::queue_state Room(std::size_t aAhead) const;

  const stream_list& mStreams;
  std::vector<ref<stream_request>> mWaiting;
  policy::run_time_average mRunTime;
};

} // namespace chervilpulley::gateway
