#include "config/async_mutex.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace chervilpulley::config {

async_mutex::guard::guard(ref<async_mutex> aOwner)
  : mOwner(std::move(aOwner))
{
}

async_mutex::guard::~guard()
{
  if (mOwner) {
    mOwner->Unlock();
  }
}

boost::asio::awaitable<std::optional<async_mutex::guard>> async_mutex::Lock(duration aTimeout)
{
  const ref<async_mutex> self(this);
  const auto deadline = Now() + aTimeout;
  const auto waiting = MakeRef<waiter>(co_await boost::asio::this_coro::executor);
  {
    std::lock_guard lock(mMutex);
    if (!std::exchange(mLocked, true)) {
      co_return guard(self);
    }
    mWaiters.push_back(waiting);
  }
  if (co_await waiting->Pop(deadline)) {
    co_return guard(self);
  }
  std::lock_guard lock(mMutex);
  const auto place = std::find(mWaiters.begin(), mWaiters.end(), waiting);
  if (place == mWaiters.end()) {
    co_return guard(self); // granted just as the wait timed out
  }
  mWaiters.erase(place);
  co_return std::nullopt;
}

void async_mutex::Unlock()
{
  std::lock_guard lock(mMutex);
  if (mWaiters.empty()) {
    mLocked = false;
    return;
  }
  mWaiters.front()->Push({});
  mWaiters.pop_front();
}

} // namespace chervilpulley::config
