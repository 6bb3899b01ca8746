#pragma once

#include <chrono>

/// Time types used by all decisions.
namespace chervilpulley {

/// A length of time.
using duration = std::chrono::microseconds;
/// A time point of the steady clock. Decisions get it as an argument and never read the clock.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// A wall-clock time point, for data that outlives the process.
using calendar_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace chervilpulley
