#include "policy/crash_suspects.h"

#include <algorithm>

namespace chervilpulley::policy {

namespace {

/// Level of a request after another crash; aAlone: nothing else ran on the server.
suspicion AfterCrash(suspicion aLevel, bool aAlone)
{
  switch (aLevel) {
    case suspicion::None:
      return suspicion::Suspect;
    case suspicion::Suspect:
      return aAlone ? suspicion::Refused : suspicion::Isolated;
    default:
      return aAlone ? suspicion::Refused : aLevel;
  }
}

} // namespace

crash_suspects::crash_suspects(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

crash_suspects::~crash_suspects()
{
  for (suspect_list& list : mByLevel) {
    list.clear();
  }
}

void crash_suspects::Forget(suspect_entry& aSuspectEntry)
{
  suspect_list& list = ListOf(aSuspectEntry.mLevel);
  list.erase(list.iterator_to(aSuspectEntry));
  mSuspects.erase(request_digest(aSuspectEntry.mDigest));
}

void crash_suspects::Expire(instant aNow)
{
  for (suspect_list& list : mByLevel) {
    while (!list.empty() && list.front().mUntil <= aNow) {
      Forget(list.front());
    }
  }
}

void crash_suspects::EvictIfFull()
{
  auto lowest = std::find_if(mByLevel.begin(), mByLevel.end(), [](const auto& aList) { return !aList.empty(); });
  if (mSuspects.size() >= mCapacity && lowest != mByLevel.end()) {
    Forget(lowest->front());
  }
}

void crash_suspects::Set(request_digest aDigest, suspicion aLevel, instant aUntil)
{
  auto found = mSuspects.find(aDigest);
  if (found != mSuspects.end()) {
    aLevel = std::max(aLevel, found->second.mLevel);
    aUntil = std::max(aUntil, found->second.mUntil);
    Forget(found->second);
  }
  EvictIfFull();
  suspect_entry& entry = mSuspects[aDigest];
  entry.mDigest = aDigest;
  entry.mLevel = aLevel;
  entry.mUntil = aUntil;
  suspect_list& list = ListOf(aLevel);
  auto place = list.end();
  while (place != list.begin() && std::prev(place)->mUntil > aUntil) {
    --place;
  }
  list.insert(place, entry);
}

suspicion crash_suspects::Level(request_digest aDigest, instant aNow)
{
  Expire(aNow);
  auto found = mSuspects.find(aDigest);
  return found == mSuspects.end() ? suspicion::None : found->second.mLevel;
}

bool crash_suspects::IsReservedFor(request_digest aDigest, instant aNow) const
{
  return aNow < mReservedUntil && mReservedFor == aDigest;
}

bool crash_suspects::IsSuspectRunning(instant aNow)
{
  return std::any_of(
    mRunning.begin(), mRunning.end(), [&](const auto& aEntry) { return Level(aEntry.first, aNow) != suspicion::None; });
}

start_verdict crash_suspects::CheckIsolated(request_digest aDigest, instant aNow)
{
  if (mRunningCount == 0) {
    return start_verdict::Start;
  }
  if (aNow >= mReservedUntil) {
    mReservedFor = aDigest;
    mReservedUntil = aNow + kIsolationReserveTime;
  }
  return start_verdict::Deferred;
}

start_verdict crash_suspects::Check(request_digest aDigest, bool aSuspect, instant aNow)
{
  suspicion level = Level(aDigest, aNow);
  if (level == suspicion::Refused) {
    return start_verdict::Refused;
  }
  if (level == suspicion::None && aSuspect) {
    Set(aDigest, suspicion::Suspect, aNow + kSuspicionTime);
    level = suspicion::Suspect;
  }
  if (mIsolatedRuns || (aNow < mReservedUntil && !IsReservedFor(aDigest, aNow))) {
    return start_verdict::Deferred;
  }
  if (level == suspicion::Isolated) {
    return CheckIsolated(aDigest, aNow);
  }
  const bool mustWait = level == suspicion::Suspect && IsSuspectRunning(aNow);
  return mustWait ? start_verdict::Deferred : start_verdict::Start;
}

void crash_suspects::Started(request_digest aDigest, instant aNow)
{
  if (Level(aDigest, aNow) == suspicion::Isolated) {
    mIsolatedRuns = true;
    mIsolatedDigest = aDigest;
  }
  if (IsReservedFor(aDigest, aNow)) {
    mReservedUntil = instant();
  }
  ++mRunning[aDigest];
  ++mRunningCount;
}

void crash_suspects::Finished(request_digest aDigest, bool aCompleted)
{
  auto running = mRunning.find(aDigest);
  if (running == mRunning.end()) {
    return;
  }
  --mRunningCount;
  if (--running->second == 0) {
    mRunning.erase(running);
  }
  if (mIsolatedRuns && mIsolatedDigest == aDigest) {
    mIsolatedRuns = false;
  }
  if (aCompleted) {
    Cleared(aDigest);
  }
}

void crash_suspects::Cleared(request_digest aDigest)
{
  auto found = mSuspects.find(aDigest);
  if (found != mSuspects.end() && found->second.mLevel != suspicion::Refused) {
    Forget(found->second);
  }
}

std::vector<suspect_report> crash_suspects::BackendCrashed(instant aNow)
{
  const bool alone = mRunning.size() == 1;
  std::vector<suspect_report> reports;
  for (const auto& entry : mRunning) {
    const suspicion level = CrashedElsewhere(entry.first, alone, aNow);
    reports.push_back({ entry.first, level, kSuspicionTime });
  }
  mRunning.clear();
  mRunningCount = 0;
  mIsolatedRuns = false;
  return reports;
}

suspicion crash_suspects::CrashedElsewhere(request_digest aDigest, bool aAlone, instant aNow)
{
  const suspicion level = AfterCrash(Level(aDigest, aNow), aAlone);
  Set(aDigest, level, aNow + kSuspicionTime);
  return level;
}

void crash_suspects::Merge(const suspect_report& aReport, instant aNow)
{
  Expire(aNow);
  if (aReport.mLevel == suspicion::None || aReport.mTimeLeft <= duration(0)) {
    return;
  }
  const suspicion level = std::min(aReport.mLevel, suspicion::Refused);
  Set(aReport.mDigest, level, aNow + std::min(aReport.mTimeLeft, kSuspicionTime));
}

std::vector<suspect_report> crash_suspects::Reports(instant aNow)
{
  Expire(aNow);
  std::vector<suspect_report> reports;
  reports.reserve(mSuspects.size());
  for (const auto& entry : mSuspects) {
    reports.push_back({ entry.first, entry.second.mLevel, entry.second.mUntil - aNow });
  }
  return reports;
}

} // namespace chervilpulley::policy
