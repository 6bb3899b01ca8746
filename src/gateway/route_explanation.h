#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/fleet.h"
#include "net/http.h"
#include "policy/capacity_wait.h"

/// Explains where a request would be routed now, and why, without sending it. Nothing is reserved, counted or recorded,
/// so that an explanation changes no decision. What only a real request shows is not part of it: the retry budget,
/// blocks of requests that crash engines, and whether its caller is retrying.
namespace chervilpulley::gateway {

/// A request to explain. The key must not be logged or sent back.
struct route_question
{
  std::string mHost;
  std::string mPath;
  std::string mKey;
  double mPromptTokens = 0;
  double mMaxOutputTokens = 0;
};

/// The header of a question's key.
inline constexpr std::string_view kExplainKeyHeader = "Explain-Key";

/// What would happen to a request.
enum class route_outcome
{
  Rejected,
  Waits, ///< in the gateway, for capacity or a permit
  Sent
};

/// Whether a backend server is chosen, or the first reason against it.
enum class candidate_verdict
{
  Chosen,
  Lost,
  Unconfirmed, ///< its list entry may be that of a server which had left
  Replaced,    ///< a server started later is listed at its address
  Leaving,
  Paused,
  Refusing,
  Moving,
  NoLayers,
  OverLimit,
  NoMemory,   ///< none for the whole request at a single layer
  SlotsTaken, ///< no path may begin there
  Slow,       ///< reported slowdown factor over policy::kMaxSlowdownFactor
  OtherDomain,
  Incomplete, ///< no other usable engines hold the other layers
  CostsMore
};

std::string_view ToText(route_outcome aOutcome);
std::string_view ToText(candidate_verdict aVerdict);

/// A backend server of the pool.
struct explained_candidate
{
  backend_id mId;
  failure_domain_id mDomain;
  policy::layer_span mLayers; ///< empty for plain services
  candidate_verdict mVerdict = candidate_verdict::CostsMore;
  double mRunning = 0; ///< requests; of all gateways, estimated, for engines, and of this one for plain services
  policy::fractional_ms mQueueWait{ 0 }; ///< of a path that begins there
};

/// What overload control says about the request.
struct explained_overload
{
  std::size_t mLevel = 0; ///< of the priorities of workspace and route together; 0 is the most urgent
  std::size_t mRank = 0;
  double mAdmittedFraction = 1; ///< of requests of its rank and workspace
  bool mHasQuota = true;        ///< whether the quota lets it start now
  overload_state mState;
};

/// What would happen in one of the route's pools.
struct explained_pool
{
  pool_name mName;
  double mWeight = 0; ///< share among the pools of the route
  bool mHasEngines = false;
  route_outcome mOutcome = route_outcome::Rejected;
  unsigned mStatus = 0;                ///< of a rejection
  std::string mReason;                 ///< of a rejection or wait
  std::optional<duration> mRetryAfter; ///< longest that a rejection would carry, if overload control gives it
  std::size_t mAhead = 0;              ///< waiting requests that are served before it
  duration mPermitWait{ 0 };
  duration mWaitForecast{ 0 }; ///< until there is capacity for a request that waits; zero if it does not wait
  double mTokens = 0;          ///< prompt and expected output
  std::optional<explained_overload> mOverload;
  std::optional<chosen_path> mPath; ///< through model engines, if one has capacity
  std::vector<explained_candidate> mCandidates;
};

/// Where a request would be routed now.
struct route_explanation
{
  bool mIsLeaving = false; ///< the gateway begins only requests that end before it stops
  std::uint64_t mConfiguration = 0;
  unsigned mStatus = 0; ///< with which the request is rejected before a pool is chosen; 0: it is not
  std::string mReason;
  std::optional<route_name> mRoute;
  std::optional<workspace_id> mWorkspace;
  std::uint32_t mPriority = 0;        ///< of the workspace, or of the route if the workspace has none
  std::vector<explained_pool> mPools; ///< all pools of the route; one is chosen at random by weight
};

/// Returns the queue as found by a stream of a pool.
using queue_viewer = std::function<policy::queue_view(const pool_name&, const policy::waiting_request&)>;

/// Explains a request. Changes nothing in the fleet but the working copy of engines that each path search fills anew.
route_explanation ExplainRoute(fleet& aFleet,
                               const route_question& aQuestion,
                               const caller_query& aCaller,
                               const queue_viewer& aQueue,
                               instant aNow);

/// Reads a question from the query (host, path, prompt_tokens, max_output_tokens) and the headers of a request; nothing
/// when the host or the path is missing or a number is invalid.
std::optional<route_question> ReadRouteQuestion(const net::http_request& aRequest);

/// An explanation as JSON, without the key.
std::string ToJson(const route_explanation& aExplanation);

} // namespace chervilpulley::gateway
