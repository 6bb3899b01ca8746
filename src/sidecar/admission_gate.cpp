#include "sidecar/admission_gate.h"

#include <boost/asio/post.hpp>

#include "base/clock.h"

namespace chervilpulley::sidecar {

namespace {

constexpr duration kRetryAfterWhenFull = std::chrono::milliseconds(500);

} // namespace

admission_gate::admission_gate(boost::asio::io_context& aContext,
                               gate_limits aLimits,
                               ref<metrics::process_metrics> aMetrics)
  : mContext(aContext)
  , mMaxRunning(aLimits.mMaxRunning)
  , mQueue(aLimits.mMaxQueued)
  , mMetrics(std::move(aMetrics))
{
}

gate_response admission_gate::Enter(const policy::admission_request& aRequest, bool aMayWait, start_callback aOnStart)
{
  std::lock_guard lock(mMutex);
  if (mRunning < mMaxRunning && mQueue.Size() == 0) {
    ++mRunning;
    mMetrics->QueueWait(duration(0));
    return gate_started{};
  }
  if (!aMayWait) {
    return policy::admission_error{ policy::admission_refusal::QueueFull, kRetryAfterWhenFull };
  }
  auto offered = mQueue.Offer(aRequest, Now());
  if (offered.has_error()) {
    mMetrics->Refusal(metrics::refusal_cause::Overloaded);
    return offered.error();
  }
  mWaiters.emplace(offered.value(), waiter{ std::move(aOnStart), Now() });
  return gate_waiting{ offered.value() };
}

void admission_gate::Leave()
{
  std::lock_guard lock(mMutex);
  --mRunning;
  StartWaiting();
}

void admission_gate::StartWaiting()
{
  while (mRunning < mMaxRunning) {
    const auto granted = mQueue.Next(Now());
    if (!granted) {
      return;
    }
    auto found = mWaiters.extract(granted->mTicket);
    mRunning += granted->mExpired ? 0 : 1;
    mMetrics->QueueWait(Now() - found.mapped().mSince);
    // Posted, because the caller may hold the lock of a request, which the callback locks too.
    boost::asio::post(
      mContext, [start = std::move(found.mapped().mOnStart), isExpired = granted->mExpired] { start(isExpired); });
  }
}

bool admission_gate::CancelWaiting(policy::admission_ticket aTicket)
{
  std::lock_guard lock(mMutex);
  mWaiters.erase(aTicket);
  return mQueue.Cancel(aTicket);
}

void admission_gate::SetMaxRunning(std::uint32_t aMaxRunning)
{
  std::lock_guard lock(mMutex);
  mMaxRunning = aMaxRunning;
  StartWaiting();
}

std::uint32_t admission_gate::MaxRunning() const
{
  std::lock_guard lock(mMutex);
  return mMaxRunning;
}

std::uint32_t admission_gate::Running() const
{
  std::lock_guard lock(mMutex);
  return mRunning;
}

std::uint32_t admission_gate::Waiting() const
{
  std::lock_guard lock(mMutex);
  return static_cast<std::uint32_t>(mQueue.Size());
}

} // namespace chervilpulley::sidecar
