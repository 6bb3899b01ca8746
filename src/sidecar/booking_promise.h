#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/ref_counted.h"

/// A one-shot value for coroutines. Lets several calls with the same idempotency key wait for one run.
namespace chervilpulley::sidecar {

/// A value that is set once and awaited by any number of coroutines. Thread-safe.
template<class T>
class booking_promise : public ref_counted
{
public:
  /// Sets the value and resumes all waiters. Later calls have no effect.
  void Set(T aValue)
  {
    std::vector<std::function<void()>> waiters;
    {
      std::lock_guard lock(mMutex);
      if (mValue) {
        return;
      }
      mValue = std::move(aValue);
      waiters = std::exchange(mWaiters, {});
    }
    for (const auto& resume : waiters) {
      resume();
    }
  }

  /// Waits until the value is set and returns it.
  boost::asio::awaitable<T> Wait()
  {
    const ref<booking_promise> self(this);
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
      [this](auto aHandler) { AddWaiter(std::move(aHandler)); }, boost::asio::use_awaitable);
    std::lock_guard lock(mMutex);
    co_return *mValue;
  }

private:
  template<class Handler>
  void AddWaiter(Handler aHandler)
  {
    auto handler = std::make_shared<Handler>(std::move(aHandler));
    auto work = boost::asio::make_work_guard(boost::asio::get_associated_executor(*handler));
    std::function<void()> resume = [handler, work] { boost::asio::post(work.get_executor(), std::move(*handler)); };
    {
      std::lock_guard lock(mMutex);
      if (!mValue) {
        mWaiters.push_back(std::move(resume));
        return;
      }
    }
    resume();
  }

  std::mutex mMutex;
  std::optional<T> mValue;
  std::vector<std::function<void()>> mWaiters;
};

} // namespace chervilpulley::sidecar
