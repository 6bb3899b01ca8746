#include "gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace chervilpulley::gateway {

namespace {

using prometheus::Histogram;

constexpr std::array kOutcomeLabels{ "served", "backend_failed", "refused",    "unknown", "timed_out",
                                     "cut",    "caller_left",    "not_allowed" };
constexpr std::array kRepairLabels{ "repeated", "resumed", "repathed" };

/// Bucket bounds in seconds; objectives of routes are typically between 0.1 and 0.6.
const Histogram::BucketBoundaries kTimeBuckets{
  0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 20
};

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

class metrics_impl : public gateway_metrics
{
public:
  metrics_impl()
    : mTimes(Family("gateway_request_seconds", "Time from a request to its end, by outcome"))
    , mFirstEvent(Family("gateway_first_event_seconds", "Time to the first event of a stream").Add({}, kTimeBuckets))
    , mGaps(Family("gateway_event_gap_seconds", "Pause between two events of a stream").Add({}, kTimeBuckets))
    , mStoreCalls(Family("gateway_store_call_seconds", "Time of a call to the platform's store, by outcome"))
    , mRepairs(Counters("gateway_repairs_total", "Requests repeated, resumed and repathed"))
    , mOrders(Counters("gateway_orders_total", "Orders to engines, by outcome"))
    , mBackends(Gauge("gateway_backends", "Backend servers listed"))
    , mUnreadable(Gauge("gateway_unreadable_entries", "Entries of the list of backend servers that are skipped"))
    , mUncovered(Gauge("gateway_uncovered_layers", "Layers without a holder in this failure domain"))
    , mHeldOnce(Gauge("gateway_layers_held_once", "Layers with a single holder in this failure domain"))
    , mSlowEngines(Gauge("gateway_slow_engines", "Engines that say that they are slow"))
    , mLimits(
        Gauges("gateway_server_limit", "Requests a second that a backend server takes from all gateways together"))
    , mLimitUse(Gauges("gateway_server_limit_used", "Requests of the last second that this gateway sent to it"))
    , mRetriesAvailable(Gauges("gateway_retries_available", "Retries that this gateway may send now"))
    , mRetryCapacity(Gauges("gateway_retry_capacity", "Maximum of the retries that it may send at once"))
    , mRetryShare(Gauge("gateway_retry_slack_share", "Part of the slack of the retry limits that it holds"))
    , mVersion(Gauge("gateway_configuration_version", "Version of the configuration in force"))
    , mAge(Gauge("gateway_configuration_age_seconds", "Time since the configuration was confirmed as the newest"))
    , mConfigurationAges(Family("gateway_configuration_age_sampled_seconds",
                                "Time since the configuration was known to be current, sampled each second")
                           .Add({}, kTimeBuckets))
    , mListAges(Family("gateway_list_age_sampled_seconds",
                       "Time since the list of backend servers was known to be current, sampled each second")
                  .Add({}, kTimeBuckets))
    , mGateways(Gauge("gateway_gateways", "Gateways that share what is bounded for all, this one too"))
    , mWaiting(Gauge("gateway_waiting_requests", "Requests that wait for room on engines"))
    , mScarce(Gauge("gateway_capacity_scarce", "1 while requests are rejected by rank because memory is scarce"))
    , mTokens(Gauges("gateway_capacity_tokens", "Tokens that a pool's engines have memory for, and that are in use"))
    , mAdmitted(Gauges("gateway_admitted_fraction", "Fraction of the on-time requests of each level that is admitted"))
    , mHeard(Gauge("gateway_load_announcements_heard", "Gateways whose announcements of load are recent"))
    , mAnnounced(Gauge("gateway_load_announcement_bytes", "Bytes sent for announcements of load since the start"))
    , mFollows(Gauge("gateway_follows_relay", "1 when what the store says is taken from another gateway"))
    , mReaders(Gauge("gateway_relay_readers", "Gateways that wait here for news of the store"))
    , mCrashes(Counters("gateway_crashes_total", "Servers that were ended by a request of this gateway").Add({}))
    , mBlockedTraits(
        Gauge("gateway_blocked_traits", "Prompt parts and requests that are refused because they crash servers"))
    , mDropped(Gauge("gateway_log_lines_dropped", "Log lines dropped since the start"))
    , mCallerBytes(Gauge("gateway_caller_bytes", "Bytes that all callers' connections hold"))
    , mCallerBudget(Gauge("gateway_caller_bytes_limit", "Maximum of the bytes that all callers' connections hold"))
    , mCallerConnections(Gauge("gateway_caller_connections", "Open connections of callers"))
    , mCallerMaximum(Gauge("gateway_caller_connections_limit", "Maximum of the open connections of callers"))
    , mCallerRejections(Gauges("gateway_caller_limit_rejections",
                               "Requests rejected, responses dropped and connections closed for the limits on what "
                               "callers hold, since the start"))
  {
    for (std::size_t index = 0; index < kOutcomeLabels.size(); ++index) {
      mByOutcome[index] = &mTimes.Add({ { "outcome", kOutcomeLabels[index] } }, kTimeBuckets);
    }
    for (std::size_t index = 0; index < kRepairLabels.size(); ++index) {
      mByRepair[index] = &mRepairs.Add({ { "kind", kRepairLabels[index] } });
    }
  }

