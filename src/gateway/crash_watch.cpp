#include "gateway/crash_watch.h"

#include "base/clock.h"
#include "base/decision_log.h"
#include "base/random.h"

namespace chervilpulley::gateway {

crash_watch::crash_watch(ref<fleet> aFleet, ref<peer_hints> aHints)
  : mFleet(std::move(aFleet))
  , mHints(std::move(aHints))
{
  // Capturing this is safe: both objects live as long as the process.
  mHints->OnCrash([this](const policy::crash_finding& aFinding) { mRecord.Crashed(aFinding, Now()); },
                  [this](request_digest aDigest) { mRecord.Cleared(aDigest); });
}

request_digest crash_watch::DigestOf(const admitted_request& aRequest)
{
  // Unambiguous: only the body, which comes last, can contain a line end.
  return request_digest(StableHash(aRequest.mRequest.mMethod + "\n" + aRequest.mRequest.mTarget + "\n" +
                                   aRequest.mWorkspace + "\n" + aRequest.mRequest.mBody));
}

void crash_watch::RunInterrupted(request_digest aDigest, const policy::backend_member& aServer, instant aNow)
{
  mRecord.RunInterrupted(aDigest, { aServer.mId, aServer.mStartedAt }, aNow);
}

void crash_watch::Served(request_digest aDigest)
{
  if (mRecord.Cleared(aDigest)) {
    log_line(log_event::CrashSuspectCleared).Count("digest", aDigest.Value());
    mHints->NotifyCleared(aDigest);
  }
}

std::size_t crash_watch::TimePassed(instant aNow)
{
  const auto isUp = [&](const policy::server_start& aStart) {
    const auto* member = mFleet->Members().Find(aStart.mId);
    return member != nullptr && member->mStartedAt == aStart.mStartedAt;
  };
  const auto found = mRecord.TimePassed(isUp, aNow);
  for (const policy::crash_finding& finding : found) {
    log_line(log_event::CrashSuspected)
      .Count("digest", finding.mDigest.Value())
      .Text("backend", finding.mServer.mId.Str())
      .Count("started_at", finding.mServer.mStartedAt)
      .Text("condemned", mRecord.IsBlocked(finding.mDigest) ? "yes" : "no");
    mHints->NotifyCrash(finding);
  }
  return found.size();
}

} // namespace chervilpulley::gateway
