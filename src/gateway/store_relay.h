#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>

#include "gateway/caller_session.h"
#include "gateway/relay_messages.h"
#include "gateway/store_cache.h"

/// Answers other gateways of the failure domain from this one's copy of the store.
namespace chervilpulley::gateway {

/// Questions that wait for news at once; further ones are refused. A relay has some twenty readers.
inline constexpr std::size_t kMaxReaders = 128;
/// Longest wait of a question, whatever it asks for.
inline constexpr duration kMaxRelayWait = std::chrono::seconds(5);

/// A question that waits for news. The clock that ages are of runs on while the machine is suspended, so that a relay
/// that was frozen does not call old news fresh.
class waiting_reader
  : public request_handler
  , public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  waiting_reader(boost::asio::io_context& aContext,
                 ref<caller_session> aSession,
                 ref<store_cache> aCopy,
                 const relay_request& aQuestion);

  /// Waits for as long as the question says.
  void Start();
  bool HasUpdates() const { return mCache->HasUpdates(mQuestion.mPosition); }
  void Respond();
  /// Ends the wait with an answer that says nothing of the store.
  void Refuse();
  void OnCallerGone() override { Forget(); }
  void OnWritten() override {}

private:
  void End(net::http_reply aReply);
  void Forget();

  ref<caller_session> mSession;
  ref<store_cache> mCache;
  relay_request mQuestion;
  instant mArrived;
  boost::asio::steady_timer mTimer;
};

class store_relay : public session_host
{
public:
  /// @param aMayServe false: readers are sent to other sources.
  store_relay(boost::asio::io_context& aContext, ref<store_cache> aCopy, std::function<bool()> aMayServe);
  ~store_relay() override;

  /// Listens; false when the address can't be had.
  bool Start(const net::endpoint& aAddress);
  /// Where others reach it; empty when it was not started.
  std::string LocalAddress() const { return mListener ? mListener->LocalEndpoint().Str() : ""; }
  /// Sends all readers to other sources.
  void Leave();
  std::size_t Readers() const { return mReaders.size(); }

  const caller_limits& Limits() const override { return mLimits; }
  bool IsLeaving() const override { return mIsLeaving; }
  void Handle(const ref<caller_session>& aSession, net::http_request aRequest) override;

private:
  void RespondToReaders();

  boost::asio::io_context& mContext;
  ref<store_cache> mCache;
  std::function<bool()> mMayServe;
  ref<caller_listener> mListener;
  caller_limits mLimits;
  boost::intrusive::list<waiting_reader, boost::intrusive::constant_time_size<false>> mReaders;
  bool mIsLeaving = false;
};

} // namespace chervilpulley::gateway
