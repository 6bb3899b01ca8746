#include "config/config_replica.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace chervilpulley::config {

namespace {

constexpr std::size_t kMaxRetainedEntries = 2048;
constexpr std::size_t kMaxRetainedBytes = 4U << 20U;

} // namespace

config_replica::config_replica()
  : mView(MakeConfigView(revision_number(), {}))
{
}

ref<const config_view> config_replica::Current() const
{
  std::lock_guard lock(mMutex);
  return mView;
}

revision_number config_replica::Revision() const
{
  std::lock_guard lock(mMutex);
  return mLog.Revision();
}

policy::accept_outcome config_replica::Accept(const admin::log_entry& aEntry)
{
  {
    std::lock_guard lock(mMutex);
    const auto accepted = mLog.Accept(aEntry);
    if (accepted != policy::accept_outcome::Applied) {
      return accepted;
    }
    RetainEntry(aEntry);
    mView = MakeConfigView(mLog.Revision(), mLog.Objects());
  }
  Publish();
  return policy::accept_outcome::Applied;
}

bool config_replica::Install(const admin::config_state& aState)
{
  {
    std::lock_guard lock(mMutex);
    if (!mLog.Install(aState)) {
      return false;
    }
    mRetainedEntries.clear();
    mRetainedBytes = 0;
    mView = MakeConfigView(mLog.Revision(), mLog.Objects());
  }
  Publish();
  return true;
}

std::optional<std::vector<admin::log_entry>> config_replica::EntriesAfter(revision_number aAfter,
                                                                          std::size_t aLimit) const
{
  std::lock_guard lock(mMutex);
  if (aAfter.Value() >= mLog.Revision().Value()) {
    return std::vector<admin::log_entry>{};
  }
  if (mRetainedEntries.empty() || mRetainedEntries.front().revision() > aAfter.Value() + 1) {
    return std::nullopt;
  }
  const auto first = static_cast<std::ptrdiff_t>(aAfter.Value() + 1 - mRetainedEntries.front().revision());
  const auto count = std::min(aLimit, mRetainedEntries.size() - static_cast<std::size_t>(first));
  const auto begin = mRetainedEntries.begin() + first;
  return std::vector<admin::log_entry>(begin, begin + static_cast<std::ptrdiff_t>(count));
}

void config_replica::AddChangeCallback(change_callback aCallback)
{
  std::lock_guard lock(mCallbackMutex);
  mCallbacks.push_back(std::move(aCallback));
}

boost::asio::awaitable<revision_number> config_replica::WaitForRevisionAbove(revision_number aAfter, duration aTimeout)
{
  const ref<config_replica> self(this);
  const auto deadline = Now() + aTimeout;
  const auto waiting = MakeRef<waiter>(co_await boost::asio::this_coro::executor);
  {
    std::lock_guard lock(mMutex);
    mWaiters.push_back(waiting);
  }
  while (Revision().Value() <= aAfter.Value() && !mWaitsCanceled) {
    if (!co_await waiting->Pop(deadline)) {
      break;
    }
  }
  RemoveWaiter(waiting);
  co_return Revision();
}

void config_replica::CancelWaits()
{
  mWaitsCanceled = true;
  WakeWaiters();
}

void config_replica::WakeWaiters()
{
  std::vector<ref<waiter>> waiters;
  revision_number revision;
  {
    std::lock_guard lock(mMutex);
    waiters = mWaiters;
    revision = mLog.Revision();
  }
  for (const auto& waiting : waiters) {
    waiting->Push(revision);
  }
}

void config_replica::Publish()
{
  WakeWaiters();
  std::lock_guard lock(mCallbackMutex);
  const auto view = Current();
  if (view->Revision().Value() <= mPublishedRevision.Value()) {
    return;
  }
  mPublishedRevision = view->Revision();
  for (const auto& callback : mCallbacks) {
    callback(view);
  }
}

void config_replica::RetainEntry(const admin::log_entry& aEntry)
{
  mRetainedEntries.push_back(aEntry);
  mRetainedBytes += aEntry.ByteSizeLong();
  while (mRetainedEntries.size() > 1 &&
         (mRetainedEntries.size() > kMaxRetainedEntries || mRetainedBytes > kMaxRetainedBytes)) {
    mRetainedBytes -= mRetainedEntries.front().ByteSizeLong();
    mRetainedEntries.pop_front();
  }
}

void config_replica::RemoveWaiter(const ref<waiter>& aWaiter)
{
  std::lock_guard lock(mMutex);
  std::erase(mWaiters, aWaiter);
}

} // namespace chervilpulley::config
