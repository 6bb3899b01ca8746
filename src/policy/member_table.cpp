#include "policy/member_table.h"

namespace chervilpulley::policy {

void member_table::Listed(std::vector<backend_member> aMembers, instant aNow)
{
  if (mIsLost) {
    mIsLost = false;
    mReturnEnds = aNow + mReturnTime;
  }
  std::map<backend_id, backend_member> listed;
  for (backend_member& member : aMembers) {
    const backend_id id = member.mId;
    listed.insert_or_assign(id, std::move(member));
  }
  for (const auto& [id, member] : mMembers) {
    if (!listed.contains(id)) {
      Hold(id, aNow);
    }
  }
  for (auto& [id, member] : listed) {
    mHeldUntil.erase(id);
    mMembers.insert_or_assign(id, std::move(member));
  }
  ++mVersion;
  TimePassed(aNow);
}

void member_table::Changed(backend_member aMember)
{
  mHeldUntil.erase(aMember.mId);
  const backend_id id = aMember.mId;
  mMembers.insert_or_assign(id, std::move(aMember));
  ++mVersion;
}

void member_table::Removed(const backend_id& aId, instant aNow)
{
  if (mMembers.contains(aId)) {
    Hold(aId, aNow);
    TimePassed(aNow);
  }
}

void member_table::ListLost()
{
  mIsLost = true;
}

void member_table::TimePassed(instant aNow)
{
  for (auto held = mHeldUntil.begin(); held != mHeldUntil.end();) {
    if (held->second > aNow) {
      ++held;
      continue;
    }
    mMembers.erase(held->first);
    held = mHeldUntil.erase(held);
    ++mVersion;
  }
}

const backend_member* member_table::Find(const backend_id& aId) const
{
  const auto found = mMembers.find(aId);
  return found == mMembers.end() ? nullptr : &found->second;
}

void member_table::Hold(const backend_id& aId, instant aNow)
{
  const instant until = mReturnEnds && *mReturnEnds > aNow ? *mReturnEnds : aNow;
  mHeldUntil.emplace(aId, until);
}

} // namespace chervilpulley::policy
