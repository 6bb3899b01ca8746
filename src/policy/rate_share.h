#pragma once

#include <boost/intrusive/list.hpp>
#include <optional>
#include <span>
#include <unordered_map>

#include "chervilpulley/policy_types.h"
#include "policy/subset.h"

/// A workspace's rate limit, shared by the entries that its callers use.
///
/// For each workspace one entry, found by rendezvous hashing over the membership list, hands out parts of the limit. An
/// entry reports a workspace only while it has demand for it, once in kRateReportInterval; reports for the same home
/// travel together. So an entry sends at most as many reports as it has requests, however many entries there are.
namespace chervilpulley::policy {

/// A rate of requests.
struct request_rate
{
  double mPerSecond = 0.0;
};

/// Time between two reports of a workspace's demand.
inline constexpr duration kRateReportInterval = std::chrono::seconds(1);
/// Time for which a entry_share of a limit may be used.
inline constexpr duration kRateGrantTime = std::chrono::seconds(2);

/// The entry that shares out a workspace's limit: index into aEntries, which must not be empty.
std::size_t RateCoordinatorOf(std::span<const subset_member> aEntries, const workspace_id& aWorkspace);

/// Token bucket of one workspace on one entry, and its demand.
class rate_bucket
{
public:
  /// A request asks to pass. While the home does not answer, the entry_share is aLimit / aEntries; so it works without
  /// one. Returns nothing when it may pass, and else the time after which one more may.
  std::optional<duration> Take(request_rate aLimit, std::size_t aEntries, instant aNow);
  /// The home's answer.
  void Granted(request_rate aShare, instant aNow);
  /// Demand to report now, passed or not; nothing when none is due.
  std::optional<request_rate> DueReport(instant aNow);

private:
  void Refill(double aFallback, instant aNow);

  double mTokens = 0.0;
  instant mLast;
  instant mGrantedUntil;
  instant mReported;
  instant mUnansweredSince; ///< first request without a valid grant
  float mGrant = 0.0F;
  std::uint32_t mRequests = 0;
};

/// Parts of the limits of those workspaces that this entry is the home of. Valid parts of a workspace never add up to
/// more than its limit, whatever the order of reports.
class rate_coordinator
{
public:
  rate_coordinator() = default;
  rate_coordinator(const rate_coordinator&) = delete;
  rate_coordinator& operator=(const rate_coordinator&) = delete;
  ~rate_coordinator();

  /// An entry reports its demand; returns its entry_share, valid for kRateGrantTime.
  request_rate Report(member_key aEntry,
                      const workspace_id& aWorkspace,
                      request_rate aDemand,
                      request_rate aLimit,
                      instant aNow);
  /// Workspaces with valid parts.
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
