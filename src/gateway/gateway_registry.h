#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway/peer_hints.h"
#include "gateway/store_sync.h"
#include "policy/peer_counter.h"
#include "policy/slack_share.h"

/// Registers this gateway in the store, counts the live gateways, which share the slack of retries and the engines'
/// memory, and chooses the gateways through which this one reads the store, so that a large fleet does not overload it.
namespace chervilpulley::gateway {

/// Renews this gateway's object in the store and reads those of the others periodically.
class gateway_registry : public ref_counted
{
public:
  gateway_registry(boost::asio::io_context& aContext,
                   instance_id aSelf,
                   failure_domain_id aDomain,
                   std::string aRelayAddress,
                   ref<store_client> aStore,
                   ref<store_sync> aSync,
                   ref<fleet> aFleet,
                   ref<peer_hints> aHints);

  /// Starts to renew this gateway's object and to read those of the others.
  void Start();
  /// Removes this gateway's object, so that the others need not wait for it to expire.
  void Leave();
  /// Whether the other gateways have been read at least once.
  bool IsRead() const { return mIsRead; }

private:
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<bool> Write();
  boost::asio::awaitable<void> Remove();
  boost::asio::awaitable<void> ReadPeriodically();
  boost::asio::awaitable<bool> ReadAll();
  void Count();
  void UpdateShare();
  bool IsOwn(const wire::record& aObject) const;
  void ChooseRelays();
  std::vector<relay_address> ChooseWitnesses() const;

  boost::asio::io_context& mContext;
  instance_id mSelf;
  failure_domain_id mDomain;
  std::string mRelayAddress; ///< where other gateways read the store through this one
  ref<store_client> mStore;
  ref<store_sync> mSync;
  ref<fleet> mFleet;
  ref<peer_hints> mHints;
  policy::peer_counter mPeerCounter;
  policy::share_holder mShareHolder;
  std::map<instance_id, net::endpoint> mRelayAddresses;
  std::optional<policy::store_revision> mRevision; ///< revision of this gateway's object in the store
  std::optional<policy::store_era> mWrittenEra;    ///< in which this gateway's object was last written
  std::size_t mGatewayCount = 0;
  instant mStartedAt;
  bool mIsRead = false;
  bool mIsLeaving = false;
};

} // namespace chervilpulley::gateway
