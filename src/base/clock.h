#pragma once

#include <ctime>

#include "chervilpulley/units.h"

/// The clocks. Only code with I/O reads them; the decisions in src/policy get the time as an argument.
namespace chervilpulley {

/// Current time of the steady clock.
inline instant Now()
{
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Current time of a clock that continues while the machine is suspended.
inline instant BootNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(
    std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Current wall-clock time.
inline calendar_time CalendarNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace chervilpulley
