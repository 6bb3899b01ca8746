#pragma once

#include <mutex>
#include <unordered_map>
#include <vector>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "rpc/peer_messages.h"

namespace chervilpulley::config {

/// The revisions that other instances have reported, and which of these reports are still to be passed on. Thread-safe.
class rollout_table
{
public:
  /// A report that came with ordinary traffic; it is not passed on.
  void AddReport(const instance_id& aInstance,
                 const failure_domain_id& aDomain,
                 revision_number aRevision,
                 instant aNow);
  /// A report that came with a pull of the configuration; it is passed on to the one that this process pulls from.
  void AddPulledReport(const rpc::instance_report& aReport, instant aNow);
  /// Reports to pass on to aSource: what has changed since they were last passed on, and now and then all.
  std::vector<rpc::instance_report> CollectForSource(const instance_id& aSource, instant aNow);
  /// Says that what was taken last did not arrive; all is passed on again.
  void MarkUndelivered();
  /// All reports, with their age.
  std::vector<rpc::instance_report> All(instant aNow) const;

private:
  struct row
  {
    failure_domain_id mDomain;
    revision_number mRevision;
    instant mReportedAt;
    bool mMustForward = false;
    bool mForwarded = false;
  };

  row& Update(const instance_id& aInstance,
              const failure_domain_id& aDomain,
              revision_number aRevision,
              instant aReportedAt);
  void RemoveExpired(instant aNow);

  mutable std::mutex mMutex;
  std::unordered_map<instance_id, row> mRows;
  instance_id mSource;
  instant mAllForwardedAt;
};

} // namespace chervilpulley::config
