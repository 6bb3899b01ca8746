#pragma once

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <mutex>
#include <optional>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/mailbox.h"

namespace chervilpulley::config {

/// Lets coroutines do something one after the other, in the order in which they asked. Thread-safe.
class async_mutex : public ref_counted
{
public:
  /// A guard; it ends with the object.
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

  /// Waits for a guard; nothing when none comes within aTimeout. The caller must run on a strand.
  boost::asio::awaitable<std::optional<guard>> Lock(duration aTimeout);

private:
  struct lock_granted
  {};
  using waiter = net::mailbox<lock_granted>;

  void Unlock();

  std::mutex mMutex;
  bool mLocked = false;
  std::deque<ref<waiter>> mWaiters;
};

} // namespace chervilpulley::config
