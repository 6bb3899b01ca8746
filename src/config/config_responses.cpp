#include "config/config_responses.h"

#include <unordered_set>

#include "config/config_encoding.h"

namespace chervilpulley::config {

namespace {

constexpr std::size_t kMaxEntriesPerPull = 256;

config_errc CodeOf(policy::change_errc aCode)
{
  switch (aCode) {
    case policy::change_errc::Invalid:
      return config_errc::Invalid;
    case policy::change_errc::NotFound:
      return config_errc::NotFound;
    case policy::change_errc::AlreadyExists:
      return config_errc::AlreadyExists;
    case policy::change_errc::Referenced:
      return config_errc::Referenced;
    case policy::change_errc::Conflict:
      return config_errc::Conflict;
  }
  return config_errc::Invalid;
}

config_errc CodeOf(const policy::write_error& aError)
{
  switch (aError.mCode) {
    case policy::write_errc::Refused:
      return CodeOf(aError.mRefusal);
    case policy::write_errc::Conflict:
      return config_errc::Conflict;
    case policy::write_errc::Unknown:
      return config_errc::Unknown;
    case policy::write_errc::Unavailable:
      break;
  }
  return config_errc::Unavailable;
}

} // namespace

config_error ToConfigError(const policy::change_error& aError)
{
  return config_error{ CodeOf(aError.mCode), aError.mMessage, {} };
}

config_error ToConfigError(const policy::write_error& aError)
{
  return config_error{ CodeOf(aError), aError.mMessage, aError.mRevision };
}

rpc::pull_config_reply MakePullReply(config_replica& aReplica, revision_number aAfter)
{
  rpc::pull_config_reply reply;
  reply.mRevision = aReplica.Revision().Value();
  const auto entries = aReplica.EntriesAfter(aAfter, kMaxEntriesPerPull);
  if (entries) {
    for (const auto& entry : *entries) {
      reply.mEntries.push_back(ToBase64(entry.SerializeAsString()));
    }
    return reply;
  }
  const auto state = aReplica.WithLog([](const policy::config_log& aLog) { return aLog.State(); });
  reply.mRevision = state.revision();
  reply.mSnapshot = ToBase64(state.SerializeAsString());
  return reply;
}

admin::rollout_reply MakeRolloutReply(revision_number aHead,
                                      revision_number aRevision,
                                      const std::vector<policy::propagation_member>& aLive,
                                      const std::vector<rpc::instance_report>& aReports)
{
  std::unordered_set<std::string> live;
  for (const auto& member : aLive) {
    live.insert(member.mInstance.Str());
  }
  admin::rollout_reply reply;
  reply.set_head_revision(aHead.Value());
  reply.set_live(static_cast<std::uint32_t>(live.size()));
  std::uint32_t inForce = 0;
  for (const auto& report : aReports) {
    if (live.count(report.mInstance) == 0) {
      continue;
    }
    if (report.mRevision >= aRevision.Value()) {
      ++inForce;
    }
    auto* instance = reply.add_instances();
    instance->set_instance(report.mInstance);
    instance->set_failure_domain(report.mFailureDomain);
    instance->set_revision(report.mRevision);
    instance->set_age_ms(report.mAgeMs);
  }
  reply.set_in_force(inForce);
  return reply;
}

} // namespace chervilpulley::config
