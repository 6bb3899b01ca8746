#pragma once

#include "chervilpulley/units.h"

/// The clocks, read by the shells only; decisions are given the time.
namespace chervilpulley {

/// Now, on the steady clock.
inline instant Now()
{
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Now, on the calendar.
inline calendar_time CalendarNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace chervilpulley
