#include "gateway/caller_session_p.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Limits on waiting for the caller to close its side of a connection that was closed by this side.
constexpr duration kLingerTime = std::chrono::seconds(1);
/// Longest wait for a caller that has not received all of its response yet.
constexpr duration kMaxLingerTime = std::chrono::seconds(15);
constexpr std::size_t kMaxDiscardedBytes = 16U << 20U;
/// Filled and dropped within one read; all sessions share it because there is a single thread.
std::array<char, 16U << 10U> sDiscarded;
/// A buffer that is larger than this is freed when it becomes empty, as its connection may stay open for long.
constexpr std::size_t kMaxKeptBytes = 16U << 10U;

std::string_view NameOf(session_phase aPhase)
{
  switch (aPhase) {
    case session_phase::Idle:
      return "idle";
    case session_phase::Reading:
      return "reading";
    case session_phase::Responding:
      return "responding";
    case session_phase::Lingering:
      return "lingering";
    default:
      return "closed";
  }
}

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
  if (request_memory* memory = mListener->Host().Memory()) {
    memory->Remove(*this);
  }
  if (mIsCounted) {
    mListener->SocketClosed();
  }
  mListener->Remove(*this);
}

void session_impl::StartTimeout(duration aTime)
{
  mTimer.expires_after(aTime);
  mTimer.async_wait([self = ref<session_impl>(this), generation = mGeneration](const error_code& aError) {
    if (aError || generation != self->mGeneration || self->mPhase == session_phase::Responding || self->IsEnded()) {
      return;
    }
    if (self->mPhase == session_phase::Reading) {
      net::http_reply reply;
      reply.mStatus = 408;
      self->Reject(std::move(reply));
      return;
    }
    // A request that arrived in time is read, even if this runs first.
    error_code error;
    if (self->mSocket.available(error) == 0) {
      self->Linger();
    }
  });
}

void session_impl::DropResponse()
{
  const ref<session_impl> self(this);
  const request_memory* memory = mListener->Host().Memory();
  log_line(log_event::CallerMemoryLimited)
    .Text("rejected", "response")
    .Count("bytes", Backlog())
    .Count("held", memory->Held())
    .Count("budget", memory->Budget());
  HandleDisconnect();
}

bool session_impl::IsUnused()
{
  error_code error;
  return mPhase == session_phase::Idle && mBuffer.size() == 0 && mSocket.available(error) == 0;
}

void session_impl::SetHandler(ref<request_handler> aHandler)
{
  if (mPhase == session_phase::Responding && !mIsComplete) {
    mHandler = std::move(aHandler);
  }
}

std::string session_impl::EncodeHead(const net::http_reply& aReply, std::string_view aFraming)
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

/// Whether output may be added to the response. If the response has not reached the stage that the output is for, or is
/// past it, the connection is closed: the caller would find the output in the middle of another response.
bool session_impl::CheckOutput(std::string_view aCall, bool aNeedsBegun)
{
  if (mPhase != session_phase::Responding || mIsComplete) {
    return false;
  }
  if (mIsChunked != aNeedsBegun) {
    log_line(log_event::ResponseInvalid).Text("call", aCall).Text("begun", mIsChunked ? "yes" : "no");
    mKeepAlive = false;
    // The handler still has a call to a backend server, which it ends.
    NotifyCallerGone();
    Abort();
    return false;
  }
  return true;
}

void session_impl::Respond(net::http_reply aReply)
{
  if (!CheckOutput("respond", false)) {
    return;
  }
  mOutput += EncodeHead(aReply, fmt::format("Content-Length: {}", aReply.mBody.size()));
  if (!mIsHead) {
    mOutput += aReply.mBody;
  }
  EndResponse();
}

void session_impl::Begin(const net::http_reply& aHead, std::string_view aBytes)
{
  if (!CheckOutput("begin", false)) {
    return;
  }
  mIsChunked = true;
  mOutput += EncodeHead(aHead, "Transfer-Encoding: chunked");
  Write(aBytes);
}

void session_impl::Write(std::string_view aBytes)
{
  if (!CheckOutput("write", true)) {
    return;
  }
  if (!mIsHead && !aBytes.empty()) {
    mOutput += fmt::format("{:x}\r\n", aBytes.size());
    mOutput += aBytes;
    mOutput += "\r\n";
  }
  Flush();
}

void session_impl::Finish()
{
  if (!CheckOutput("finish", true)) {
    return;
  }
  if (!mIsHead) {
    mOutput += "0\r\n\r\n";
  }
  EndResponse();
}

void session_impl::EndResponse()
{
  mIsComplete = true;
  mHandler.reset();
  mRunningBytes = 0;
  Flush();
}

void session_impl::Abort()
{
  mHandler.reset();
  Linger();
}

