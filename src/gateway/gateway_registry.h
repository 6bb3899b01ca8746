#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "gateway/peer_hints.h"
#include "gateway/store_sync.h"
#include "policy/peer_census.h"

/// Makes this gateway known to the others, counts them, as they share the budget for repeats and the engines' memory,
/// and says from which of them it takes what the store says.
namespace chervilpulley::gateway {

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

  void Start();
  /// Removes this gateway's object, so that the others need not wait.
  void Leave();
  /// Whether the other gateways have been read once.
  bool IsRead() const { return mIsRead; }

private:
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> Remove();
  boost::asio::awaitable<void> Follow();
  boost::asio::awaitable<bool> ReadAll();
  void Count();
  void ChooseRelays();

  boost::asio::io_context& mContext;
  instance_id mSelf;
  failure_domain_id mDomain;
  std::string mRelayAddress; ///< where others ask what we have read of the store
  ref<store_client> mStore;
  ref<store_sync> mSync;
  ref<fleet> mFleet;
  ref<peer_hints> mHints;
  policy::peer_census mCensus;
  std::map<instance_id, net::endpoint> mRelayAddresses;
  std::optional<std::uint64_t> mRevision; ///< of our object
  std::size_t mCounted = 0;
  instant mStartedAt;
  bool mIsRead = false;
  bool mIsLeaving = false;
};

} // namespace chervilpulley::gateway
