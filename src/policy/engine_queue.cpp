#include "policy/engine_queue.h"

namespace chervilpulley::policy {

namespace {

/// A request without an event for less than this time need not be queued: prefill and the first pass take as long.
constexpr duration kMaxStartTime = std::chrono::milliseconds(100);

} // namespace

void engine_queue::Left(instant aAt)
{
  const auto found = mUnstarted.find(aAt);
  if (found != mUnstarted.end()) {
    mUnstarted.erase(found);
  }
}

duration engine_queue::Wait(instant aNow) const
{
  if (mUnstarted.empty()) {
    return duration::zero();
  }
  // Engines start requests in the order of their arrival, so a later one waits at least as long as the oldest has.
  const duration oldest = aNow - *mUnstarted.begin();
  return oldest < kMaxStartTime ? duration::zero() : oldest;
}

} // namespace chervilpulley::policy
