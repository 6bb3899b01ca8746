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
    explicit guard(ref<async_mutex> aQueue);
    guard(guard&& aOther) noexcept = default;
    guard& operator=(guard&&) = delete;
    ~guard();

  private:
    ref<async_mutex> mQueue;
  };

  /// Waits for a guard; nothing when none comes within aTime. The caller must run on a strand.
  boost::asio::awaitable<std::optional<guard>> Lock(duration aTime);

private:
  struct granted
  {};
  using waiter = net::mailbox<granted>;

  void Release();

  std::mutex mMutex;
  bool mBusy = false;
  std::deque<ref<waiter>> mWaiters;
};

} // namespace chervilpulley::config
