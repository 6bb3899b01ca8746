#include "gateway/room_queue.h"

#include <algorithm>

#include "gateway/stream_request.h"

namespace chervilpulley::gateway {

namespace {

/// Requests that may fail to find room before the rest is not tried: small ones fit where a big one does not, and each
/// try costs a search for a path.
constexpr std::size_t kMostMisses = 3;

} // namespace

policy::queue_state room_queue::Room(std::size_t aAhead) const
{
  policy::queue_state room;
  room.mAhead = aAhead;
  room.mRunning = static_cast<std::size_t>(
    std::count_if(mStreams.begin(), mStreams.end(), [](const stream_request& aStream) { return aStream.IsRunning(); }));
  room.mTypicalRunTime = mRunTime.Average();
  return room;
}

void room_queue::Add(const ref<stream_request>& aRequest, instant aNow)
{
  if (policy::MayWait(aRequest->AsWaiting(), Room(mWaiting.size()), aNow)) {
    mWaiting.push_back(aRequest);
  } else {
    aRequest->RefuseForRoom(aNow);
  }
}

void room_queue::TimePassed(instant aNow)
{
  if (mWaiting.empty()) {
    return;
  }
  std::vector<ref<stream_request>> waiting = std::exchange(mWaiting, {});
  std::stable_sort(waiting.begin(), waiting.end(), [&](const auto& aLeft, const auto& aRight) {
    return policy::IsServedBefore(aLeft->AsWaiting(), aRight->AsWaiting(), aNow);
  });
  std::size_t misses = 0;
  for (const ref<stream_request>& request : waiting) {
    if (!request->IsWaiting()) {
      continue;
    }
    if (misses < kMostMisses) {
      if (request->SendIfRoom(aNow)) {
        continue;
      }
      ++misses;
    }
    Add(request, aNow);
  }
}

} // namespace chervilpulley::gateway
