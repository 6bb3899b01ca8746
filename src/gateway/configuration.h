#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ref_counted.h"
#include "policy/engine_model.h"

/// The operators' configuration as a gateway uses it: routes, pools of backend servers, workspaces and their keys.
namespace chervilpulley::gateway {

/// What may be repeated.
enum class request_kind
{
  Idempotent, ///< may run more than once
  AtMostOnce, ///< must not run twice
  Stream      ///< answers with events; repeated only as a resumption
};

struct pool_share
{
  pool_name mPool;
  double mWeight = 0;
};

struct route
{
  route_name mName;
  std::string mHost;
  std::string mPathPrefix;
  request_kind mKind = request_kind::AtMostOnce;
  duration mTimeout{ 0 };         ///< longest time that a caller is kept waiting
  duration mObjective{ 0 };       ///< time within which an answer, or a first event, is on time
  duration mGapObjective{ 0 };    ///< longest pause between events
  std::uint32_t mPriority = 0;    ///< 0 is the most urgent
  std::uint32_t mMaxAttempts = 1; ///< backend servers that may run one request
  bool mNeedsKey = true;
  bool mIsResumable = false;
  std::vector<pool_share> mPools;
};

struct pool
{
  pool_name mName;
  std::string mHealthPath;
  std::uint32_t mMaxConnections = 0;
  std::optional<policy::engine_model> mEngine; ///< for pools of model engines
};

struct workspace
{
  workspace_id mName;
  std::optional<std::uint32_t> mPriority; ///< goes before that of the route
};

/// Bounds on what callers may send.
struct caller_limits
{
  std::size_t mMaxHeaderBytes = 16U << 10U;
  std::size_t mMaxBodyBytes = 4U << 20U;
  duration mHeaderTimeout = std::chrono::seconds(3);
  duration mIdleTimeout = std::chrono::seconds(15);
};

/// One version of the configuration; never changed once made.
class configuration : public ref_counted
{
public:
  std::uint64_t mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<pool> mPools;
  std::vector<workspace> mWorkspaces;
  std::unordered_map<std::string, std::size_t> mKeys; ///< key to index in mWorkspaces
  caller_limits mLimits;

  /// Makes the tables for the look-ups below; called once, when all is filled in.
  void Index();
  /// The route of a host with the longest prefix of the path.
  const route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const pool* FindPool(const pool_name& aName) const;
  const workspace* FindWorkspace(const std::string& aKey) const;
  /// Whether all streams that may pass through a pool can be resumed.
  bool AllStreamsResumable(const pool_name& aPool) const;

private:
  std::unordered_map<std::string, std::vector<const route*>> mByHost; ///< longest prefix first
  std::unordered_map<pool_name, const pool*> mPoolsByName;
};

/// The pool that takes a request of a route, drawn by weight.
/// @param aDraw a number that is the same for each try of one request.
const pool_name& DrawPool(const route& aRoute, std::uint64_t aDraw);

} // namespace chervilpulley::gateway
