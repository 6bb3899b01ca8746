#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>

#include "admin/admin_backend.h"
#include "admin/policy_error.h"
#include "config/api_key.h"
#include "policy/config_log.h"

namespace chervilpulley::test {

/// Time of every entry of the audit trail.
inline constexpr std::int64_t kEntryUnixMs = 1'796'351'400'000;

/// An admin_backend over an in-memory log, with configurable errors.
class memory_backend : public admin::admin_backend
{
public:
  /// Errors that the next calls of Apply() return, in order.
  std::deque<admin::admin_error> mApplyErrors;
  /// Whether Apply() accepts the change even when it returns an error of mApplyErrors.
  bool mAcceptsDespiteError = false;
  /// Called once, before the next Apply().
  std::function<void()> mBeforeApply;
  /// Error that Log(), Rollout() and Status() return.
  std::optional<admin::admin_error> mReadError;

  ref<const config::config_view> View() override
  {
    std::lock_guard lock(mMutex);
    return config::MakeConfigView(mLog.Revision(), mLog.Objects());
  }

  admin::admin_result<admin::applied_change> Apply(const admin::change& aChange, const std::string& aActor) override
  {
    if (mBeforeApply) {
      std::exchange(mBeforeApply, nullptr)();
    }
    if (mApplyErrors.empty()) {
      return Write(aChange, aActor);
    }
    const admin::admin_error error = mApplyErrors.front();
    mApplyErrors.pop_front();
    if (mAcceptsDespiteError) {
      (void)Write(aChange, aActor);
    }
    return error;
  }

  admin::admin_result<admin::applied_change> Validate(const admin::change& aChange) override
  {
    std::lock_guard lock(mMutex);
    admin::change named = aChange;
    if (named.change_id().empty()) {
      named.set_change_id("validation");
    }
    const auto proposed = mLog.Propose(named, {});
    if (!proposed) {
      return admin::FromPolicy(proposed.error());
    }
    return admin::applied_change{ mLog.Revision() };
  }

  admin::admin_result<admin::log_page> Log(revision_number aAfter, std::size_t aLimit) override
  {
    std::lock_guard lock(mMutex);
    if (mReadError) {
      return *mReadError;
    }
    admin::log_page page;
    page.mHead = mLog.Revision();
    for (std::size_t i = aAfter.Value(); i < mEntries.size() && page.mEntries.size() < aLimit; ++i) {
      page.mEntries.push_back(mEntries[i]);
    }
    return page;
  }

  revision_number WaitForChange(revision_number aAfter, duration aTimeout) override
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aTimeout, [&] { return mLog.Revision() > aAfter; });
    return mLog.Revision();
  }

  admin::admin_result<admin::rollout_reply> Rollout(revision_number) override
  {
    if (mReadError) {
      return *mReadError;
    }
    admin::rollout_reply reply;
    reply.set_head_revision(View()->Revision().Value());
    reply.set_live(2);
    reply.set_in_force(1);
    AddInstance(reply, "e1", reply.head_revision());
    AddInstance(reply, "s1", 0);
    return reply;
  }

  admin::admin_result<std::uint32_t> Drain(const instance_id& aInstance, bool) override
  {
    if (aInstance != instance_id("s1")) {
      return admin::admin_error{ admin::admin_errc::NotFound, "instance \"" + aInstance.Str() + "\" does not exist" };
    }
    return 3U;
  }

  admin::admin_result<admin::status_reply> Status() override
  {
    if (mReadError) {
      return *mReadError;
    }
    admin::status_reply reply;
    reply.set_revision(View()->Revision().Value());
    reply.set_platform_up(true);
    auto* sidecar = reply.add_instances();
    sidecar->set_instance("s1");
    sidecar->set_role("sidecar");
    sidecar->set_failure_domain("f1");
    sidecar->set_pool("engines");
    sidecar->set_running(3);
    return reply;
  }

  std::size_t EntryCount()
  {
    std::lock_guard lock(mMutex);
    return mEntries.size();
  }

  admin::admin_result<admin::applied_change> Write(const admin::change& aChange, const std::string& aActor)
  {
    std::lock_guard lock(mMutex);
    if (const auto before = mLog.AcceptedAt(change_id(aChange.change_id()))) {
      return admin::applied_change{ *before, false, true };
    }
    const calendar_time now{ std::chrono::milliseconds(kEntryUnixMs) };
    auto proposed = mLog.Propose(aChange, { aActor, now, 1 });
    if (!proposed) {
      return admin::FromPolicy(proposed.error());
    }
    mLog.Accept(proposed.value());
    mEntries.push_back(proposed.value());
    mChanged.notify_all();
    return admin::applied_change{ mLog.Revision() };
  }

