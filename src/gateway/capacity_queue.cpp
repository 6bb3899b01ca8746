#include "gateway/capacity_queue.h"

#include <algorithm>

#include "gateway/stream_request.h"

namespace chervilpulley::gateway {

namespace {

/// Number of waiting requests that may find no capacity before the rest is not tried: small requests fit where a large
/// one does not, and each try costs a search for a path.
constexpr std::size_t kMaxMisses = 3;
/// The same under overload control, where most tries end at the quota without a search.
constexpr std::size_t kMaxRankedMisses = 6;

} // namespace

policy::queue_state capacity_queue::QueueState(std::size_t aAhead) const
{
  policy::queue_state state;
  state.mAhead = aAhead;
  state.mRunning = static_cast<std::size_t>(
    std::count_if(mStreams.begin(), mStreams.end(), [](const stream_request& aStream) { return aStream.IsRunning(); }));
  state.mTypicalRunTime = mRunTime.Average();
  return state;
}

std::size_t capacity_queue::Ahead(const stream_request& aRequest, instant aNow) const
{
  return CountBefore(aRequest.Pool(), aRequest.ToWaitingRequest(aNow), &aRequest, aNow);
}

policy::queue_view capacity_queue::View(const pool_name& aPool,
                                        const policy::waiting_request& aRequest,
                                        instant aNow) const
{
  return { CountBefore(aPool, aRequest, nullptr, aNow), QueueState(mWaiting.size()) };
}

std::size_t capacity_queue::CountBefore(const pool_name& aPool,
                                        const policy::waiting_request& aRequest,
                                        const stream_request* aExcept,
                                        instant aNow) const
{
  return static_cast<std::size_t>(std::count_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
    return aWaiting.get() != aExcept && aWaiting->IsWaiting() && aWaiting->Pool() == aPool &&
           policy::IsServedBefore(aWaiting->ToWaitingRequest(aNow), aRequest, aNow);
  }));
}

std::map<pool_name, std::vector<stream_demand>> capacity_queue::RankedDemand(instant aNow) const
{
  std::map<pool_name, std::vector<stream_demand>> demand;
  for (const ref<stream_request>& request : mWaiting) {
    if (request->IsWaiting() && request->IsRanked()) {
      demand[request->Pool()].push_back(request->Demand(aNow));
    }
  }
  return demand;
}

void capacity_queue::Add(const ref<stream_request>& aRequest, instant aNow)
{
  policy::queue_state state = QueueState(mWaiting.size());
  state.mPermitWait = aRequest->PermitWait(aNow);
  if (policy::MayWait(aRequest->ToWaitingRequest(aNow), state, aNow) && aRequest->StaysAdmitted(aNow)) {
    mWaiting.push_back(aRequest);
  } else {
    aRequest->RefuseForCapacity(aNow);
  }
}

void capacity_queue::TimePassed(instant aNow)
{
  if (mWaiting.empty()) {
    return;
  }
  std::vector<ref<stream_request>> waiting = std::exchange(mWaiting, {});
  std::stable_sort(waiting.begin(), waiting.end(), [&](const auto& aLeft, const auto& aRight) {
    return policy::IsServedBefore(aLeft->ToWaitingRequest(aNow), aRight->ToWaitingRequest(aNow), aNow);
  });
  std::size_t misses = 0;
  for (const ref<stream_request>& request : waiting) {
    if (!request->IsWaiting()) {
      continue;
    }
    if (misses < (request->IsRanked() ? kMaxRankedMisses : kMaxMisses)) {
      if (request->SendIfCapacity(aNow)) {
        continue;
      }
      ++misses;
    }
    Add(request, aNow);
  }
}

} // namespace chervilpulley::gateway
