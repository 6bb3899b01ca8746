#pragma once

#include <cstdint>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"

/// Types that the decisions in src/policy share; chervilpulley/policy.h lists the decisions.
///
/// A decision is a value or a plain object without I/O, threads, clock or random source: time and random numbers are
/// arguments, observations go in by methods named after them, and actions come out as return values. An object is
/// guarded by its owner's lock; none has a lock of its own. Any harness can drive the code that the processes run.
namespace chervilpulley {

/// A number of tokens of prompt or answer.
using token_count = strong_number<struct token_count_tag>;
/// Digest of workspace, model and body of a request.
using request_digest = strong_number<struct digest_tag>;

/// Two independent random numbers, drawn by the caller for one decision.
struct random_pair
{
  std::uint64_t mFirst = 0;
  std::uint64_t mSecond = 0;
};

} // namespace chervilpulley
