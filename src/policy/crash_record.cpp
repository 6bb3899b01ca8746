#include "policy/crash_record.h"

#include <algorithm>

namespace chervilpulley::policy {

void crash_record::RunInterrupted(request_digest aDigest, const server_start& aServer, instant aNow)
{
  if (mOpen.size() < kMaxCrashRecords) {
    mOpen.push_back({ { aDigest, aServer }, aNow });
  }
}

bool crash_record::Crashed(const crash_finding& aFinding, instant aNow)
{
  if (!mRecords.contains(aFinding.mDigest)) {
    MakeRoom();
  }
  record& known = mRecords[aFinding.mDigest];
  known.mLast = aNow;
  return known.mServers.insert(aFinding.mServer).second;
}

void crash_record::MakeRoom()
{
  if (mRecords.size() < kMaxCrashRecords) {
    return;
  }
  // Those with the fewest crashes go first, and of these the oldest: floods of innocent ones don't displace the others.
  mRecords.erase(std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
    const record& left = aLeft.second;
    const record& right = aRight.second;
    return left.mServers.size() != right.mServers.size() ? left.mServers.size() < right.mServers.size()
                                                         : left.mLast < right.mLast;
  }));
}

bool crash_record::Cleared(request_digest aDigest)
{
  std::erase_if(mOpen, [&](const open_run& aRun) { return aRun.mFinding.mDigest == aDigest; });
  return mRecords.erase(aDigest) > 0;
}

bool crash_record::IsBlocked(request_digest aDigest) const
{
  const auto found = mRecords.find(aDigest);
  return found != mRecords.end() && found->second.mServers.size() >= kMaxCrashes;
}

} // namespace chervilpulley::policy
