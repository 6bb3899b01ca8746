#pragma once

#include "gateway/fleet.h"
#include "gateway/peer_hints.h"
#include "gateway/request_context.h"
#include "policy/crash_record.h"

/// Keeps requests that end their servers away from more of them, together with the other gateways.
namespace chervilpulley::gateway {

class crash_watch : public ref_counted
{
public:
  crash_watch(ref<fleet> aFleet, ref<peer_hints> aHints);

  /// What makes two requests the same for this: method, target, workspace and body.
  static request_digest DigestOf(const admitted_request& aRequest);
  bool IsBlocked(request_digest aDigest) const { return mRecord.IsBlocked(aDigest); }
  /// A run was cut off before anything came of it.
  void RunInterrupted(request_digest aDigest, const policy::backend_member& aServer, instant aNow);
  void Served(request_digest aDigest);
  /// Looks at the servers whose runs were cut off; returns how many were found ended by a request.
  std::size_t TimePassed(instant aNow);

private:
  ref<fleet> mFleet;
  ref<peer_hints> mHints;
  policy::crash_record mRecord;
};

} // namespace chervilpulley::gateway
