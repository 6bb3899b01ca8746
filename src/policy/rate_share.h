#pragma once

#include <boost/intrusive/list.hpp>
#include <optional>
#include <span>
#include <unordered_map>

#include "chervilpulley/policy_types.h"
#include "policy/subset.h"

/// Enforces the rate limit of a workspace across all entries that its callers use, so that a flood of requests cannot
/// exceed the limit by being spread over many entries.
///
/// For each workspace one entry, the coordinator, distributes shares of the limit; it is found by rendezvous hashing
/// over the membership list. An entry reports its demand for a workspace only while it has any, once per
/// kRateReportInterval; reports for the same coordinator are sent together. An entry therefore sends at most as many
/// reports as it has requests, however many entries there are.
namespace chervilpulley::policy {

/// A rate of requests.
struct request_rate
{
  double mPerSecond = 0.0;
};

/// Time between two reports of a workspace's demand.
inline constexpr duration kRateReportInterval = std::chrono::seconds(1);
/// Time for which a granted share of a limit may be used.
inline constexpr duration kRateGrantTime = std::chrono::seconds(2);

/// Index of the entry that coordinates the limit of a workspace; aEntries must not be empty.
std::size_t RateCoordinatorOf(std::span<const subset_member> aEntries, const workspace_id& aWorkspace);

/// Token bucket of one workspace on one entry; also measures the demand that the entry reports.
class rate_bucket
{
public:
  /// Takes a token for a request. Returns nothing when the request may pass, else the time after which one more may.
  /// While the coordinator does not respond, the share is aLimit / aEntries, so the bucket also works without a
  /// coordinator.
  std::optional<duration> Take(request_rate aLimit, std::size_t aEntries, instant aNow);
  /// Applies the share that the coordinator granted.
  void Granted(request_rate aShare, instant aNow);
  /// Demand to report now, counting refused requests too; nothing when no report is due.
  std::optional<request_rate> DueReport(instant aNow);

private:
  void Refill(double aFallback, instant aNow);

  double mTokens = 0.0;
  instant mLast;
  instant mGrantedUntil;
  instant mReported;
  instant mNoGrantSince; ///< time of the first request without a valid grant
  float mGrant = 0.0F;
  std::uint32_t mRequests = 0;
};

/// Distributes the limits of the workspaces that this entry coordinates. The valid shares of a workspace never add up
/// to more than its limit, whatever the order of reports.
class rate_coordinator
{
public:
  rate_coordinator() = default;
  rate_coordinator(const rate_coordinator&) = delete;
  rate_coordinator& operator=(const rate_coordinator&) = delete;
  ~rate_coordinator();

  /// Handles the demand report of an entry; returns the share of that entry, valid for kRateGrantTime.
  request_rate Report(member_key aEntry,
                      const workspace_id& aWorkspace,
                      request_rate aDemand,
                      request_rate aLimit,
                      instant aNow);
  /// Number of workspaces with valid shares.
  std::size_t Size() const { return mWorkspaces.size(); }

private:
  struct entry_share : boost::intrusive::list_base_hook<>
  {
    member_key mEntry;
    double mDemand = 0.0;
    double mGranted = 0.0;
    instant mUntil;
  };
  struct shared_limit : boost::intrusive::list_base_hook<>
  {
    workspace_id mWorkspace;
    double mDemand = 0.0;
    double mGranted = 0.0;
    instant mUntil;
    std::unordered_map<member_key, entry_share> mShares;
    boost::intrusive::list<entry_share> mByExpiry;
  };

  void ExpireWorkspaces(instant aNow);
  static void ExpireShares(shared_limit& aLimit, instant aNow);
  shared_limit& Renew(const workspace_id& aWorkspace, instant aNow);

  std::unordered_map<workspace_id, shared_limit> mWorkspaces;
  boost::intrusive::list<shared_limit> mByExpiry;
};

} // namespace chervilpulley::policy
