#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

#include "chervilpulley/units.h"

namespace chervilpulley::standin {

/// Wakes coroutines that wait for a change of state. Not thread-safe: all users run on one thread.
class signal
{
public:
  /// Returns at the next NotifyAll() or at aDeadline, whichever comes first.
  boost::asio::awaitable<void> WaitUntil(instant aDeadline);
  void NotifyAll();

private:
  std::list<boost::asio::steady_timer*> mWaiters;
};

instant Now();
/// Returns at once if aTime is not positive.
boost::asio::awaitable<void> SleepFor(duration aTime);

} // namespace chervilpulley::standin
