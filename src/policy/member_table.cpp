#include "policy/member_table.h"

#include <algorithm>

namespace chervilpulley::policy {

void member_table::Listed(std::vector<backend_member> aMembers, instant aNow, std::optional<instant> aReturnedAt)
{
  std::map<backend_id, backend_member> listed;
  for (backend_member& member : aMembers) {
    const backend_id id = member.mId;
    listed.insert_or_assign(id, std::move(member));
  }
  for (const auto& [id, member] : mMembers) {
    if (!listed.contains(id)) {
      ScheduleRemoval(id, aNow, aReturnedAt);
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

void member_table::Removed(const backend_id& aId, instant aNow, std::optional<instant> aReturnedAt)
{
  if (mMembers.contains(aId)) {
    ScheduleRemoval(aId, aNow, aReturnedAt);
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

void member_table::ReturnLearned(instant aNow, std::optional<instant> aReturnedAt)
{
  for (auto& [id, removal] : mHeldRemovals) {
    removal.mUntil = std::min(removal.mUntil, aReturnedAt ? *aReturnedAt + mRelistTime : aNow);
  }
  TimePassed(aNow);
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

void member_table::ScheduleRemoval(const backend_id& aId, instant aNow, std::optional<instant> aReturnedAt)
{
  const instant until = aReturnedAt ? std::max(aNow, *aReturnedAt + mRelistTime) : aNow;
  mHeldRemovals.try_emplace(aId, held_removal{ aNow, until });
}

} // namespace chervilpulley::policy
