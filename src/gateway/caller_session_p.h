#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/intrusive/list.hpp>

#include <memory>
#include <optional>

#include "gateway/caller_session.h"
#include "gateway/request_memory.h"
#include "net/http_p.h"

/// Classes shared by the source files of callers' connections.
namespace chervilpulley::gateway {

class listener_impl;

enum class session_phase
{
  Idle,    ///< waiting for a request
  Reading, ///< the first bytes of a request have arrived
  Responding,
  Lingering, ///< closed by this side; what the caller still sends is discarded
  Closed
};

/// One connection of a caller. It reads a request, passes it to the host, writes the response and waits for the next.
class session_impl
  : public caller_session
  , public memory_holder
  , public boost::intrusive::list_base_hook<boost::intrusive::tag<session_impl>>
{
public:
  session_impl(ref<listener_impl> aListener, boost::asio::ip::tcp::socket aSocket);
  ~session_impl() override;

  void WaitForRequest();
  void CloseIfIdle(duration aFirstRequestTime);
  void LogOpen(instant aNow) const;
  /// Whether closing the connection loses nothing: it is idle and no bytes of a request have arrived.
  bool IsUnused();
  bool HasHadRequest() const { return mHasHadRequest; }
  instant PhaseSince() const { return mPhaseSince; }
  /// Closes an unused connection, whose descriptor is needed.
  void CloseForRoom() { Close(); }

  void RejectIncomplete() override;
  void DropResponse() override;

  void SetHandler(ref<request_handler> aHandler) override;
  void Respond(net::http_reply aReply) override;
  void Begin(const net::http_reply& aHead, std::string_view aBytes) override;
  void Write(std::string_view aBytes) override;
  void Finish() override;
  void Abort() override;
  std::size_t Backlog() const override { return mOutput.size() - mOutputSent; }

private:
  void ReadHead();
  void HeadArrived();
  void AwaitBytes();
  void ReadSome();
  void Parse(std::string_view aBytes);
  boost::system::error_code ParseMore(std::string_view& aBytes);
  void KeepUnparsed(std::string_view aBytes, bool aIsBuffered);
  std::size_t RequestBytes() const;
  void UpdateMemory();
  void HandleRequest();
  void RejectRequest(const boost::system::error_code& aError);
  void RejectForMemory();
  void Reject(net::http_reply aReply);
  std::string EncodeHead(const net::http_reply& aReply, std::string_view aFraming);
  bool CheckOutput(std::string_view aCall, bool aNeedsBegun);
  void EndResponse();
  void Flush();
  void OnFlushed();
  void WatchCaller();
  void HandleDisconnect();
  void NotifyCallerGone();
  void Linger();
  void LimitLinger();
  void Discard();
  void Free();
  void Close();
  bool IsEnded() const { return mPhase == session_phase::Lingering || mPhase == session_phase::Closed; }
  void StartTimeout(duration aTime);

  ref<listener_impl> mListener;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer{ net::kMaxReadAheadBytes };
  std::optional<net::request_message_parser> mParser;
  std::size_t mHeadBytes = 0;    ///< of the head of the request that is being read
  std::size_t mRunningBytes = 0; ///< of the request in progress
  session_phase mPhase = session_phase::Idle;
  instant mPhaseSince;
  ref<request_handler> mHandler;
  std::string mOutput;
  std::size_t mOutputSent = 0;
  std::size_t mDiscarded = 0; ///< bytes received while lingering
  bool mIsWriting = false;
  bool mIsWatching = false;
  bool mKeepAlive = true;
  bool mHasHadRequest = false;
  bool mIsHead = false;     ///< the request's method is HEAD
  bool mIsChunked = false;  ///< the response was begun without a length and is sent in chunks
  bool mIsComplete = false; ///< the response is written, though perhaps not yet sent
  bool mIsCounted = true;   ///< among the open connections of the listener
  unsigned mGeneration = 0; ///< changes with each phase of a request, so that an outdated timer is ignored
};

/// The listener, with a list of its sessions.
class listener_impl : public caller_listener
{
public:
  listener_impl(boost::asio::io_context& aContext, ref<session_host> aHost)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mRetryTimer(aContext)
    , mHost(std::move(aHost))
  {
  }

  bool Bind(const net::endpoint& aEndpoint);
  void Accept() override;
  net::endpoint LocalEndpoint() const override;
  void StopAccepting() override;
  void CloseIdle(duration aFirstRequestTime) override;
  void LogOpen(instant aNow) const override;
  std::size_t Open() const override { return mSessions.size(); }
  std::uint64_t ClosedForRoom() const override { return mClosedForRoom; }

  void Add(session_impl& aSession)
  {
    mSessions.push_back(aSession);
    ++mOpenSockets;
  }
  void Remove(session_impl& aSession) { mSessions.erase(mSessions.iterator_to(aSession)); }
  /// Notes that the socket of a session was closed.
  void SocketClosed() { --mOpenSockets; }
  boost::asio::io_context& Context() { return mContext; }
  session_host& Host() { return *mHost; }

private:
  void Serve(boost::asio::ip::tcp::socket aSocket);
  bool MakeRoom();

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  ref<session_host> mHost;
  /// In the order in which they were accepted.
  boost::intrusive::list<
    session_impl,
    boost::intrusive::base_hook<boost::intrusive::list_base_hook<boost::intrusive::tag<session_impl>>>>
    mSessions;
  std::size_t mOpenSockets = 0;
  std::uint64_t mClosedForRoom = 0;
  instant mNextRoomLog;
};

} // namespace chervilpulley::gateway
