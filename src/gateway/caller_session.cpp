#include "gateway/caller_session_p.h"

#include <fmt/format.h>

#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Times the limit for a head that a body may take.
constexpr int kBodyTimeFactor = 5;

} // namespace

session_impl::session_impl(ref<listener_impl> aListener, tcp::socket aSocket)
  : mListener(std::move(aListener))
  , mSocket(std::move(aSocket))
  , mTimer(mListener->Context())
{
  error_code ignored;
  mSocket.set_option(tcp::no_delay(true), ignored);
  mSocket.non_blocking(true, ignored);
  mListener->Add(*this);
}

session_impl::~session_impl()
{
  mListener->Remove(*this);
}

void session_impl::Limit(duration aTime)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = ref<session_impl>(this), round = mRound](const error_code& aError) {
    if (aError || round != self->mRound || self->mPhase == session_phase::Answering ||
        self->mPhase == session_phase::Closed) {
      return;
    }
    if (self->mPhase == session_phase::Reading) {
      net::http_reply reply;
      reply.mStatus = 408;
      self->mKeepAlive = false;
      self->mPhase = session_phase::Answering;
      self->Respond(std::move(reply));
      return;
    }
    self->Close();
  });
}

void session_impl::WaitForRequest()
{
  mPhase = session_phase::Idle;
  ++mRound;
  if (mBuffer.size() > 0) {
    ReadHead();
    return;
  }
  Limit(mListener->Host().Limits().mIdleTimeout);
  mSocket.async_wait(tcp::socket::wait_read, [self = ref<session_impl>(this)](const error_code& aError) {
    if (self->mPhase != session_phase::Idle) {
      return;
    }
    if (aError) {
      self->Close();
      return;
    }
    self->ReadHead();
  });
}

void session_impl::ReadHead()
{
  mPhase = session_phase::Reading;
  ++mRound;
  Limit(mListener->Host().Limits().mHeaderTimeout);
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mListener->Host().Limits().mMaxHeaderBytes));
  mParser->body_limit(mListener->Host().Limits().mMaxBodyBytes);
  http::async_read_header(
    mSocket, mBuffer, *mParser, [self = ref<session_impl>(this)](const error_code& aError, std::size_t) {
      if (self->mPhase != session_phase::Reading) {
        return;
      }
      if (aError) {
        self->Refuse(aError);
        return;
      }
      self->ReadBody();
    });
}

void session_impl::ReadBody()
{
  if (mParser->is_done()) {
    TakeRequest();
    return;
  }
  ++mRound;
  Limit(mListener->Host().Limits().mHeaderTimeout * kBodyTimeFactor);
  if (boost::beast::iequals(mParser->get()[http::field::expect], "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  http::async_read(mSocket, mBuffer, *mParser, [self = ref<session_impl>(this)](const error_code& aError, std::size_t) {
    if (self->mPhase != session_phase::Reading) {
      return;
    }
    if (aError) {
      self->Refuse(aError);
      return;
    }
    self->TakeRequest();
  });
}

void session_impl::TakeRequest()
{
  mPhase = session_phase::Answering;
  ++mRound;
  mTimer.cancel();
  mIsBegun = false;
  mIsDone = false;
  auto message = mParser->release();
  mParser.reset();
  mKeepAlive = message.keep_alive();
  mIsHead = message.method() == http::verb::head;
  net::http_request request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.mHeaders.Add(std::string_view(name.data(), name.size()), std::string_view(value.data(), value.size()));
  }
  request.mBody = std::move(message.body());
  WatchCaller();
  mListener->Host().Handle(ref<caller_session>(this), std::move(request));
}

/// Answers bytes that are no request, or too large a one.
void session_impl::Refuse(const error_code& aError)
{
  net::http_reply reply;
  if (aError == http::error::body_limit) {
    reply.mStatus = 413;
  } else if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    reply.mStatus = 431;
  } else if (aError.category() == http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream && aError != http::error::partial_message) {
    reply.mStatus = 400;
  } else {
    Close();
    return;
  }
  log_line(log_event::RequestUnreadable).Text("reason", aError.message()).Count("status", reply.mStatus);
  mKeepAlive = false;
  mPhase = session_phase::Answering;
  Respond(std::move(reply));
}

void session_impl::SetHandler(ref<request_handler> aWork)
{
  if (mPhase == session_phase::Answering && !mIsDone) {
    mWork = std::move(aWork);
  }
}

