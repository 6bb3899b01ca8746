#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/intrusive/list.hpp>

#include <memory>
#include <optional>

#include "gateway/caller_session.h"
#include "net/http_p.h"

/// Shared by the files of callers' connections.
namespace chervilpulley::gateway {

class listener_impl;

enum class session_phase
{
  Idle,    ///< waits for a request
  Reading, ///< a request has begun to come
  Answering,
  Closed
};

class session_impl
  : public caller_session
  , public boost::intrusive::list_base_hook<>
{
public:
  session_impl(ref<listener_impl> aListener, boost::asio::ip::tcp::socket aSocket);
  ~session_impl() override;

  void WaitForRequest();
  void CloseIfIdle();
  bool IsBusy() const { return mPhase == session_phase::Reading || mPhase == session_phase::Answering; }

  void SetHandler(ref<request_handler> aWork) override;
  void Respond(net::http_reply aReply) override;
  void Begin(const net::http_reply& aHead, std::string_view aBytes) override;
  void Write(std::string_view aBytes) override;
  void Finish() override;
  void Cut() override;
  std::size_t Backlog() const override { return mOut.size() - mOutTaken; }

private:
  void ReadHead();
  void ReadBody();
  void TakeRequest();
  void Refuse(const boost::system::error_code& aError);
  std::string HeadOf(const net::http_reply& aReply, std::string_view aFraming);
  void AnswerDone();
  void Flush();
  void AfterFlush();
  void WatchCaller();
  void CallerGone();
  void Close();
  void Limit(duration aTime);

  ref<listener_impl> mListener;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> mParser;
  session_phase mPhase = session_phase::Idle;
  ref<request_handler> mWork;
  std::string mOut;
  std::size_t mOutTaken = 0;
  bool mIsWriting = false;
  bool mIsWatching = false;
  bool mKeepAlive = true;
  bool mIsHead = false; ///< the request's method is HEAD
  bool mIsBegun = false;
  bool mIsDone = false; ///< the answer is written, though perhaps not taken yet
  unsigned mRound = 0;  ///< counts requests, so that an old timer finds itself out of date
};

class listener_impl : public caller_listener
{
public:
  listener_impl(boost::asio::io_context& aContext, ref<session_host> aHost)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mPause(aContext)
    , mHost(std::move(aHost))
  {
  }

  bool Bind(const net::endpoint& aEndpoint);
  void Accept() override;
  net::endpoint LocalEndpoint() const override;
  void StopAccepting() override;
  void CloseIdle() override;
  std::size_t Busy() const override;
  std::size_t Open() const override { return mSessions.size(); }

  void Add(session_impl& aSession) { mSessions.push_back(aSession); }
  void Remove(session_impl& aSession) { mSessions.erase(mSessions.iterator_to(aSession)); }
  boost::asio::io_context& Context() { return mContext; }
  session_host& Host() { return *mHost; }

private:
  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
  ref<session_host> mHost;
  boost::intrusive::list<session_impl> mSessions;
};

} // namespace chervilpulley::gateway
