#pragma once

#include <set>

#include "chervilpulley/policy_types.h"

/// Estimates how long an engine keeps a new request waiting before it starts it. An engine queues requests when its
/// slots or its memory are taken, and gateways do not know what the others have sent to it: without an estimate, all of
/// them keep choosing the fastest engine while its queue grows and other holders of its layers stay idle. The requests
/// of this gateway that an engine has not started yet show the queue without a probe or a message.
namespace chervilpulley::policy {

/// The requests of one gateway that were sent to one engine and have produced no event yet.
class engine_queue
{
public:
  /// Adds a request that was sent.
  void Sent(instant aAt) { mUnstarted.insert(aAt); }
  /// Removes a request, sent at aAt, that has produced its first event or has ended.
  void Left(instant aAt);
  /// Predicted wait of a request that is sent now; zero while requests are started without a noticeable wait.
  duration Wait(instant aNow) const;

private:
  std::multiset<instant> mUnstarted; ///< send times
};

} // namespace chervilpulley::policy
