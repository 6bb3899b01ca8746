#include "policy/member_table.h"

namespace chervilpulley::policy {

void member_table::Listed(std::vector<backend_member> aMembers, instant aNow)
{
  if (mIsListLost) {
    mIsListLost = false;
    mRelistDeadline = aNow + mRelistTime;
  }
  std::map<backend_id, backend_member> listed;
  for (backend_member& member : aMembers) {
    const backend_id id = member.mId;
    listed.insert_or_assign(id, std::move(member));
  }
  for (const auto& [id, member] : mMembers) {
    if (!listed.contains(id)) {
      ScheduleRemoval(id, aNow);
    }
  }
  for (auto& [id, member] : listed) {
    mHeldRemovals.erase(id);
    mMembers.insert_or_assign(id, std::move(member));
  }
  ++mVersion;
  TimePassed(aNow);
}

void member_table::Changed(backend_member aMember)
{
  mHeldRemovals.erase(aMember.mId);
  const backend_id id = aMember.mId;
  mMembers.insert_or_assign(id, std::move(aMember));
  ++mVersion;
}

void member_table::Removed(const backend_id& aId, instant aNow)
{
  if (mMembers.contains(aId)) {
    ScheduleRemoval(aId, aNow);
    TimePassed(aNow);
  }
}

void member_table::Discard(const backend_id& aId)
{
  mHeldRemovals.erase(aId);
  if (mMembers.erase(aId) > 0) {
    ++mVersion;
  }
}

void member_table::ListLost()
{
  mIsListLost = true;
}

void member_table::TimePassed(instant aNow)
{
  for (auto scheduled = mHeldRemovals.begin(); scheduled != mHeldRemovals.end();) {
    if (scheduled->second.mUntil > aNow) {
      ++scheduled;
      continue;
    }
    mMembers.erase(scheduled->first);
    scheduled = mHeldRemovals.erase(scheduled);
    ++mVersion;
  }
}

const backend_member* member_table::Find(const backend_id& aId) const
{
  const auto found = mMembers.find(aId);
  return found == mMembers.end() ? nullptr : &found->second;
}

void member_table::ScheduleRemoval(const backend_id& aId, instant aNow)
{
  const instant until = mRelistDeadline && *mRelistDeadline > aNow ? *mRelistDeadline : aNow;
  mHeldRemovals.try_emplace(aId, held_removal{ aNow, until });
}

} // namespace chervilpulley::policy
