#pragma once

#include <chrono>

/// Units of time that all decisions use.
namespace chervilpulley {

/// A length of time.
using duration = std::chrono::microseconds;
/// A point on the steady clock; given to decisions, never read by them.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// A point on the calendar, for what is kept longer than a process.
using calendar_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace chervilpulley
