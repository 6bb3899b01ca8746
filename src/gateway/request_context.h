#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>

#include <map>
#include <random>

#include "gateway/backend_call.h"
#include "gateway/caller_session.h"
#include "gateway/fleet.h"
#include "gateway/gateway_metrics.h"
#include "gateway/wire.h"
#include "policy/recent_maximum.h"
#include "policy/stall_detector.h"
#include "policy/stop_schedule.h"
#include "policy/stream_pace.h"

/// Objects and data that streaming requests and requests to plain services have in common, and functions that build
/// requests to backend servers and responses to callers.
namespace chervilpulley::gateway {

class stream_request;
class service_request;

/// Unfinished streaming requests, for checks and repairs that concern many at once.
using stream_list = boost::intrusive::list<stream_request, boost::intrusive::constant_time_size<false>>;

/// Unfinished requests to plain services.
using service_list = boost::intrusive::list<service_request, boost::intrusive::constant_time_size<false>>;

class crash_watch;
class engine_probes;
class capacity_queue;

/// Retry-after time of an instance that can't serve a request or can't trust its configuration. It is short, because
/// another instance can serve the retry.
inline constexpr duration kRetryElsewhereAfter = std::chrono::milliseconds(100);

/// Share of the objective that a request may spend in an engine's queue: prefill and the first pass need the rest.
inline constexpr double kQueueShareOfObjective = 0.5;
/// Time limit of a request whose caller gives none.
inline constexpr duration kDefaultCallerTimeout = std::chrono::seconds(60);

/// Expected number of tokens in the output of a stream.
/// @param aPool may be null.
/// @param aHint the caller's estimate.
/// @param aLimit the maximum that the caller allows.
double EstimateOutputTokens(const pool* aPool, std::optional<double> aHint, double aLimit);

/// Objects of a gateway that all its requests use.
struct request_environment
{
  boost::asio::io_context& mContext;
  ref<fleet> mFleet;
  ref<backend_calls> mCalls;
  ref<engine_probes> mProbes;
  ref<crash_watch> mCrashes;
  ref<gateway_metrics> mMetrics;
  stream_list& mStreams;
  service_list& mServices;
  capacity_queue& mCapacityQueue;
  duration mDrainBound{ 0 }; ///< minimum time for which a leaving backend server keeps serving
  std::mt19937_64 mRandom;
  policy::stop_schedule mStop;
  std::map<pool_name, policy::stream_pace> mStreamPaces;
  std::map<pool_name, policy::gap_statistics> mCallTimes; ///< to the responses of plain services
  std::map<pool_name, policy::recent_maximum> mLongestCallTimes;
};

/// A request that was admitted because its route and its key are known, with all that is needed to run it.
struct admitted_request
{
  ref<caller_session> mSession;
  net::http_request mRequest;
  wire::request_metadata mMetadata;
  ref<const configuration> mConfiguration; ///< owns *mRoute
  const route* mRoute = nullptr;
  pool_name mPool;
  std::string mWorkspace;
  /// Priority of the workspace, or of the route if the workspace has none. In a pool whose streams differ in priority
  /// it is the level that both make together (policy/priority_levels.h).
  std::uint32_t mPriority = 0;
  std::vector<run_trait> mTraits; ///< what it has in common with other requests; see crash_watch::TraitsOf()
  instant mArrived;
  instant mDeadline; ///< deadline of the caller or of the route, whichever is earlier
};

/// Limit on the bytes of incomplete responses that all requests hold together, as many requests may be at a server that
/// sends without end. The memory behind them can be some times as large, and the smallest instances have 160 MB.
inline constexpr std::size_t kMaxHeldBytes = 24U << 20U;
/// A request that holds less than this is not checked against the limit.
inline constexpr std::size_t kFreeHeldBytes = 64U << 10U;
/// Ends the attempt of the request that holds the most, if all requests together hold more than kMaxHeldBytes.
/// @param aOwnBytes held by the request that has just received some.
void LimitHeldBytes(request_environment& aEnvironment, std::size_t aOwnBytes, instant aNow);

/// Builds the request to a backend server: the caller's request with the headers of aDispatch, the workspace, the
/// priority and the time left.
net::http_request Outgoing(const admitted_request& aAdmitted, wire::dispatch aDispatch, instant aNow);
/// Builds a final response from the gateway itself. For a request that did not run, it carries a retry-after time.
net::http_reply OwnResponse(unsigned aStatus, std::optional<duration> aRetryAfter);
/// The headers of a backend server's response without those that concern only its connection.
net::http_headers EndToEnd(const net::http_headers& aHeaders);

} // namespace chervilpulley::gateway
