#pragma once

#include <mutex>
#include <unordered_map>
#include <vector>

#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "rpc/peer_messages.h"

/// Progress of a revision over the instances, which operators watch during a rollout. Reports are forwarded along the
/// propagation tree up to the relays.
namespace chervilpulley::config {

/// The revisions that other instances have reported, and which of these reports must still be forwarded. Thread-safe.
class rollout_table
{
public:
  /// Adds a report received with other traffic. It is not forwarded.
  void AddReport(const instance_id& aInstance,
                 const failure_domain_id& aDomain,
                 revision_number aRevision,
                 instant aNow);
  /// Adds a report received with a pull of the configuration. It is forwarded to the source that this process pulls
  /// from.
  void AddPulledReport(const rpc::instance_report& aReport, instant aNow);
  /// Returns the reports to forward to aSource and marks them as forwarded: those that changed since the last call, and
  /// from time to time all.
  std::vector<rpc::instance_report> CollectForSource(const instance_id& aSource, instant aNow);
  /// The reports collected last did not arrive; the next call of CollectForSource returns all.
  void MarkUndelivered();
  /// All reports with their age.
  std::vector<rpc::instance_report> All(instant aNow) const;

private:
  /// Latest report of one instance.
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
