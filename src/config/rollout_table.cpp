#include "config/rollout_table.h"

namespace chervilpulley::config {

namespace {

/// All reports are forwarded again after this time, in case the source was replaced.
constexpr duration kRefreshInterval = std::chrono::seconds(30);
constexpr duration kReportExpiry = std::chrono::minutes(5);

rpc::instance_report MakeReport(const instance_id& aInstance,
                                const failure_domain_id& aDomain,
                                revision_number aRevision,
                                duration aAge)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  return { aInstance.Str(), aDomain.Str(), aRevision.Value(), static_cast<std::uint64_t>(age < 0 ? 0 : age) };
}

} // namespace

void rollout_table::AddReport(const instance_id& aInstance,
                              const failure_domain_id& aDomain,
                              revision_number aRevision,
                              instant aNow)
{
  std::lock_guard lock(mMutex);
  Update(aInstance, aDomain, aRevision, aNow);
}

void rollout_table::AddPulledReport(const rpc::instance_report& aReport, instant aNow)
{
  std::lock_guard lock(mMutex);
  auto& row = Update(instance_id(aReport.mInstance),
                     failure_domain_id(aReport.mFailureDomain),
                     revision_number(aReport.mRevision),
                     aNow - std::chrono::milliseconds(aReport.mAgeMs));
  row.mMustForward = true;
}

std::vector<rpc::instance_report> rollout_table::CollectForSource(const instance_id& aSource, instant aNow)
{
  std::lock_guard lock(mMutex);
  const bool all = aSource != mSource || aNow - mAllForwardedAt > kRefreshInterval;
  if (all) {
    RemoveExpired(aNow);
    mSource = aSource;
    mAllForwardedAt = aNow;
  }
  std::vector<rpc::instance_report> reports;
  for (auto& [instance, row] : mRows) {
    if (row.mMustForward && (all || !row.mForwarded) && instance != aSource) {
      reports.push_back(MakeReport(instance, row.mDomain, row.mRevision, aNow - row.mReportedAt));
      row.mForwarded = true;
    }
  }
  return reports;
}

void rollout_table::MarkUndelivered()
{
  std::lock_guard lock(mMutex);
  mSource = instance_id();
}

std::vector<rpc::instance_report> rollout_table::All(instant aNow) const
{
  std::lock_guard lock(mMutex);
  std::vector<rpc::instance_report> reports;
  reports.reserve(mRows.size());
  for (const auto& [instance, row] : mRows) {
    reports.push_back(MakeReport(instance, row.mDomain, row.mRevision, aNow - row.mReportedAt));
  }
  return reports;
}

rollout_table::row& rollout_table::Update(const instance_id& aInstance,
                                          const failure_domain_id& aDomain,
                                          revision_number aRevision,
                                          instant aReportedAt)
{
  auto& row = mRows[aInstance];
  row.mDomain = aDomain;
  if (aReportedAt >= row.mReportedAt) {
    // A replaced instance starts at a lower revision, so the newer report wins rather than the higher revision.
    row.mForwarded = row.mForwarded && row.mRevision == aRevision;
    row.mRevision = aRevision;
    row.mReportedAt = aReportedAt;
  }
  return row;
}

void rollout_table::RemoveExpired(instant aNow)
{
  std::erase_if(mRows, [&](const auto& aRow) { return aNow - aRow.second.mReportedAt > kReportExpiry; });
}

} // namespace chervilpulley::config