void session_impl::Flush()
{
  if (IsEnded()) {
    return;
  }
  if (mIsWriting) {
    UpdateMemory();
    return;
  }
  while (mOutputSent < mOutput.size()) {
    error_code error;
    mOutputSent += mSocket.write_some(asio::buffer(mOutput.data() + mOutputSent, mOutput.size() - mOutputSent), error);
    if (error == asio::error::would_block) {
      if (mOutputSent > kMaxKeptBytes) {
        mOutput.erase(0, std::exchange(mOutputSent, 0));
      }
      mIsWriting = true;
      mSocket.async_wait(tcp::socket::wait_write, [self = ref<session_impl>(this)](const error_code& aError) {
        self->mIsWriting = false;
        if (self->IsEnded()) {
          return;
        }
        if (aError) {
          self->HandleDisconnect();
          return;
        }
        self->Flush();
        if (!self->mIsWriting && self->mHandler) {
          const ref<request_handler> handler = self->mHandler;
          handler->OnWritten();
        }
      });
      UpdateMemory();
      return;
    }
    if (error) {
      HandleDisconnect();
      return;
    }
  }
  mOutput.clear();
  mOutputSent = 0;
  if (mOutput.capacity() > kMaxKeptBytes) {
    mOutput.shrink_to_fit();
  }
  OnFlushed();
}

void session_impl::OnFlushed()
{
  if (mIsComplete && mPhase == session_phase::Responding) {
    if (!mKeepAlive) {
      Linger();
      return;
    }
    WaitForRequest();
  }
  UpdateMemory();
}

/// Waits for the caller to close its connection while a request is being answered.
void session_impl::WatchCaller()
{
  if (mIsWatching || mBuffer.size() > 0) {
    return;
  }
  mIsWatching = true;
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = ref<session_impl>(this), generation = mGeneration](const error_code& aError) {
                       self->mIsWatching = false;
                       if (self->mPhase != session_phase::Responding) {
                         return;
                       }
                       if (generation != self->mGeneration) {
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
                         self->HandleDisconnect();
                       }
                     });
}

void session_impl::HandleDisconnect()
{
  NotifyCallerGone();
  Close();
}

/// Notifies the handler from the event loop: it may be in the middle of the call that found the caller gone.
void session_impl::NotifyCallerGone()
{
  if (const ref<request_handler> handler = std::exchange(mHandler, nullptr)) {
    asio::post(mListener->Context(), [handler] { handler->OnCallerGone(); });
  }
}

void session_impl::LogOpen(instant aNow) const
{
  error_code error;
  const std::size_t unread = mBuffer.size() + mSocket.available(error);
  if (mPhase != session_phase::Reading && mPhase != session_phase::Responding && unread == 0) {
    return;
  }
  log_line(log_event::ConnectionCut)
    .Text("phase", NameOf(mPhase))
    .Count("unsent_bytes", Backlog())
    .Count("unread_bytes", unread)
    .Number("in_phase_ms", std::chrono::duration<double, std::milli>(aNow - mPhaseSince).count());
}

void session_impl::CloseIfIdle(duration aFirstRequestTime)
{
  error_code error;
  const bool mayBeClosed = mHasHadRequest || Now() - mPhaseSince >= aFirstRequestTime;
  // Closing the connection would lose a request that has arrived but has not been read yet.
  if (mPhase == session_phase::Idle && mayBeClosed && mSocket.available(error) == 0) {
    Linger();
  }
}

/// Closes the sending side of the connection and waits for the caller to close its own. Closing both sides while bytes
/// of the caller are unread, or arrive later, resets the connection, and the caller loses what it has not read yet.
void session_impl::Linger()
{
  if (IsEnded()) {
    return;
  }
  const ref<session_impl> self(this);
  mPhase = session_phase::Lingering;
  mPhaseSince = Now();
  ++mGeneration;
  Free();
  error_code error;
  mSocket.shutdown(tcp::socket::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  LimitLinger();
  Discard();
}

/// Closes the connection after kLingerTime, unless the kernel still holds output that the caller has not received.
void session_impl::LimitLinger()
{
  mTimer.expires_after(kLingerTime);
  mTimer.async_wait([self = ref<session_impl>(this)](const error_code& aError) {
    if (aError || self->mPhase != session_phase::Lingering) {
      return;
    }
    int unsent = 0;
    const bool hasOutput = ::ioctl(self->mSocket.native_handle(), SIOCOUTQ, &unsent) == 0 && unsent > 0;
    if (hasOutput && Now() - self->mPhaseSince < kMaxLingerTime) {
      self->LimitLinger();
    } else {
      self->Close();
    }
  });
}

void session_impl::Discard()
{
  error_code error;
  while (!error && mDiscarded < kMaxDiscardedBytes) {
    const std::size_t size = mSocket.read_some(asio::buffer(sDiscarded), error);
    mDiscarded += size;
    if (!error && size < sDiscarded.size()) {
      error = asio::error::would_block;
    }
  }
  if (error != asio::error::would_block) {
    Close();
    return;
  }
  mSocket.async_wait(tcp::socket::wait_read, [self = ref<session_impl>(this)](const error_code& aError) {
    if (self->mPhase == session_phase::Lingering) {
      aError ? self->Close() : self->Discard();
    }
  });
}

/// Frees what the connection holds, at its end.
void session_impl::Free()
{
  mParser.reset();
  mRunningBytes = 0;
  mOutput = {};
  mOutputSent = 0;
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  UpdateMemory();
}

void session_impl::Close()
{
  mPhase = session_phase::Closed;
  Free();
  if (std::exchange(mIsCounted, false)) {
    mListener->SocketClosed();
  }
  mTimer.cancel();
  error_code ignored;
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mSocket.close(ignored);
}

} // namespace chervilpulley::gateway
