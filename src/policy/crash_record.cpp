#include "policy/crash_record.h"

#include <algorithm>

namespace chervilpulley::policy {

void crash_record::RunInterrupted(request_digest aDigest, const server_start& aServer, instant aNow)
{
  if (mUnconfirmedRuns.size() < kMaxCrashRecords) {
    mUnconfirmedRuns.push_back({ { aDigest, aServer }, aNow });
  }
}

bool crash_record::Crashed(const crash_finding& aFinding, instant aNow)
{
  if (!mRecords.contains(aFinding.mDigest)) {
    EvictRecord();
  }
  record& known = mRecords[aFinding.mDigest];
  known.mLastCrashAt = aNow;
  return known.mServers.insert(aFinding.mServer).second;
}

void crash_record::EvictRecord()
{
  if (mRecords.size() < kMaxCrashRecords) {
    return;
  }
  // Evict the record with the fewest crashes, the oldest among equals, so that a flood of innocent requests does not
  // displace the harmful ones.
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
    const record& left = aLeft.second;
    const record& right = aRight.second;
    return left.mServers.size() != right.mServers.size() ? left.mServers.size() < right.mServers.size()
                                                         : left.mLastCrashAt < right.mLastCrashAt;
  }));
}

bool crash_record::Cleared(request_digest aDigest)
{
  std::erase_if(mUnconfirmedRuns, [&](const interrupted_run& aRun) { return aRun.mFinding.mDigest == aDigest; });
  return mRecords.erase(aDigest) > 0;
}

bool crash_record::IsBlocked(request_digest aDigest) const
{
  const auto found = mRecords.find(aDigest);
  return found != mRecords.end() && found->second.mServers.size() >= kMaxCrashes;
}

} // namespace chervilpulley::policy
