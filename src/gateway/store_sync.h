#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway/fleet.h"
#include "gateway/gateway_metrics.h"
#include "gateway/wire.h"
#include "net/http_client.h"

/// Follows the platform's store: the configuration, confirmed again and again, and the list of backend servers.
namespace chervilpulley::gateway {

struct store_bounds
{
  duration mConfiguration{ 0 }; ///< from acceptance until in force
  duration mKeys{ 0 };          ///< from acceptance until a key is refused
  duration mDrain{ 0 };         ///< from leaving until no work comes
};

/// Calls to the store; each failure is logged and counted once here.
class store_calls : public ref_counted
{
public:
  store_calls(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics);

  /// The answer's body for a success; nothing, and the reason, otherwise.
  struct outcome
  {
    unsigned mStatus = 0; ///< 0: no answer
    std::string mBody;
    bool IsGood() const { return mStatus >= 200 && mStatus < 300; }
  };
  boost::asio::awaitable<outcome> Call(net::http_request aRequest, duration aTimeout);

private:
  net::endpoint mStore;
  ref<net::http_client> mClient;
  ref<gateway_metrics> mMetrics;
  bool mIsLost = false;
};

class store_sync : public ref_counted
{
public:
  store_sync(boost::asio::io_context& aContext,
             ref<store_calls> aCalls,
             ref<fleet> aFleet,
             ref<gateway_metrics> aMetrics,
             store_bounds aBounds);

  void Start();
  /// Configuration and list of backend servers have been read.
  bool IsComplete() const { return mFleet->Configuration() != nullptr && mHasMembers; }
  const policy::key_freshness& Keys() const { return mKeys; }

private:
  boost::asio::awaitable<void> FollowConfiguration();
  boost::asio::awaitable<void> FollowMembers();
  boost::asio::awaitable<std::optional<std::uint64_t>> ListMembers();
  boost::asio::awaitable<bool> WatchMembers(std::uint64_t& aRevision);
  void TakeConfiguration(const std::string& aBody, instant aAsked);
  void TakeMember(const wire::stored& aObject, std::vector<policy::backend_member>& aMembers);

  boost::asio::io_context& mContext;
  ref<store_calls> mCalls;
  ref<fleet> mFleet;
  ref<gateway_metrics> mMetrics;
  store_bounds mBounds;
  policy::key_freshness mKeys;
  std::string mLastBody; ///< of the configuration, to see without parsing that it is the same
  bool mHasMembers = false;
};

/// A clock that runs on while the machine is suspended.
instant BootNow();

/// Waits.
boost::asio::awaitable<void> Pause(duration aTime);

} // namespace chervilpulley::gateway
