#include "signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chervilpulley::standin {

namespace asio = boost::asio;

asio::awaitable<void> signal::WaitUntil(instant aDeadline)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDeadline);
  const auto self = mWaiters.insert(mWaiters.end(), &timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  mWaiters.erase(self);
}

void signal::NotifyAll()
{
  for (asio::steady_timer* timer : mWaiters) {
    timer->cancel();
  }
}

instant Now()
{
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

asio::awaitable<void> SleepFor(duration aTime)
{
  if (aTime <= duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chervilpulley::standin
