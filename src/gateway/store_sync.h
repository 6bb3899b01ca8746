#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

#include "gateway/fleet.h"
#include "gateway/gateway_metrics.h"
#include "gateway/relay_messages.h"
#include "gateway/store_cache.h"
#include "gateway/store_client.h"
#include "gateway/wire.h"
#include "net/http_client.h"
#include "policy/source_choice.h"
#include "policy/store_schedule.h"

/// Keeps the configuration and the list of backend servers up to date with the platform's store, and confirms regularly
/// that the configuration is current. Reads from the store itself, or from a relay: another gateway of the same failure
/// domain that has read the store. Relays reduce the calls to the store, and keep the data current while the store
/// fails for this gateway.
namespace chervilpulley::gateway {

/// A gateway that serves its cache of the store.
struct relay_address
{
  instance_id mInstance;
  net::endpoint mAddress;
};

/// Reads the store or a relay in three coroutines: configuration, list of backend servers, relays.
class store_sync : public ref_counted
{
public:
  store_sync(boost::asio::io_context& aContext,
             ref<store_client> aStoreClient,
             ref<fleet> aFleet,
             ref<gateway_metrics> aMetrics,
             policy::store_bounds aBounds);

  void Start();
  /// Sets the relays to read instead of the store, in order of preference.
  /// @param aReadsStore this gateway reads the store for its failure domain.
  void SetRelays(std::vector<relay_address> aRelays, bool aReadsStore);
  /// Sets other gateways to ask whether the store has served them while it failed for this one.
  void SetWitnesses(std::vector<relay_address> aWitnesses) { mWitnesses = std::move(aWitnesses); }
  /// Whether the configuration and the list of backend servers have been read.
  bool IsComplete() const { return mFleet->Configuration() != nullptr && mHasMembers; }
  /// Whether it reads from a relay at present.
  bool IsFollowing() const { return mIsFollowing; }
  /// Whether other gateways may read this gateway's cache. False while the gateway that reads the store for its failure
  /// domain follows a relay itself: the two would confirm each other's old data.
  bool MayRelay() const { return !(mSources.ReadsStore() && mIsFollowing); }
  const policy::key_freshness& Keys() const { return mKeys; }
  const ref<store_cache>& Cache() const { return mCache; }

private:
  boost::asio::awaitable<void> FollowConfiguration();
  /// The functions that return bool return false if a read failed and has to be repeated.
  boost::asio::awaitable<bool> ReadConfiguration(duration aTimeout);
  boost::asio::awaitable<void> FollowMembers();
  boost::asio::awaitable<bool> ListMembers();
  boost::asio::awaitable<bool> WatchMembers();
  boost::asio::awaitable<void> FollowRelays();
  /// Each of the following two returns what is wrong with the relay, or an empty string.
  boost::asio::awaitable<std::string> QueryRelay(net::endpoint aRelay, duration aMaxAge);
  boost::asio::awaitable<std::string> ApplyUpdates(relay_response aResponse, instant aRequestedAt, duration aMaxAge);
  void ApplyConfiguration(const wire::record& aObject, instant aRequestedAt);
  void Confirmed(instant aRequestedAt);
  void ApplyList(std::vector<wire::record> aItems, const policy::store_revision& aRevision);
  void ApplyChanges(std::vector<wire::record_change> aChanges, const policy::store_revision& aRevision);
  void AppendMember(wire::record& aObject, std::vector<policy::backend_member>& aMembers, bool aIsLogged);
  void MembersApplied();
  boost::asio::awaitable<void> AskWitness(relay_address aWitness);
  void SetFollowing(bool aIsFollowing);
  duration ConfigurationAge() const;
  bool IsStoreFailing() const;

  boost::asio::io_context& mContext;
  ref<store_client> mStoreClient;
  ref<fleet> mFleet;
  ref<gateway_metrics> mMetrics;
  policy::store_bounds mBounds;
  policy::store_schedule mSchedule;
  policy::key_freshness mKeys;
  ref<store_cache> mCache;
  ref<net::http_client> mRelayClient;
  policy::source_choice mSources;
  std::map<instance_id, net::endpoint> mRelayAddresses;
  std::vector<relay_address> mWitnesses;
  std::optional<instant> mWitnessesAskedAt;
  boost::asio::steady_timer mRemovalTimer;    ///< ends when the next held removal takes effect
  std::set<std::string> mUnreadableEntries;   ///< names of listed entries that name no backend server to use
  duration mReadTime{ 0 };                    ///< of the last read of the configuration
  std::string mLastBody;                      ///< of the configuration; an equal body needs no parsing
  std::optional<std::uint64_t> mOlderVersion; ///< last configuration that was older than the one in force
  bool mHasMembers = false;
  bool mIsFollowing = false;
  bool mHasPaused = false;                       ///< after changes of the list, before the next watch
  boost::asio::steady_timer mConfigurationTimer; ///< ends early when a relay is followed or left
  boost::asio::steady_timer mMembersTimer;       ///< likewise
  relay_confirmation mRelayConfirmation;         ///< the last one received
};

/// Starts a coroutine. An exception that it does not handle leaves the event loop and ends the process: the process
/// would otherwise go on without the coroutine's work, and nothing would show it.
void Spawn(boost::asio::io_context& aContext, boost::asio::awaitable<void> aCoroutine);

/// Suspends the calling coroutine for this time.
boost::asio::awaitable<void> Pause(duration aTime);

} // namespace chervilpulley::gateway
