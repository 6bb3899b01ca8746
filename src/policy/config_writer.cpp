#include "policy/config_writer.h"

#include <utility>

namespace chervilpulley::policy {

namespace {

constexpr unsigned kMaxCreations = 256;

} // namespace

config_writer::config_writer(admin::change aChange, change_author aAuthor)
  : mChange(std::move(aChange))
  , mAuthor(std::move(aAuthor))
{
}

write_step config_writer::Start(const config_log& aLog)
{
  return Propose(aLog);
}

write_step config_writer::OnCreated(config_log& aLog)
{
  aLog.Accept(*mProposed);
  return Accepted(revision_number(mProposed->revision()), false);
}

write_step config_writer::OnAlreadyExists()
{
  return Read(revision_number(mProposed->revision()));
}

write_step config_writer::OnResponseLost()
{
  mMayBeCreated = true;
  return Read(revision_number(mProposed->revision()));
}

write_step config_writer::OnNotCreated(const std::string& aReason)
{
  return GiveUp(aReason);
}

write_step config_writer::OnRead(config_log& aLog, const std::optional<admin::log_entry>& aEntry)
{
  if (!aEntry) {
    if (mRefusal) {
      return Failed({ write_errc::Refused, mRefusal->mCode, aLog.Revision(), mRefusal->mMessage });
    }
    // A creation without a response may still take effect, so only the same entry may be retried.
    return mProposed ? Create() : Propose(aLog);
  }
  aLog.Accept(*aEntry);
  const revision_number revision(aEntry->revision());
  if (IsOwnEntry(*aEntry)) {
    return Accepted(revision, false);
  }
  if (mProposed && mProposed->revision() == aEntry->revision()) {
    mConflictingRevision = revision;
    mProposed.reset();
    mMayBeCreated = false;
  }
  mRefusal.reset();
  return Read(aLog.Revision().Next());
}

write_step config_writer::OnReadFailed(const std::string& aReason)
{
  return GiveUp(aReason);
}

write_step config_writer::Propose(const config_log& aLog)
{
  if (auto revision = aLog.AcceptedAt(change_id(mChange.change_id()))) {
    return Accepted(*revision, true);
  }
  auto entry = aLog.Propose(mChange, mAuthor);
  if (entry) {
    mProposed = std::move(entry.value());
    return Create();
  }
  if (mConflictingRevision) {
    const auto& refusal = entry.error();
    return Failed({ write_errc::Conflict,
                    refusal.mCode,
                    *mConflictingRevision,
                    "change \"" + mChange.change_id() + "\" came after revision " +
                      std::to_string(mConflictingRevision->Value()) + ": " + refusal.mMessage });
  }
  mRefusal = entry.error();
  return Read(aLog.Revision().Next());
}

write_step config_writer::Create()
{
  if (mCreations == kMaxCreations) {
    return GiveUp("the platform took none of " + std::to_string(kMaxCreations) + " writes");
  }
  ++mCreations;
  write_step step;
  step.mAction = write_step::action::Create;
  step.mEntry = *mProposed;
  step.mRevision = revision_number(mProposed->revision());
  return step;
}

write_step config_writer::Read(revision_number aRevision)
{
  write_step step;
  step.mAction = write_step::action::Read;
  step.mRevision = aRevision;
  return step;
}

write_step config_writer::Accepted(revision_number aRevision, bool aRepeated) const
{
  write_step step;
  step.mResult = accepted_change{ aRevision, aRepeated };
  return step;
}

write_step config_writer::Failed(write_error aError) const
{
  write_step step;
  step.mResult = std::move(aError);
  return step;
}

write_step config_writer::GiveUp(const std::string& aReason) const
{
  const std::string change = "change \"" + mChange.change_id() + "\" ";
  if (mMayBeCreated) {
    return Failed({ write_errc::Unknown, {}, {}, change + "may have taken effect, send it again: " + aReason });
  }
  return Failed({ write_errc::Unavailable, {}, {}, change + "has no effect: " + aReason });
}

bool config_writer::IsOwnEntry(const admin::log_entry& aEntry) const
{
  return aEntry.writer_nonce() == mAuthor.mWriterNonce && aEntry.change().change_id() == mChange.change_id();
}

} // namespace chervilpulley::policy
