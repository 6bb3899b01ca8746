#include "config/turn_queue.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace chervilpulley::config {

turn_queue::turn::turn(ref<turn_queue> aQueue)
  : mQueue(std::move(aQueue))
{
}

turn_queue::turn::~turn()
{
  if (mQueue) {
    mQueue->Release();
  }
}

boost::asio::awaitable<std::optional<turn_queue::turn>> turn_queue::Take(duration aTime)
{
  const ref<turn_queue> self(this);
  const auto deadline = Now() + aTime;
  const auto waiting = MakeRef<waiter>(co_await boost::asio::this_coro::executor);
  {
    std::lock_guard lock(mMutex);
    if (!std::exchange(mBusy, true)) {
      co_return turn(self);
    }
    mWaiters.push_back(waiting);
  }
  if (co_await waiting->Pop(deadline)) {
    co_return turn(self);
  }
  std::lock_guard lock(mMutex);
  const auto place = std::find(mWaiters.begin(), mWaiters.end(), waiting);
  if (place == mWaiters.end()) {
    co_return turn(self); // granted at the last moment
  }
  mWaiters.erase(place);
  co_return std::nullopt;
}

void turn_queue::Release()
{
  std::lock_guard lock(mMutex);
  if (mWaiters.empty()) {
    mBusy = false;
    return;
  }
  mWaiters.front()->Push({});
  mWaiters.pop_front();
}

} // namespace chervilpulley::config