private:
  static void AddInstance(admin::rollout_reply& aReply, const std::string& aName, std::uint64_t aRevision)
  {
    auto* instance = aReply.add_instances();
    instance->set_instance(aName);
    instance->set_failure_domain("f1");
    instance->set_revision(aRevision);
    instance->set_age_ms(20);
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  policy::config_log mLog;
  std::vector<admin::log_entry> mEntries;
};

/// An operation that puts a workspace with one API key; without a key when aSecret is empty.
inline admin::operation PutWorkspace(const std::string& aName, std::uint32_t aWeight, const std::string& aSecret = "")
{
  admin::operation operation;
  operation.set_op(admin::CHANGE_OP_PUT);
  operation.mutable_ref()->set_kind(admin::OBJECT_KIND_WORKSPACE);
  operation.mutable_ref()->set_name(aName);
  auto* workspace = operation.mutable_object()->mutable_workspace();
  workspace->set_name(aName);
  workspace->set_weight(aWeight);
  if (!aSecret.empty()) {
    workspace->add_api_key_hashes(config::HashKey(aSecret));
  }
  return operation;
}

/// An operation that puts the key of an operator, reader or clerk.
inline admin::operation PutKey(const std::string& aName,
                               admin::role aRole,
                               const std::string& aSecret,
                               const std::string& aWorkspace = "")
{
  admin::operation operation;
  operation.set_op(admin::CHANGE_OP_PUT);
  operation.mutable_ref()->set_kind(admin::OBJECT_KIND_OPERATOR_KEY);
  operation.mutable_ref()->set_name(aName);
  auto* key = operation.mutable_object()->mutable_operator_key();
  key->set_name(aName);
  key->set_role(aRole);
  key->set_workspace(aWorkspace);
  key->set_key_hash(config::HashKey(aSecret));
  return operation;
}

/// An operation that puts a pool of plain services.
inline admin::operation PutPool(const std::string& aName)
{
  admin::operation operation;
  operation.set_op(admin::CHANGE_OP_PUT);
  operation.mutable_ref()->set_kind(admin::OBJECT_KIND_POOL);
  operation.mutable_ref()->set_name(aName);
  operation.mutable_object()->mutable_pool()->set_name(aName);
  operation.mutable_object()->mutable_pool()->set_kind(admin::BACKEND_KIND_SERVICE);
  return operation;
}

/// An operation that puts a route to the pool "rota".
inline admin::operation PutRoute(const std::string& aWorkspace, const std::string& aName)
{
  admin::operation operation;
  operation.set_op(admin::CHANGE_OP_PUT);
  operation.mutable_ref()->set_kind(admin::OBJECT_KIND_ROUTE);
  operation.mutable_ref()->set_name(aWorkspace + "/" + aName);
  auto* route = operation.mutable_object()->mutable_route();
  route->set_workspace(aWorkspace);
  route->set_name(aName);
  route->set_pool("rota");
  return operation;
}

/// A change that consists of these operations.
inline admin::change MakeChange(const std::string& aId, const std::vector<admin::operation>& aOperations)
{
  admin::change change;
  change.set_change_id(aId);
  for (const auto& operation : aOperations) {
    *change.add_operations() = operation;
  }
  return change;
}

} // namespace chervilpulley::test
