#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace chervilpulley::metrics {

namespace {

using boundaries = prometheus::Histogram::BucketBoundaries;

constexpr std::array<const char*, 4> kRetryNames{ "refused", "stage_lost", "engine_crashed", "stalled" };
constexpr std::array<const char*, 9> kRefusalNames{ "unauthorized",  "bad_request", "rate_limited",
                                                    "overloaded",    "no_route",    "suspect",
                                                    "platform_down", "leaving",     "other" };

double Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

boundaries FirstTokenBuckets()
{
  return { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.94, 1.5, 3, 6, 12, 30 };
}

boundaries TokenGapBuckets()
{
  return { 0.001, 0.0025, 0.005, 0.01, 0.02, 0.034, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 3, 10 };
}

boundaries QueueWaitBuckets()
{
  return { 0.0001, 0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 0.94, 2, 5, 15 };
}

/// Keeps the metrics in a registry of the Prometheus client library.
class prometheus_metrics : public process_metrics
{
public:
  prometheus_metrics()
    : mFirstToken(
        AddHistogram("first_token_seconds", "Time from a request's arrival to its first token.", FirstTokenBuckets()))
    , mTokenGap(AddHistogram("token_gap_seconds", "Time between two tokens of a stream.", TokenGapBuckets()))
    , mQueueWait(AddHistogram("queue_wait_seconds", "Time that a request waited at a sidecar.", QueueWaitBuckets()))
    , mRetries(AddCounters("retries_total", "Requests sent again, by cause."))
    , mRefusals(AddCounters("refusals_total", "Requests refused, by cause."))
    , mResponses(AddCounters("answers_total", "Answers, by status."))
    , mInterruptedResponses(AddCounters("cut_answers_total", "Answers that ended before they were whole.").Add({}))
    , mRevision(AddGauge("config_revision", "Revision of the configuration in force."))
    , mInProgress(AddGauge("requests_in_progress", "Requests in progress."))
    , mPlatformUp(AddGauge("platform_up", "1 while the platform answers."))
  {
  }

  void FirstToken(duration aTime) override { mFirstToken.Observe(Seconds(aTime)); }
  void TokenGap(duration aTime) override { mTokenGap.Observe(Seconds(aTime)); }
  void QueueWait(duration aTime) override { mQueueWait.Observe(Seconds(aTime)); }
  void Retry(retry_cause aCause) override
  {
    mRetries.Add({ { "cause", kRetryNames.at(static_cast<std::size_t>(aCause)) } }).Increment();
  }
  void Refusal(refusal_cause aCause) override
  {
    mRefusals.Add({ { "cause", kRefusalNames.at(static_cast<std::size_t>(aCause)) } }).Increment();
  }
  void Response(unsigned aStatus) override { mResponses.Add({ { "status", std::to_string(aStatus) } }).Increment(); }
  void InterruptedResponse() override { mInterruptedResponses.Increment(); }
  void Revision(std::uint64_t aRevision) override { mRevision.Set(static_cast<double>(aRevision)); }
  void InProgress(std::uint64_t aRequests) override { mInProgress.Set(static_cast<double>(aRequests)); }
  void PlatformUp(bool aIsUp) override { mPlatformUp.Set(aIsUp ? 1 : 0); }

  std::string Text() const override { return prometheus::TextSerializer().Serialize(mRegistry.Collect()); }

private:
  static std::string FullName(const std::string& aName) { return "chervilpulley_" + aName; }

  prometheus::Histogram& AddHistogram(const std::string& aName, const std::string& aHelp, const boundaries& aBuckets)
  {
    return prometheus::BuildHistogram().Name(FullName(aName)).Help(aHelp).Register(mRegistry).Add({}, aBuckets);
  }
  prometheus::Family<prometheus::Counter>& AddCounters(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildCounter().Name(FullName(aName)).Help(aHelp).Register(mRegistry);
  }
  prometheus::Gauge& AddGauge(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildGauge().Name(FullName(aName)).Help(aHelp).Register(mRegistry).Add({});
  }

  prometheus::Registry mRegistry;
  prometheus::Histogram& mFirstToken;
  prometheus::Histogram& mTokenGap;
  prometheus::Histogram& mQueueWait;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mRefusals;
  prometheus::Family<prometheus::Counter>& mResponses;
  prometheus::Counter& mInterruptedResponses;
  prometheus::Gauge& mRevision;
  prometheus::Gauge& mInProgress;
  prometheus::Gauge& mPlatformUp;
};

} // namespace

ref<process_metrics> process_metrics::Create()
{
  return MakeRef<prometheus_metrics>();
}

} // namespace chervilpulley::metrics
