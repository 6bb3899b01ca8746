#pragma once

#include "gateway/fleet.h"
#include "gateway/peer_hints.h"
#include "gateway/request_context.h"
#include "policy/crash_record.h"

/// Detects requests that crash backend servers and blocks them before they crash more of them, together with the other
/// gateways.
namespace chervilpulley::gateway {

/// The crash record of this gateway, kept up to date by its own findings and by hints of other gateways.
class crash_watch : public ref_counted
{
public:
  crash_watch(ref<fleet> aFleet, ref<peer_hints> aHints);

  /// Identifies a request across retries and callers by its method, target, workspace and body.
  static request_digest DigestOf(const admitted_request& aRequest);
  /// Whether a request has crashed too many servers to run again.
  bool IsBlocked(request_digest aDigest) const { return mRecord.IsBlocked(aDigest); }
  /// Records a run that was interrupted before any output of it arrived.
  void RunInterrupted(request_digest aDigest, const policy::backend_member& aServer, instant aNow);
  /// Clears a request that was served, and notifies the other gateways if it was a suspect.
  void Served(request_digest aDigest);
  /// Checks the servers whose runs were interrupted; returns how many were found crashed by a request.
  std::size_t TimePassed(instant aNow);

private:
  ref<fleet> mFleet;
  ref<peer_hints> mHints;
  policy::crash_record mRecord;
};

} // namespace chervilpulley::gateway
