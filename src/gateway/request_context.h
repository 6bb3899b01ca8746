#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>

#include <random>

#include "gateway/caller_session.h"
#include "gateway/fleet.h"
#include "gateway/gateway_metrics.h"
#include "gateway/wire.h"
#include "gateway/worker_call.h"

/// What the work for requests needs, and what each request has in common.
namespace chervilpulley::gateway {

class stream_request;

/// Streams under way, for repairs that concern many at once.
using stream_list = boost::intrusive::list<stream_request, boost::intrusive::constant_time_size<false>>;

class crash_watch;
class engine_probes;
class room_queue;

/// Shared by all requests of one gateway.
struct request_tools
{
  boost::asio::io_context& mContext;
  ref<fleet> mFleet;
  ref<worker_calls> mCalls;
  ref<engine_probes> mInquiries;
  ref<crash_watch> mCrashes;
  ref<gateway_metrics> mMetrics;
  stream_list& mStreams;
  room_queue& mRoom;
  duration mDrainBound{ 0 }; ///< a leaving backend server serves for so long at least
  std::mt19937_64 mRandom;
};

/// A request that was admitted: a known route, a known key.
struct admitted_request
{
  ref<caller_session> mSession;
  net::http_request mRequest;
  wire::caller_wish mWish;
  ref<const configuration> mConfiguration; ///< keeps mRoute alive
  const route* mRoute = nullptr;
  pool_name mPool;
  std::string mWorkspace;
  std::uint32_t mPriority = 0; ///< the workspace's, where it has one, or the route's
  request_digest mDigest;      ///< the same for requests that would do the same
  instant mArrived;
  instant mDeadline; ///< the caller's, or the route's, whichever is first
};

/// What a backend server gets: the caller's request, with what aDispatch says, the workspace and the time that is left.
net::http_request Outgoing(const admitted_request& aAsked, wire::dispatch aDispatch, instant aNow);
/// A final answer of our own. What a request that did not run is told says when to come back.
net::http_reply OwnAnswer(unsigned aStatus, std::optional<duration> aComeBack);
/// The worker's headers less those of its connection.
net::http_headers EndToEnd(const net::http_headers& aHeaders);

} // namespace chervilpulley::gateway
