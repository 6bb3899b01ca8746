#include "admin/admin_calls.h"

#include <fmt/format.h>

#include "admin/key_hashes.h"
#include "admin/listing.h"
#include "base/log.h"
#include "policy/config_rules.h"

namespace chervilpulley::admin {

namespace {

constexpr part_log kLog("admin");
/// Longest wait for the next change before a watch checks whether it has ended.
constexpr duration kWatchStep = std::chrono::milliseconds(250);
/// Maximum number of tries of a change whose expected versions were filled in here.
constexpr int kMaxTries = 3;
constexpr std::size_t kMaxChangeIdChars = 128;
constexpr int kMaxOperations = 1000;

admin_error Invalid(std::string aText)
{
  return { admin_errc::Invalid, std::move(aText) };
}

admin_result<void> CheckChange(const apply_request& aRequest)
{
  const change& requested = aRequest.change();
  if (requested.change_id().empty() && !aRequest.validate_only()) {
    return Invalid("a change needs a change id");
  }
  if (requested.change_id().size() > kMaxChangeIdChars) {
    return Invalid(fmt::format("a change id has at most {} characters", kMaxChangeIdChars));
  }
  if (requested.operations().empty()) {
    return Invalid(fmt::format("change \"{}\" has no operations", requested.change_id()));
  }
  if (requested.operations_size() > kMaxOperations) {
    return Invalid(fmt::format("change \"{}\" has more than {} operations", requested.change_id(), kMaxOperations));
  }
  return outcome::success();
}

admin_error WithChangeId(admin_error aError, const std::string& aChangeId)
{
  if (aError.mCode == admin_errc::Unknown) {
    aError.mMessage = fmt::format(
      "the outcome of change \"{}\" is unknown, send the same change id again: {}", aChangeId, aError.mMessage);
  }
  return aError;
}

apply_reply ReplyOf(const applied_change& aApplied)
{
  apply_reply reply;
  reply.set_revision(aApplied.mRevision.Value());
  reply.set_spread_pending(aApplied.mPropagationPending);
  reply.set_repeated(aApplied.mRepeated);
  return reply;
}

} // namespace

admin_calls::admin_calls(admin_backend& aBackend, std::string aBootstrapKey)
  : mBackend(aBackend)
  , mBootstrapKey(std::move(aBootstrapKey))
{
}

admin_result<principal> admin_calls::Caller(std::string_view aAuthorization)
{
  return Authenticate(*mBackend.View(), mBootstrapKey, aAuthorization);
}

admin_result<applied_change> admin_calls::ApplyKeepingHashes(const change& aChange, const std::string& aActor)
{
  for (int tries = 1;; ++tries) {
    change filled = aChange;
    const bool mayRetry = KeepKeyHashes(filled, *mBackend.View()) && tries < kMaxTries;
    auto applied = mBackend.Apply(filled, aActor);
    if (applied || applied.error().mCode != admin_errc::Conflict || !mayRetry) {
      return applied;
    }
  }
}

admin_result<applied_change> admin_calls::Validate(const change& aChange)
{
  change filled = aChange;
  KeepKeyHashes(filled, *mBackend.View());
  return mBackend.Validate(filled);
}

admin_result<apply_reply> admin_calls::Apply(std::string_view aAuthorization, const apply_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckApply(caller, aRequest.change()));
  BOOST_OUTCOME_TRYV(CheckChange(aRequest));
  if (aRequest.validate_only()) {
    BOOST_OUTCOME_TRY(const applied_change valid, Validate(aRequest.change()));
    return ReplyOf(valid);
  }
  const std::string& id = aRequest.change().change_id();
  const auto applied = ApplyKeepingHashes(aRequest.change(), caller.mName);
  if (!applied) {
    kLog.Info("Change \"{}\" of \"{}\" was not accepted: {}.", id, caller.mName, applied.error().mMessage);
    return WithChangeId(applied.error(), id);
  }
  kLog.Info("Change \"{}\" of \"{}\" is revision {}.", id, caller.mName, applied.value().mRevision.Value());
  return ReplyOf(applied.value());
}

admin_result<get_reply> admin_calls::Get(std::string_view aAuthorization, const get_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckGet(caller, aRequest.ref()));
  const auto view = mBackend.View();
  const object* found = view->Find(aRequest.ref());
  if (found == nullptr) {
    return admin_error{ admin_errc::NotFound, policy::Describe(aRequest.ref()) + " does not exist" };
  }
  get_reply reply;
  reply.set_revision(view->Revision().Value());
  *reply.mutable_object() = *found;
  RemoveKeyHashes(*reply.mutable_object());
  return reply;
}

admin_result<list_reply> admin_calls::List(std::string_view aAuthorization, const list_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckList(caller, aRequest));
  return ListObjects(*mBackend.View(), aRequest);
}

admin_result<audit_reply> admin_calls::Audit(std::string_view aAuthorization, const audit_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckInspect(caller, "audit trail"));
  BOOST_OUTCOME_TRY(log_page page,
                    mBackend.Log(revision_number(aRequest.after_revision()), BoundedPageSize(aRequest.page_size())));
  audit_reply reply;
  reply.set_head_revision(page.mHead.Value());
  for (log_entry& each : page.mEntries) {
    MaskKeyHashes(each);
    *reply.add_entries() = std::move(each);
  }
  return reply;
}

admin_result<rollout_reply> admin_calls::GetRollout(std::string_view aAuthorization, const rollout_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckInspect(caller, "rollout"));
  return mBackend.Rollout(revision_number(aRequest.revision()));
}

admin_result<drain_reply> admin_calls::Drain(std::string_view aAuthorization, const drain_request& aRequest)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckDrain(caller));
  if (aRequest.instance().empty()) {
    return Invalid("a drain needs the instance");
  }
  BOOST_OUTCOME_TRY(const std::uint32_t running, mBackend.Drain(instance_id(aRequest.instance()), aRequest.undo()));
  kLog.Info("\"{}\" {} instance \"{}\".", caller.mName, aRequest.undo() ? "undrained" : "drained", aRequest.instance());
  drain_reply reply;
  reply.set_running(running);
  return reply;
}

admin_result<status_reply> admin_calls::Status(std::string_view aAuthorization, const status_request&)
{
  BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
  BOOST_OUTCOME_TRYV(CheckInspect(caller, "status"));
  return mBackend.Status();
}

admin_result<void> admin_calls::Watch(std::string_view aAuthorization,
                                      const watch_request& aRequest,
                                      const entry_sink& aSink,
                                      const std::function<bool()>& aIsOver)
{
  revision_number after(aRequest.after_revision());
  while (!aIsOver()) {
    // Authenticates on each step, so that the watch ends when its key is removed.
    BOOST_OUTCOME_TRY(const principal caller, Caller(aAuthorization));
    BOOST_OUTCOME_TRYV(CheckInspect(caller, "audit trail"));
    if (mBackend.WaitForChange(after, kWatchStep) <= after) {
      continue;
    }
    BOOST_OUTCOME_TRY(log_page page, mBackend.Log(after, kDefaultPageSize));
    for (log_entry& each : page.mEntries) {
      after = revision_number(each.revision());
      MaskKeyHashes(each);
      if (!aSink(each)) {
        return outcome::success();
      }
    }
  }
  return outcome::success();
}

} // namespace chervilpulley::admin
