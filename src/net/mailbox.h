#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <mutex>
#include <optional>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"

namespace chervilpulley::net {

/// A queue of messages from any thread to one coroutine.
template<class Message>
class mailbox : public ref_counted
{
public:
  /// @param aExecutor strand of the coroutine that receives the messages.
  explicit mailbox(const boost::asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  /// Adds a message; thread-safe.
  void Push(Message aMessage)
  {
    bool wasEmpty = false;
    {
      std::lock_guard lock(mMutex);
      wasEmpty = mMessages.empty();
      mMessages.push_back(std::move(aMessage));
    }
    if (wasEmpty) {
      boost::asio::post(mTimer.get_executor(), [self = ref<mailbox>(this)] { self->mTimer.cancel(); });
    }
  }

  /// Waits for the next message; nullopt when none arrives before aDeadline. Only one coroutine may wait.
  boost::asio::awaitable<std::optional<Message>> Pop(instant aDeadline)
  {
    const ref<mailbox> self(this);
    while (true) {
      if (auto message = TryPop()) {
        co_return message;
      }
      if (std::chrono::steady_clock::now() >= aDeadline) {
        co_return std::nullopt;
      }
      mTimer.expires_at(aDeadline);
      // A Push() between TryPop() and the wait posts its cancel to this strand, so the cancel runs after the wait has
      // begun.
      co_await mTimer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

private:
  std::optional<Message> TryPop()
  {
    std::lock_guard lock(mMutex);
    if (mMessages.empty()) {
      return std::nullopt;
    }
    std::optional<Message> message(std::move(mMessages.front()));
    mMessages.pop_front();
    return message;
  }

  std::mutex mMutex;
  std::deque<Message> mMessages;
  boost::asio::steady_timer mTimer;
};

} // namespace chervilpulley::net