  void Ended(request_end aEnd, duration aTime) override
  {
    mByOutcome[static_cast<std::size_t>(aEnd)]->Observe(Seconds(aTime));
  }
  void FirstEvent(duration aTime) override { mFirstEvent.Observe(Seconds(aTime)); }
  void Gap(duration aTime) override { mGaps.Observe(Seconds(aTime)); }
  void Repaired(repair_kind aKind) override { mByRepair[static_cast<std::size_t>(aKind)]->Increment(); }
  void StoreCall(bool aSucceeded, duration aTime) override
  {
    mStoreCalls.Add({ { "outcome", aSucceeded ? "ok" : "failed" } }, kTimeBuckets).Observe(Seconds(aTime));
  }
  void OrderGiven(bool aAccepted) override
  {
    mOrders.Add({ { "outcome", aAccepted ? "accepted" : "refused" } }).Increment();
  }
  void UnreadableEntries(std::size_t aCount) override { mUnreadable.Set(static_cast<double>(aCount)); }
  void SlowEngines(std::size_t aCount) override { mSlowEngines.Set(static_cast<double>(aCount)); }
  void Limits(const std::vector<server_limit>& aLimits) override
  {
    for (prometheus::Gauge* gauge : mLimitGauges) {
      mLimits.Remove(gauge);
      mLimitUse.Remove(gauge);
    }
    mLimitGauges.clear();
    for (const server_limit& limit : aLimits) {
      const prometheus::Labels labels{ { "backend", limit.mServer.Str() } };
      mLimitGauges.push_back(&mLimits.Add(labels));
      mLimitGauges.back()->Set(limit.mPerSecond);
      mLimitGauges.push_back(&mLimitUse.Add(labels));
      mLimitGauges.back()->Set(static_cast<double>(limit.mUsedLately));
    }
  }
  void Retries(const std::vector<retry_limit>& aLimits) override
  {
    for (const retry_limit& limit : aLimits) {
      const prometheus::Labels labels{ { "pool", limit.mPool.Str() } };
      mRetriesAvailable.Add(labels).Set(limit.mState.mAvailable);
      mRetryCapacity.Add(labels).Set(limit.mState.mCapacity);
      mRetryShare.Set(limit.mState.mSlackShare);
    }
  }
  void Backends(std::size_t aListed, std::size_t aUncoveredLayers, std::size_t aLayersHeldOnce) override
  {
    mBackends.Set(static_cast<double>(aListed));
    mUncovered.Set(static_cast<double>(aUncoveredLayers));
    mHeldOnce.Set(static_cast<double>(aLayersHeldOnce));
  }
  void Configuration(std::uint64_t aVersion, duration aAge) override
  {
    mVersion.Set(static_cast<double>(aVersion));
    mAge.Set(Seconds(aAge));
  }
  void StoreDataAges(std::optional<duration> aConfiguration, std::optional<duration> aList) override
  {
    if (aConfiguration) {
      mConfigurationAges.Observe(Seconds(*aConfiguration));
    }
    if (aList) {
      mListAges.Observe(Seconds(*aList));
    }
  }
  void PeersAndQueue(std::size_t aGateways, std::size_t aWaiting) override
  {
    mGateways.Set(static_cast<double>(aGateways));
    mWaiting.Set(static_cast<double>(aWaiting));
  }
  void Overload(const overload_state& aState, std::size_t aHeard, std::uint64_t aAnnouncedBytes) override
  {
    mScarce.Set(aState.mIsScarce ? 1 : 0);
    mTokens.Add({ { "kind", "capacity" } }).Set(aState.mCapacity);
    mTokens.Add({ { "kind", "in_use" } }).Set(aState.mInUse);
    mTokens.Add({ { "kind", "quota" } }).Set(aState.mQuota);
    for (std::size_t level = 0; level < policy::kRankedLevels; ++level) {
      mAdmitted.Add({ { "level", std::to_string(level) } }).Set(aState.mAdmitted[policy::RankOf(level, true)]);
    }
    mHeard.Set(static_cast<double>(aHeard));
    mAnnounced.Set(static_cast<double>(aAnnouncedBytes));
  }
  void Relaying(bool aReadsThroughRelay, std::size_t aReaders) override
  {
    mFollows.Set(aReadsThroughRelay ? 1 : 0);
    mReaders.Set(static_cast<double>(aReaders));
  }
  void CrashesFound(std::size_t aCount) override { mCrashes.Increment(static_cast<double>(aCount)); }
  void BlockedTraits(std::size_t aCount) override { mBlockedTraits.Set(static_cast<double>(aCount)); }
  void LogLinesDropped(std::uint64_t aLines) override { mDropped.Set(static_cast<double>(aLines)); }
  void CallerLimits(const caller_load& aLoad) override
  {
    mCallerBytes.Set(static_cast<double>(aLoad.mHeldBytes));
    mCallerBudget.Set(static_cast<double>(aLoad.mBudgetBytes));
    mCallerConnections.Set(static_cast<double>(aLoad.mConnections));
    mCallerMaximum.Set(static_cast<double>(aLoad.mMaxConnections));
    mCallerRejections.Add({ { "kind", "request" } }).Set(static_cast<double>(aLoad.mRejectedRequests));
    mCallerRejections.Add({ { "kind", "response" } }).Set(static_cast<double>(aLoad.mDroppedResponses));
    mCallerRejections.Add({ { "kind", "connection" } }).Set(static_cast<double>(aLoad.mClosedConnections));
  }
  std::string Text() const override { return prometheus::TextSerializer().Serialize(mRegistry.Collect()); }

private:
  prometheus::Family<Histogram>& Family(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(mRegistry);
  }
  prometheus::Family<prometheus::Counter>& Counters(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(mRegistry);
  }
  prometheus::Family<prometheus::Gauge>& Gauges(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(mRegistry);
  }
  prometheus::Gauge& Gauge(const std::string& aName, const std::string& aHelp) { return Gauges(aName, aHelp).Add({}); }

