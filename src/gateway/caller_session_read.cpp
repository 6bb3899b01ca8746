#include <boost/asio/post.hpp>

#include <array>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/caller_session_p.h"
#include "gateway/wire.h"

/// Reads the requests of a caller's connection, within the limits on time, size and what all connections hold.
namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Ratio of the time allowed for a body to that allowed for a head.
constexpr int kBodyTimeoutFactor = 5;
/// Bytes of a request from one read. They are parsed at once, and only what can't be parsed yet is kept.
std::array<char, 16U << 10U> sReceived;

} // namespace

void session_impl::WaitForRequest()
{
  mPhase = session_phase::Idle;
  mPhaseSince = Now();
  ++mGeneration;
  if (mBuffer.size() > 0) {
    ReadHead();
    return;
  }
  StartTimeout(mListener->Host().Limits().mIdleTimeout);
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
  mPhaseSince = Now();
  ++mGeneration;
  // An interim or error response may be written before the request is read completely.
  mIsHead = false;
  mIsChunked = false;
  mIsComplete = false;
  const caller_limits& limits = mListener->Host().Limits();
  StartTimeout(limits.mHeaderTimeout);
  mHeadBytes = 0;
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(limits.mMaxHeaderBytes));
  mParser->body_limit(limits.mMaxBodyBytes);
  mParser->TrailerLimit(limits.mMaxHeaderBytes);
  if (mBuffer.size() == 0) {
    ReadSome();
    return;
  }
  // From the event loop: a response to a pipelined request leads here again.
  asio::post(mListener->Context(), [self = ref<session_impl>(this)] {
    if (self->mPhase == session_phase::Reading) {
      self->Parse({});
    }
  });
}

void session_impl::AwaitBytes()
{
  mSocket.async_wait(tcp::socket::wait_read, [self = ref<session_impl>(this)](const error_code& aError) {
    if (self->mPhase != session_phase::Reading) {
      return;
    }
    if (aError) {
      self->Close();
      return;
    }
    self->ReadSome();
  });
}

void session_impl::ReadSome()
{
  error_code error;
  const std::size_t size = mSocket.read_some(asio::buffer(sReceived), error);
  if (error == asio::error::would_block) {
    AwaitBytes();
  } else if (error) {
    Close();
  } else {
    Parse(std::string_view(sReceived.data(), size));
  }
}

/// Parses the bytes kept so far and those that have arrived since.
void session_impl::Parse(std::string_view aBytes)
{
  const bool isBuffered = mBuffer.size() > 0;
  if (isBuffered && mBuffer.size() + aBytes.size() > mBuffer.max_size()) {
    RejectRequest(http::error::buffer_overflow);
    return;
  }
  if (isBuffered) {
    mBuffer.commit(asio::buffer_copy(mBuffer.prepare(aBytes.size()), asio::buffer(aBytes)));
    aBytes = std::string_view(static_cast<const char*>(mBuffer.data().data()), mBuffer.size());
  }
  const error_code error = ParseMore(aBytes);
  if (mPhase != session_phase::Reading) {
    return;
  }
  KeepUnparsed(aBytes, isBuffered);
  if (error && error != http::error::need_more) {
    RejectRequest(error);
    return;
  }
  if (mParser->is_done()) {
    HandleRequest();
    return;
  }
  // Behind the head, only an incomplete chunk line or trailer section is left unparsed.
  if (mParser->is_header_done() && mBuffer.size() > mListener->Host().Limits().mMaxHeaderBytes) {
    RejectRequest(http::error::header_limit);
    return;
  }
  UpdateMemory();
  if (mPhase == session_phase::Reading) {
    AwaitBytes();
  }
}

