#pragma once

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <mutex>
#include <optional>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/mailbox.h"

/// A mutex for coroutines, so that concurrent changes from one process don't compete for the same log revision.
namespace chervilpulley::config {

/// Mutex that suspends coroutines and is granted in the order of the calls to Lock. Thread-safe.
class async_mutex : public ref_counted
{
public:
  /// Holds the lock; the destructor releases it.
  class guard
  {
  public:
    explicit guard(ref<async_mutex> aOwner);
    guard(guard&& aOther) noexcept = default;
    guard& operator=(guard&&) = delete;
    ~guard();

  private:
    ref<async_mutex> mOwner;
  };

  /// Waits for the lock. Returns nothing on timeout. The caller must run on a strand.
  boost::asio::awaitable<std::optional<guard>> Lock(duration aTimeout);

private:
  /// Message to the first waiter: the lock is its own now.
  struct lock_granted
  {};
  using waiter = net::mailbox<lock_granted>;

  void Unlock();

  std::mutex mMutex;
  bool mLocked = false;
  std::deque<ref<waiter>> mWaiters;
};

} // namespace chervilpulley::config
