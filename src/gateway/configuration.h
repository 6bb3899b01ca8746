#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ref_counted.h"
#include "policy/engine_model.h"
#include "policy/priority_levels.h"

/// The operators' configuration in the form that a gateway uses for each request: routes, pools of backend servers,
/// workspaces and their keys. It is immutable, so that a request keeps the version that it began with.
namespace chervilpulley::gateway {

/// Whether a request may be retried.
enum class request_kind
{
  Idempotent, ///< may run more than once
  AtMostOnce, ///< must not run twice
  Stream      ///< responds with events; a retry must resume it
};

/// A pool and its weight among the pools of a route.
struct pool_share
{
  pool_name mPool;
  double mWeight = 0;
};

/// How requests with a host and a path prefix are served.
struct route
{
  route_name mName;
  std::string mHost;
  std::string mPathPrefix;
  request_kind mKind = request_kind::AtMostOnce;
  duration mTimeout{ 0 };         ///< longest time that a request may take
  duration mObjective{ 0 };       ///< target time to the response, or to the first event of a stream
  duration mGapObjective{ 0 };    ///< target for the longest time between two events
  std::uint32_t mPriority = 0;    ///< 0 is the most urgent
  std::uint32_t mMaxAttempts = 1; ///< backend servers that a request may run on, in turn
  bool mNeedsKey = true;
  bool mIsResumable = false;
  std::vector<pool_share> mPools;
};

/// Backend servers that serve the same requests.
struct pool
{
  pool_name mName;
  std::string mHealthPath;
  std::uint32_t mMaxConnections = 0;
  std::optional<policy::engine_model> mEngine; ///< set for pools of model engines
};

/// A group of callers, identified by the keys in configuration::mKeys.
struct workspace
{
  workspace_id mName;
  std::optional<std::uint32_t> mPriority; ///< overrides the priority of the route
};

/// Limits on the size and duration of callers' requests and connections.
struct caller_limits
{
  std::size_t mMaxHeaderBytes = 16U << 10U;
  std::size_t mMaxBodyBytes = 4U << 20U;
  duration mHeaderTimeout = std::chrono::seconds(3);
  duration mIdleTimeout = std::chrono::seconds(15);
};

/// One version of the configuration. Not modified after Index().
class configuration : public ref_counted
{
public:
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<pool> mPools;
  std::vector<workspace> mWorkspaces;
  std::unordered_map<std::string, std::size_t> mKeys; ///< key to index in mWorkspaces
  caller_limits mLimits;

  /// Builds the tables for the lookups below. Called once, after all fields are set.
  void Index();
  /// The route of a host whose path prefix is the longest match; nullptr when there is none.
  const route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const pool* FindPool(const pool_name& aName) const;
  const workspace* FindWorkspace(const std::string& aKey) const;
  /// The priorities of the streams of a pool of model engines; nullptr when the pool's routes don't differ in priority.
  /// Of several pools whose routes do, only the one with the largest sum of route weights has any.
  const policy::priority_levels* MixedPriorities(const pool_name& aPool) const;
  /// Whether the streams of all routes that use a pool can be resumed.
  bool AllStreamsResumable(const pool_name& aPool) const;

private:
  void IndexPriorities();

  std::unordered_map<std::string, std::vector<const route*>> mByHost; ///< longest prefix first
  std::unordered_map<pool_name, const pool*> mPoolsByName;
  std::unordered_map<pool_name, policy::priority_levels> mMixedPriorities; ///< of at most one pool
};

/// What decides whether a caller's request is admitted.
struct caller_query
{
  std::string_view mHost;
  std::string_view mPath;
  std::string mKey;
  bool mIsConfigured = false; ///< the configuration and the keys have been read
  bool mTrustsKeys = false;   ///< they were confirmed recently
};

/// The route and workspace of an admitted request, or the status with which it is rejected.
struct caller_verdict
{
  const route* mRoute = nullptr;
  const workspace* mWorkspace = nullptr; ///< set if the route needs a key
  unsigned mStatus = 0;                  ///< 0: admitted
  std::string_view mReason;
};

/// @param aConfiguration may be null. Owns what the result refers to.
caller_verdict CheckCaller(const configuration* aConfiguration, const caller_query& aQuery);

/// Chooses the pool for a request of a route, at random by weight.
/// @param aDraw a random number that is the same for each attempt of one request.
const pool_name& DrawPool(const route& aRoute, std::uint64_t aDraw);

} // namespace chervilpulley::gateway