std::string session_impl::HeadOf(const net::http_reply& aReply, std::string_view aFraming)
{
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n",
                                 aReply.mStatus,
                                 std::string(http::obsolete_reason(static_cast<http::status>(aReply.mStatus))));
  for (const net::http_header& header : aReply.mHeaders.All()) {
    head += header.mName + ": " + header.mValue + "\r\n";
  }
  if (mListener->Host().IsLeaving()) {
    mKeepAlive = false;
  }
  if (!mKeepAlive) {
    head += "Connection: close\r\n";
  }
  head += aFraming;
  head += "\r\n\r\n";
  return head;
}

void session_impl::Respond(net::http_reply aReply)
{
  if (mPhase != session_phase::Answering || mIsDone) {
    return;
  }
  mOut += HeadOf(aReply, fmt::format("Content-Length: {}", aReply.mBody.size()));
  if (!mIsHead) {
    mOut += aReply.mBody;
  }
  AnswerDone();
}

void session_impl::Begin(const net::http_reply& aHead, std::string_view aBytes)
{
  if (mPhase != session_phase::Answering || mIsDone) {
    return;
  }
  mIsBegun = true;
  mOut += HeadOf(aHead, "Transfer-Encoding: chunked");
  Write(aBytes);
}

void session_impl::Write(std::string_view aBytes)
{
  if (mPhase == session_phase::Closed || mIsDone) {
    return;
  }
  if (mIsBegun && !aBytes.empty()) {
    mOut += fmt::format("{:x}\r\n", aBytes.size());
    mOut += aBytes;
    mOut += "\r\n";
  } else {
    mOut += aBytes;
  }
  Flush();
}

void session_impl::Finish()
{
  if (mPhase != session_phase::Answering || mIsDone) {
    return;
  }
  mOut += "0\r\n\r\n";
  AnswerDone();
}

void session_impl::AnswerDone()
{
  mIsDone = true;
  mWork.reset();
  Flush();
}

void session_impl::Cut()
{
  mWork.reset();
  Close();
}

void session_impl::Flush()
{
  if (mIsWriting || mPhase == session_phase::Closed) {
    return;
  }
  while (mOutTaken < mOut.size()) {
    error_code error;
    mOutTaken += mSocket.write_some(asio::buffer(mOut.data() + mOutTaken, mOut.size() - mOutTaken), error);
    if (error == asio::error::would_block) {
      mIsWriting = true;
      mSocket.async_wait(tcp::socket::wait_write, [self = ref<session_impl>(this)](const error_code& aError) {
        self->mIsWriting = false;
        if (self->mPhase == session_phase::Closed) {
          return;
        }
        if (aError) {
          self->CallerGone();
          return;
        }
        self->Flush();
      });
      return;
    }
    if (error) {
      CallerGone();
      return;
    }
  }
  mOut.clear();
  mOutTaken = 0;
  AfterFlush();
}

void session_impl::AfterFlush()
{
  if (mIsDone && mPhase == session_phase::Answering) {
    // The head of a long answer may have gone out before this instance began to leave.
    if (!mKeepAlive || mListener->Host().IsLeaving()) {
      Close();
      return;
    }
    WaitForRequest();
    return;
  }
  if (mWork) {
    const ref<request_handler> work = mWork;
    work->OnWritten();
  }
}

/// Waits for the end of the caller's connection while a request is answered.
void session_impl::WatchCaller()
{
  if (mIsWatching || mBuffer.size() > 0) {
    return;
  }
  mIsWatching = true;
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = ref<session_impl>(this), round = mRound](const error_code& aError) {
                       self->mIsWatching = false;
                       if (self->mPhase != session_phase::Answering) {
                         return;
                       }
                       if (round != self->mRound) {
                         self->WatchCaller();
                         return;
                       }
                       char byte = 0;
                       error_code error = aError;
                       std::size_t size = 0;
                       if (!error) {
                         size = self->mSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
                       }
                       if (error == asio::error::would_block) {
                         self->WatchCaller();
                       } else if (error || size == 0) {
                         self->CallerGone();
                       }
                     });
}

void session_impl::CallerGone()
{
  const ref<session_impl> self(this);
  const ref<request_handler> work = std::exchange(mWork, nullptr);
  Close();
  if (work) {
    work->OnCallerGone();
  }
}

void session_impl::CloseIfIdle()
{
  // A request that has come and was not read yet would be reset.
  error_code error;
  if (mPhase == session_phase::Idle && mSocket.available(error) == 0) {
    Close();
  }
}

void session_impl::Close()
{
  mPhase = session_phase::Closed;
  mTimer.cancel();
  error_code ignored;
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mSocket.close(ignored);
}

} // namespace chervilpulley::gateway
