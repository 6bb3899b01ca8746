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
class turn_queue : public ref_counted
{
public:
  /// A turn; it ends with the object.
  class turn
  {
  public:
    explicit turn(ref<turn_queue> aQueue);
    turn(turn&& aOther) noexcept = default;
    turn& operator=(turn&&) = delete;
    ~turn();

  private:
    ref<turn_queue> mQueue;
  };

  /// Waits for a turn; nothing when none comes within aTime. The caller must run on a strand.
  boost::asio::awaitable<std::optional<turn>> Take(duration aTime);

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