  mutable prometheus::Registry mRegistry;
  prometheus::Family<Histogram>& mTimes;
  Histogram& mFirstEvent;
  Histogram& mGaps;
  prometheus::Family<Histogram>& mStoreCalls;
  prometheus::Family<prometheus::Counter>& mRepairs;
  prometheus::Family<prometheus::Counter>& mOrders;
  prometheus::Gauge& mBackends;
  prometheus::Gauge& mUnreadable;
  prometheus::Gauge& mUncovered;
  prometheus::Gauge& mHeldOnce;
  prometheus::Gauge& mSlowEngines;
  prometheus::Family<prometheus::Gauge>& mLimits;
  prometheus::Family<prometheus::Gauge>& mLimitUse;
  std::vector<prometheus::Gauge*> mLimitGauges; ///< of both families
  prometheus::Family<prometheus::Gauge>& mRetriesAvailable;
  prometheus::Family<prometheus::Gauge>& mRetryCapacity;
  prometheus::Gauge& mRetryShare;
  prometheus::Gauge& mVersion;
  prometheus::Gauge& mAge;
  Histogram& mConfigurationAges;
  Histogram& mListAges;
  prometheus::Gauge& mGateways;
  prometheus::Gauge& mWaiting;
  prometheus::Gauge& mScarce;
  prometheus::Family<prometheus::Gauge>& mTokens;
  prometheus::Family<prometheus::Gauge>& mAdmitted;
  prometheus::Gauge& mHeard;
  prometheus::Gauge& mAnnounced;
  prometheus::Gauge& mFollows;
  prometheus::Gauge& mReaders;
  prometheus::Counter& mCrashes;
  prometheus::Gauge& mBlockedTraits;
  prometheus::Gauge& mDropped;
  prometheus::Gauge& mCallerBytes;
  prometheus::Gauge& mCallerBudget;
  prometheus::Gauge& mCallerConnections;
  prometheus::Gauge& mCallerMaximum;
  prometheus::Family<prometheus::Gauge>& mCallerRejections;
  std::array<Histogram*, kOutcomeLabels.size()> mByOutcome{};
  std::array<prometheus::Counter*, kRepairLabels.size()> mByRepair{};
};

} // namespace

ref<gateway_metrics> gateway_metrics::Create()
{
  return MakeRef<metrics_impl>();
}

} // namespace chervilpulley::gateway
