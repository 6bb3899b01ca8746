#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway/fleet.h"
#include "gateway/gateway_metrics.h"
#include "gateway/relay_messages.h"
#include "gateway/store_cache.h"
#include "gateway/wire.h"
#include "net/http_client.h"
#include "policy/source_choice.h"

/// Follows what the platform's store says: the configuration, confirmed again and again, and the list of backend
/// servers. It is read from the store itself, or from a relay: a gateway of the same failure domain that has read it.
namespace chervilpulley::gateway {

struct store_bounds
{
  duration mConfiguration{ 0 }; ///< from acceptance until in force
  duration mKeys{ 0 };          ///< from acceptance until a key is refused
  duration mDrain{ 0 };         ///< from leaving until no work comes
};

/// Calls to the store; each failure is logged and counted once here.
class store_client : public ref_counted
{
public:
  store_client(boost::asio::io_context& aContext, net::endpoint aStore, ref<gateway_metrics> aMetrics);

  /// The answer's body for a success; nothing, and the reason, otherwise.
  struct outcome
  {
    unsigned mStatus = 0; ///< 0: no answer
    std::string mBody;
    bool IsSuccess() const { return mStatus >= 200 && mStatus < 300; }
  };
  boost::asio::awaitable<outcome> Call(net::http_request aRequest, duration aTimeout);

private:
  net::endpoint mStore;
  ref<net::http_client> mClient;
  ref<gateway_metrics> mMetrics;
  bool mIsLost = false;
};

/// A gateway that has read the store and hands on what it read.
struct relay_address
{
  instance_id mInstance;
  net::endpoint mAddress;
};

class store_sync : public ref_counted
{
public:
  store_sync(boost::asio::io_context& aContext,
             ref<store_client> aCalls,
             ref<fleet> aFleet,
             ref<gateway_metrics> aMetrics,
             store_bounds aBounds);

  void Start();
  /// Whom to ask instead of the store, the best one first.
  /// @param aReadsStore this gateway reads the store for its failure domain.
  void SetRelays(std::vector<relay_address> aRelays, bool aReadsStore);
  /// Configuration and list of backend servers have been read.
  bool IsComplete() const { return mFleet->Configuration() != nullptr && mHasMembers; }
  /// What was read comes from a relay.
  bool IsFollowing() const { return mIsFollowing; }
  /// Whether others may take from this gateway what it has read. Not while the one that reads the store for its failure
  /// domain lives on the word of another: the two would take each other's.
  bool MayRelay() const { return !(mSources.ReadsStore() && mIsFollowing); }
  const policy::key_freshness& Keys() const { return mKeys; }
  const ref<store_cache>& Cache() const { return mCache; }

private:
  boost::asio::awaitable<void> FollowConfiguration();
  boost::asio::awaitable<bool> ReadConfiguration();
  boost::asio::awaitable<void> FollowMembers();
  boost::asio::awaitable<bool> ListMembers();
  boost::asio::awaitable<bool> WatchMembers();
  boost::asio::awaitable<void> FollowRelays();
  boost::asio::awaitable<std::string> AskRelay(net::endpoint aRelay);
  boost::asio::awaitable<std::string> TakeNews(relay_response aAnswer, instant aAsked);
  void TakeConfiguration(const wire::record& aObject, instant aAsked);
  void Confirmed(instant aAsked);
  void TakeList(std::vector<wire::record> aItems, std::uint64_t aRevision);
  void TakeChanges(std::vector<wire::record_change> aChanges, std::uint64_t aRevision);
  void TakeMember(const wire::record& aObject, std::vector<policy::backend_member>& aMembers);
  void ListLost();
  duration RelayWait() const;
  bool IsStoreFailing() const;

  boost::asio::io_context& mContext;
  ref<store_client> mCalls;
  ref<fleet> mFleet;
  ref<gateway_metrics> mMetrics;
  store_bounds mBounds;
  policy::key_freshness mKeys;
  ref<store_cache> mCache;
  ref<net::http_client> mRelayClient;
  policy::source_choice mSources;
  std::map<instance_id, net::endpoint> mRelayAddresses;
  std::string mLastBody; ///< of the configuration, to see without parsing that it is the same
  bool mHasMembers = false;
  bool mIsFollowing = false;
};

/// A clock that runs on while the machine is suspended.
instant BootNow();

/// Waits.
boost::asio::awaitable<void> Pause(duration aTime);

} // namespace chervilpulley::gateway
