#include "policy/config_log.h"

#include <utility>

#include "chervilpulley/config.h"

namespace chervilpulley::policy {

std::optional<revision_number> config_log::AcceptedAt(const change_id& aChange) const
{
  auto found = mAcceptedAt.find(aChange.Str());
  if (found == mAcceptedAt.end()) {
    return std::nullopt;
  }
  return found->second;
}

change_result<admin::log_entry> config_log::Propose(const admin::change& aChange, const change_author& aAuthor) const
{
  const auto revision = mRevision.Next();
  BOOST_OUTCOME_TRYV(ApplyChecked(mObjects, aChange, revision.Value()));
  admin::log_entry entry;
  entry.set_revision(revision.Value());
  *entry.mutable_change() = aChange;
  entry.set_actor(aAuthor.mActor);
  entry.set_unix_ms(aAuthor.mTime.time_since_epoch().count());
  entry.set_writer_nonce(aAuthor.mWriterNonce);
  for (const auto& operation : aChange.operations()) {
    auto* previous = entry.add_previous();
    if (const auto* object = mObjects.Find(operation.ref().kind(), operation.ref().name()); object != nullptr) {
      *previous = *object;
    }
  }
  if (entry.ByteSizeLong() > kMaxObjectBytes) {
    return change_error{ change_errc::Invalid,
                         "change \"" + aChange.change_id() + "\" is " + std::to_string(entry.ByteSizeLong()) +
                           " bytes with what it replaces, allowed is " + std::to_string(kMaxObjectBytes) };
  }
  return entry;
}

accept_outcome config_log::Accept(const admin::log_entry& aEntry)
{
  const revision_number revision(aEntry.revision());
  if (aEntry.revision() <= mRevision.Value()) {
    return accept_outcome::AlreadyApplied;
  }
  if (revision != mRevision.Next()) {
    return accept_outcome::Gap;
  }
  ApplyAccepted(mObjects, aEntry.change(), revision.Value());
  mRevision = revision;
  Remember(aEntry.change().change_id(), revision);
  return accept_outcome::Applied;
}

admin::config_state config_log::State() const
{
  admin::config_state state;
  state.set_revision(mRevision.Value());
  for (const auto kind : kObjectKinds) {
    for (const auto* object : mObjects.List(kind)) {
      *state.add_objects() = *object;
    }
  }
  for (const auto& id : mRecentChangeIds) {
    state.add_recent_change_ids(id);
  }
  return state;
}

bool config_log::Install(const admin::config_state& aState)
{
  if (aState.revision() <= mRevision.Value()) {
    return false;
  }
  config_log installed;
  installed.mRevision = revision_number(aState.revision());
  installed.mObjects = config_objects::FromObjects(aState.objects());
  const auto count = static_cast<std::uint64_t>(aState.recent_change_ids_size());
  std::uint64_t revision = aState.revision() < count ? 0 : aState.revision() - count;
  for (const auto& id : aState.recent_change_ids()) {
    installed.Remember(id, revision_number(++revision));
  }
  *this = std::move(installed);
  return true;
}

void config_log::Remember(const std::string& aChangeId, revision_number aRevision)
{
  mRecentChangeIds.push_back(aChangeId);
  mAcceptedAt.emplace(aChangeId, aRevision);
  if (mRecentChangeIds.size() > kMaxRememberedChanges) {
    mAcceptedAt.erase(mRecentChangeIds.front());
    mRecentChangeIds.pop_front();
  }
}

} // namespace chervilpulley::policy
