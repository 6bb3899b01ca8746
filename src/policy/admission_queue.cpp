#include "policy/admission_queue.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Cost of a prompt token, in output tokens.
constexpr double kPromptTokenCost = 0.125;
/// Retry-after time while the drain rate is unknown.
constexpr duration kUnknownRetryAfter = std::chrono::seconds(1);
constexpr duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr duration kMaxRetryAfter = std::chrono::minutes(2);

double Weight(const admission_request& aRequest)
{
  return std::max(kMinWeight, aRequest.mWeight);
}

double RequestCost(const admission_request& aRequest)
{
  return AdmissionCost(aRequest.mPromptTokens, aRequest.mOutputTokens);
}

std::size_t Level(const admission_request& aRequest)
{
  return std::min<std::size_t>(aRequest.mPriority, kPriorityLevels - 1);
}

duration Seconds(double aSeconds)
{
  return std::chrono::round<duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

double AdmissionCost(token_count aPromptTokens, token_count aOutputTokens)
{
  return 1.0 + static_cast<double>(aOutputTokens.Value()) +
         kPromptTokenCost * static_cast<double>(aPromptTokens.Value());
}

admission_queue::admission_queue(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

admission_queue::~admission_queue()
{
  mActiveQueues.clear();
  for (auto& entry : mQueues) {
    for (auto& level : entry.second.mLevels) {
      level.clear();
    }
  }
}

admission_queue::workspace_queue* admission_queue::Find(const workspace_id& aWorkspace)
{
  auto found = mQueues.find(aWorkspace);
  return found == mQueues.end() ? nullptr : &found->second;
}

const admission_queue::workspace_queue* admission_queue::Find(const workspace_id& aWorkspace) const
{
  auto found = mQueues.find(aWorkspace);
  return found == mQueues.end() ? nullptr : &found->second;
}

admission_queue::workspace_queue& admission_queue::FindOrCreate(const admission_request& aRequest, instant aNow)
{
  auto [found, opened] = mQueues.try_emplace(aRequest.mWorkspace);
  workspace_queue& queue = found->second;
  if (opened) {
    if (mActiveQueues.empty()) {
      mRate.Restarted(aNow);
    }
    queue.mWorkspace = aRequest.mWorkspace;
    mActiveQueues.push_back(queue);
  } else {
    mWeight -= queue.mWeight;
  }
  queue.mWeight = Weight(aRequest);
  mWeight += queue.mWeight;
  return queue;
}

double admission_queue::CostAhead(const admission_request& aRequest) const
{
  const workspace_queue* queue = Find(aRequest.mWorkspace);
  double ownAhead = 0.0;
  double own = 0.0;
  double otherWeight = mWeight;
  if (queue != nullptr) {
    for (std::size_t level = 0; level < kPriorityLevels; ++level) {
      own += queue->mCost[level];
      ownAhead += level >= Level(aRequest) ? queue->mCost[level] : 0.0;
    }
    otherWeight -= queue->mWeight;
  }
  // While ownAhead and the request itself are served, each other workspace is served at most its weighted share.
  const double otherCost = (ownAhead + RequestCost(aRequest)) * std::max(0.0, otherWeight) / Weight(aRequest);
  return ownAhead + std::min(mCost - own, otherCost);
}

duration admission_queue::PredictedWait(const admission_request& aRequest) const
{
  const double rate = mRate.PerSecond();
  return rate > 0.0 ? Seconds(CostAhead(aRequest) / (kForecastRateFraction * rate)) : duration(0);
}

bool admission_queue::HasCapacity(const admission_request& aRequest) const
{
  const std::size_t free = mCapacity - std::min(mCapacity, mWaiting.size());
  const workspace_queue* queue = Find(aRequest.mWorkspace);
  return free > 0 && (queue == nullptr || queue->mCount < free);
}

duration admission_queue::TimeUntilCapacity(const admission_request& aRequest) const
{
  const double rate = mRate.PerSecond();
  if (rate <= 0.0) {
    return kUnknownRetryAfter;
  }
  // One more request of the workspace fits once one of its own has been served, which takes a round.
  const workspace_queue* queue = Find(aRequest.mWorkspace);
  const double share = queue == nullptr ? 1.0 : queue->mWeight / mWeight;
  const double meanCost = mCost / static_cast<double>(std::max<std::size_t>(1, mWaiting.size()));
  return std::clamp(Seconds(meanCost / (rate * share)), kMinRetryAfter, kMaxRetryAfter);
}

std::optional<admission_error> admission_queue::Check(const admission_request& aRequest, instant aNow) const
{
  if (aRequest.mFirstTokenDeadline && aNow + aRequest.mFirstTokenAfterStart > *aRequest.mFirstTokenDeadline) {
    return admission_error{ admission_refusal::DeadlineUnreachable, std::nullopt };
  }
  if (!HasCapacity(aRequest)) {
    return admission_error{ admission_refusal::QueueFull, TimeUntilCapacity(aRequest) };
  }
  if (!aRequest.mFirstTokenDeadline) {
    return std::nullopt;
  }
  const instant firstToken = aNow + PredictedWait(aRequest) + aRequest.mFirstTokenAfterStart;
  const duration late = firstToken - *aRequest.mFirstTokenDeadline;
  if (late <= duration(0)) {
    return std::nullopt;
  }
  // The queue drains at the full measured rate while the forecast assumes only a fraction of it, so the forecast
  // shrinks faster than time passes.
  const duration retryAfter = Seconds(kForecastRateFraction * std::chrono::duration<double>(late).count());
  return admission_error{ admission_refusal::DeadlineMissed, std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter) };
}

result<admission_ticket, admission_error> admission_queue::Offer(const admission_request& aRequest, instant aNow)
{
  if (auto error = Check(aRequest, aNow)) {
    return *error;
  }
  workspace_queue& queue = FindOrCreate(aRequest, aNow);
  mLastTicket = mLastTicket.Next();
  queued_request& entry = mWaiting[mLastTicket];
  entry.mTicket = mLastTicket;
  entry.mQueue = &queue;
  entry.mLevel = Level(aRequest);
  entry.mCost = RequestCost(aRequest);
  entry.mDeadline = aRequest.mFirstTokenDeadline;
  queue.mLevels[entry.mLevel].push_back(entry);
  queue.mCost[entry.mLevel] += entry.mCost;
  ++queue.mCount;
  mCost += entry.mCost;
  return mLastTicket;
}

admission_queue::queued_request& admission_queue::Head(workspace_queue& aQueue)
{
  std::size_t level = kPriorityLevels - 1;
  while (aQueue.mLevels[level].empty()) {
    --level;
  }
  return aQueue.mLevels[level].front();
}

void admission_queue::Remove(queued_request& aWaiting)
{
  workspace_queue& queue = *aWaiting.mQueue;
  queue.mLevels[aWaiting.mLevel].erase(queue.mLevels[aWaiting.mLevel].iterator_to(aWaiting));
  queue.mCost[aWaiting.mLevel] -= aWaiting.mCost;
  --queue.mCount;
  mCost -= aWaiting.mCost;
  mWaiting.erase(admission_ticket(aWaiting.mTicket));
  if (queue.mCount > 0) {
    return;
  }
  mWeight -= queue.mWeight;
  mActiveQueues.erase(mActiveQueues.iterator_to(queue));
  mQueues.erase(workspace_id(queue.mWorkspace));
  if (mActiveQueues.empty()) {
    mCost = 0.0;
    mWeight = 0.0;
    mRate.Emptied();
  }
}

std::optional<admission_grant> admission_queue::Next(instant aNow)
{
  while (!mActiveQueues.empty()) {
    workspace_queue& queue = mActiveQueues.front();
    queued_request& head = Head(queue);
    const bool expired = head.mDeadline && *head.mDeadline < aNow;
    const bool alone = mActiveQueues.size() == 1;
    if (expired || alone || queue.mDeficit >= head.mCost) {
      const admission_grant grant{ head.mTicket, expired };
      if (!expired) {
        queue.mDeficit = std::max(0.0, queue.mDeficit - head.mCost);
        mRate.Drained(head.mCost, aNow);
      }
      Remove(head);
      return grant;
    }
    queue.mDeficit += kRoundQuantum * queue.mWeight;
    mActiveQueues.splice(mActiveQueues.end(), mActiveQueues, mActiveQueues.begin());
  }
  return std::nullopt;
}

bool admission_queue::Cancel(admission_ticket aTicket)
{
  auto found = mWaiting.find(aTicket);
  if (found == mWaiting.end()) {
    return false;
  }
  Remove(found->second);
  return true;
}

} // namespace chervilpulley::policy
