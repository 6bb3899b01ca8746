#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>

#include "gateway/caller_session.h"
#include "gateway/relay_messages.h"
#include "gateway/store_cache.h"

/// Serves this gateway's cache of the store to other gateways of its failure domain, so that only one of them has to
/// read the store.
namespace chervilpulley::gateway {

/// Number of requests that may wait for updates at the same time; further ones are refused. A relay has about twenty
/// readers.
inline constexpr std::size_t kMaxReaders = 128;
/// Maximum size of a request's body; readers send none.
inline constexpr std::size_t kMaxRelayBodyBytes = 4U << 10U;
/// Maximum wait of a request, even if it asks for more.
inline constexpr duration kMaxRelayWait = std::chrono::seconds(5);

/// A request that waits for updates. Ages are measured by a clock that continues while the machine is suspended, so
/// that a relay does not report old data as fresh after a suspension.
class waiting_reader
  : public request_handler
  , public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  waiting_reader(boost::asio::io_context& aContext,
                 ref<caller_session> aSession,
                 ref<store_cache> aCache,
                 const relay_request& aRelayRequest);

  /// Waits for as long as the request allows, and then responds.
  void Start();
  bool HasUpdates() const
  {
    return mCache->HasUpdates(mRequest.mPosition) || mCache->Confirmation() != mRequest.mConfirmation;
  }
  void Respond();
  /// Ends the wait with status 503; the reader turns to another source.
  void Refuse();
  void OnCallerGone() override { Forget(); }
  void OnWritten() override {}

private:
  void End(net::http_reply aReply);
  void Forget();

  ref<caller_session> mSession;
  ref<store_cache> mCache;
  relay_request mRequest;
  instant mArrived;
  boost::asio::steady_timer mTimer;
};

/// Listens for the requests of other gateways and keeps those that wait for updates.
class store_relay : public session_host
{
public:
  /// @param aMayServe returns whether readers may be served; they are refused otherwise.
  /// @param aMaxConnections maximum number of open connections of readers.
  store_relay(boost::asio::io_context& aContext,
              ref<store_cache> aCache,
              std::function<bool()> aMayServe,
              std::size_t aMaxConnections);
  ~store_relay() override;

  /// Listens; false if the address can't be bound.
  bool Start(const net::endpoint& aAddress);
  /// The address on which it listens; empty if it was not started.
  std::string LocalAddress() const { return mListener ? mListener->LocalEndpoint().Str() : ""; }
  /// Refuses all waiting and future readers, so that they turn to other sources.
  void Leave();
  std::size_t Readers() const { return mReaders.size(); }

  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return mIsLeaving; }
  std::size_t MaxConnections() const override { return mMaxConnections; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override;

private:
  /// Responds to all waiting readers that have updates.
  void RespondToReaders();

  boost::asio::io_context& mContext;
  ref<store_cache> mCache;
  std::function<bool()> mMayServe;
  ref<caller_listener> mListener;
  caller_limits mLimits;
  std::size_t mMaxConnections;
  boost::intrusive::list<waiting_reader, boost::intrusive::constant_time_size<false>> mReaders;
  bool mIsLeaving = false;
};

} // namespace chervilpulley::gateway