/// Parses until the request is complete, more bytes are needed or the connection has ended. Removes the parsed bytes
/// from aBytes.
error_code session_impl::ParseMore(std::string_view& aBytes)
{
  error_code error;
  while (!error && !aBytes.empty() && !mParser->is_done()) {
    const bool wasInHead = !mParser->is_header_done();
    const std::size_t size = mParser->put(asio::buffer(aBytes), error);
    aBytes.remove_prefix(size);
    if (wasInHead) {
      mHeadBytes += size;
      if (!error && mParser->is_header_done()) {
        if (net::HasUnknownLength(*mParser)) {
          return http::error::bad_transfer_encoding;
        }
        HeadArrived();
        if (mPhase != session_phase::Reading) {
          return {};
        }
      }
    }
  }
  return error;
}

/// Keeps the bytes that were not parsed. @param aIsBuffered whether they are the end of mBuffer.
void session_impl::KeepUnparsed(std::string_view aBytes, bool aIsBuffered)
{
  if (aIsBuffered) {
    mBuffer.consume(mBuffer.size() - aBytes.size());
  } else if (!aBytes.empty()) {
    mBuffer.commit(asio::buffer_copy(mBuffer.prepare(aBytes.size()), asio::buffer(aBytes)));
  }
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
}

void session_impl::HeadArrived()
{
  mParser->eager(true);
  if (mParser->is_done()) {
    return;
  }
  ++mGeneration;
  StartTimeout(mListener->Host().Limits().mHeaderTimeout * kBodyTimeoutFactor);
  if (boost::beast::iequals(mParser->get()[http::field::expect], "100-continue")) {
    mOutput += "HTTP/1.1 100 Continue\r\n\r\n";
    Flush();
  }
}

/// Size of the request that is being read.
std::size_t session_impl::RequestBytes() const
{
  return mParser ? mHeadBytes + mParser->get().body().size() : 0;
}

/// Reports what the connection holds. If that is too much, the connection may be closed, or its request rejected.
void session_impl::UpdateMemory()
{
  request_memory* memory = mListener->Host().Memory();
  if (memory == nullptr) {
    return;
  }
  const bool isReading = mPhase == session_phase::Reading;
  memory->Update(*this,
                 { isReading ? RequestBytes() + mBuffer.capacity() : 0,
                   isReading ? 0 : mRunningBytes + mBuffer.capacity(),
                   mOutput.size() });
}

void session_impl::HandleRequest()
{
  mPhase = session_phase::Responding;
  mPhaseSince = Now();
  ++mGeneration;
  mTimer.cancel();
  request_memory* memory = mListener->Host().Memory();
  mRunningBytes = RunningBytes(RequestBytes());
  if (memory != nullptr && !memory->TryRun(*this, { 0, mRunningBytes + mBuffer.capacity(), mOutput.size() })) {
    RejectForMemory();
    return;
  }
  if (IsEnded()) {
    return;
  }
  mHasHadRequest = true;
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

/// Responds with an error to bytes that are not a valid request or exceed a limit; otherwise closes the connection.
void session_impl::RejectRequest(const error_code& aError)
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
  Reject(std::move(reply));
}

/// Frees a request that has not been passed on and responds with an error. The connection is closed after it.
void session_impl::Reject(net::http_reply aReply)
{
  mKeepAlive = false;
  mPhase = session_phase::Responding;
  mParser.reset();
  mRunningBytes = 0;
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  Respond(std::move(aReply));
}

void session_impl::RejectForMemory()
{
  const request_memory* memory = mListener->Host().Memory();
  log_line(log_event::CallerMemoryLimited)
    .Text("rejected", "request")
    .Count("bytes", RequestBytes() + mBuffer.size())
    .Count("held", memory->Held())
    .Count("budget", memory->Budget());
  net::http_reply reply;
  reply.mStatus = 503;
  const net::http_header header = wire::RetryAfterHeader(kMemoryRetryAfter);
  reply.mHeaders.Add(header.mName, header.mValue);
  Reject(std::move(reply));
}

void session_impl::RejectIncomplete()
{
  const ref<session_impl> self(this);
  RejectForMemory();
}

} // namespace chervilpulley::gateway
