#include "gateway/backend_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "gateway/connection_pool.h"
#include "gateway/wire.h"
#include "net/http_p.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// A pooled connection that has been idle for longer is not reused: servers close idle connections without notice.
constexpr duration kMaxIdleTime = std::chrono::milliseconds(900);
constexpr std::size_t kReadBufferBytes = 64U << 10U;
/// Limits on the responses to other requests that are skipped on one connection before it is closed: their number and
/// the bytes of their bodies.
constexpr unsigned kMaxUnrelatedResponses = 2;
constexpr std::size_t kMaxUnrelatedBytes = 1U << 20U;
/// Limit on interim responses (1xx) before the final one; servers send at most one.
constexpr unsigned kMaxInterimResponses = 8;
/// Smallest status of a response; the parser accepts any three digits.
constexpr unsigned kMinStatus = 100;
constexpr std::uint32_t kMaxHeadBytes = 64U << 10U;
/// Limit on bytes that the parser leaves unconsumed while it waits for the end of a head, of a chunk's size line or of
/// the trailer; the parser itself limits only heads.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeadBytes;
/// Maximum number of consecutive reads from one connection, so that a server that sends without end does not starve
/// others.
constexpr unsigned kMaxConsecutiveReads = 4;

/// Filled and consumed within one read; all calls share it because there is a single thread.
std::array<char, kReadBufferBytes> sReadBuffer;

/// A pooled connection to a backend server.
struct idle_socket
{
  tcp::socket mSocket;

  bool IsReusable()
  {
    char byte = 0;
    error_code error;
    mSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }
};

class calls_impl;

class call_impl : public backend_call
{
public:
  call_impl(ref<calls_impl> aCalls,
            const call_options& aOptions,
            std::string aBytes,
            bool aHasBodilessResponse,
            call_handler& aHandler);

  void Start();
  void Cancel() override;
  void SetPaused(bool aIsPaused) override;
  bool IsResponseCertain() const override { return mIsResponseCertain; }

private:
  void Connect();
  void Send();
  void Read();
  void OnReadable();
  bool Parse();
  bool ParseSome(std::string_view& aBytes);
  bool HandleHead();
  bool IsUnrelated(const std::string& aAnsweredRequest) const;
  void OnComplete(std::string_view aExcess);
  void OnEndOfInput(const error_code& aError);
  void End(call_end aEnd, const std::string& aReason);
  void Close();

  ref<calls_impl> mCalls;
  call_options mOptions;
  std::string mRequestBytes; ///< the encoded request, until it is sent
  bool mHasBodilessResponse; ///< as the response to HEAD has
  call_handler* mHandler;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::string mInput; ///< bytes read but not yet parsed
  std::optional<net::response_message_parser> mParser;
  bool mIsReused = false; ///< the connection has carried other requests
  bool mIsResponseCertain = false;
  bool mIsUnrelated = false; ///< the response being read belongs to another request
  bool mIsHeadHandled = false;
  bool mIsPaused = false;
  bool mIsReading = false;
  bool mIsSent = false;
  instant mSentAt;
  unsigned mUnrelatedResponses = 0;
  std::size_t mUnrelatedBytes = 0;
  unsigned mInterimResponses = 0;
  duration mIdleLimit = kMaxIdleTime;
};

class calls_impl : public backend_calls
{
public:
  explicit calls_impl(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  ref<backend_call> Start(const call_options& aOptions, net::http_request aRequest, call_handler& aHandler) override;
  std::uint64_t ConnectionsOpened() const override { return mOpenedCount; }
  void LimitIdle(std::size_t aConnections) override { mConnections.SetMaxSize(aConnections); }
  void OnEachHead(head_observer aObserver) override { mObserver = std::move(aObserver); }

  connection_pool<idle_socket>& Connections() { return mConnections; }
  asio::io_context& Context() { return mContext; }
  void CountOpened() { ++mOpenedCount; }
  void Observe(const policy::server_start& aServer, const wire::response_metadata& aResponse, instant aSentAt) const
  {
    if (mObserver) {
      mObserver(aServer, aResponse, aSentAt);
    }
  }

private:
  asio::io_context& mContext;
  connection_pool<idle_socket> mConnections;
  std::uint64_t mOpenedCount = 0;
  head_observer mObserver;
};

std::string Encode(const net::endpoint& aServer, net::http_request aRequest)
{
  std::string bytes = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  if (!aRequest.mHeaders.Has("Host")) {
    aRequest.mHeaders.Add("Host", aServer.Str());
  }
  for (const net::http_header& header : aRequest.mHeaders.All()) {
    bytes += header.mName + ": " + header.mValue + "\r\n";
  }
  if (!aRequest.mBody.empty() || (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD")) {
    bytes += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  return bytes + "\r\n" + aRequest.mBody;
}

call_impl::call_impl(ref<calls_impl> aCalls,
                     const call_options& aOptions,
                     std::string aBytes,
                     bool aHasBodilessResponse,
                     call_handler& aHandler)
  : mCalls(std::move(aCalls))
  , mOptions(aOptions)
  , mRequestBytes(std::move(aBytes))
  , mHasBodilessResponse(aHasBodilessResponse)
  , mHandler(&aHandler)
  , mSocket(mCalls->Context())
  , mTimer(mCalls->Context())
{
}

void call_impl::Start()
{
  if (!mOptions.mNeedsNewConnection) {
    if (auto connection = mCalls->Connections().Take(mOptions.mTo.mEndpoint, Now())) {
      mSocket = std::move(connection->mSocket);
      mIsReused = true;
      asio::post(mCalls->Context(), [self = ref<call_impl>(this)] { self->Send(); });
      return;
    }
  }
  Connect();
}

void call_impl::Connect()
{
  mTimer.expires_after(mOptions.mConnectTimeout);
  mTimer.async_wait([self = ref<call_impl>(this)](const error_code& aError) {
    if (!aError && !self->mIsSent) {
      self->End(call_end::Unsent, "connection timed out");
    }
  });
  mCalls->CountOpened();
  mSocket.async_connect(net::ToTcp(mOptions.mTo.mEndpoint.mAddress, mOptions.mTo.mEndpoint.mPort),
                        [self = ref<call_impl>(this)](const error_code& aError) {
                          if (self->mHandler == nullptr) {
                            return;
                          }
                          if (aError) {
                            self->End(call_end::Unsent, aError.message());
                            return;
                          }
                          error_code ignored;
                          self->mSocket.set_option(tcp::no_delay(true), ignored);
                          self->mSocket.non_blocking(true, ignored);
                          self->Send();
                        });
}

void call_impl::Send()
{
  if (mHandler == nullptr) {
    return;
  }
  mIsSent = true;
  mSentAt = Now();
  mTimer.cancel();
  asio::async_write(
    mSocket, asio::buffer(mRequestBytes), [self = ref<call_impl>(this)](const error_code& aError, std::size_t aSize) {
      if (self->mHandler != nullptr && aError) {
        self->End(aSize == 0 ? call_end::Unsent : call_end::Abort, "request could not be sent: " + aError.message());
        return;
      }
      self->mRequestBytes.clear();
      self->mRequestBytes.shrink_to_fit();
    });
  Read();
}

void call_impl::Read()
{
  if (mIsReading || mIsPaused || mHandler == nullptr) {
    return;
  }
  mIsReading = true;
  mSocket.async_wait(tcp::socket::wait_read, [self = ref<call_impl>(this)](const error_code& aError) {
    self->mIsReading = false;
    if (self->mHandler == nullptr) {
      return;
    }
    if (aError) {
      self->End(call_end::Abort, aError.message());
      return;
    }
    self->OnReadable();
  });
}

void call_impl::OnReadable()
{
  for (unsigned reads = 0; reads < kMaxConsecutiveReads && mHandler != nullptr && !mIsPaused; ++reads) {
    error_code error;
    const std::size_t size = mSocket.read_some(asio::buffer(sReadBuffer), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      OnEndOfInput(error);
      return;
    }
    mInput.append(sReadBuffer.data(), size);
    if (!Parse()) {
      return;
    }
    if (size < sReadBuffer.size()) {
      break;
    }
  }
  Read();
}

/// Parses the bytes read; returns false when the call has ended.
bool call_impl::Parse()
{
  std::string input = std::move(mInput);
  mInput.clear();
  std::string_view bytes = input;
  const ref<call_impl> self(this);
  while (!bytes.empty()) {
    const std::size_t before = bytes.size();
    if (!ParseSome(bytes)) {
      return false;
    }
    if (bytes.size() == before) {
      break;
    }
  }
  if (bytes.size() > kMaxUnparsedBytes) {
    End(call_end::Abort, "head or chunk line of the response too long");
    return false;
  }
  mInput.assign(bytes);
  return true;
}

bool call_impl::ParseSome(std::string_view& aBytes)
{
  if (!mParser) {
    mParser.emplace();
    mParser->body_limit(boost::none);
    mParser->header_limit(kMaxHeadBytes);
    mParser->eager(true);
    mParser->skip(mHasBodilessResponse);
    mIsHeadHandled = false;
  }
  error_code error;
  const std::size_t consumed = mParser->put(asio::buffer(aBytes.data(), aBytes.size()), error);
  aBytes.remove_prefix(consumed);
  if (error && error != http::error::need_more) {
    End(call_end::Abort, "invalid response: " + error.message());
    return false;
  }
  if (mParser->is_header_done() && !mIsHeadHandled && !HandleHead()) {
    return false;
  }
  if (!mIsHeadHandled) {
    return true;
  }
  std::string& body = mParser->get().body();
  if (!body.empty() && !mIsUnrelated) {
    mHandler->OnBody(body);
    if (mHandler == nullptr) {
      return false;
    }
  }
  mUnrelatedBytes += mIsUnrelated ? body.size() : 0;
  if (mUnrelatedBytes > kMaxUnrelatedBytes) {
    End(call_end::Abort, "response to another request too large");
    return false;
  }
  body.clear();
  if (!mParser->is_done()) {
    return true;
  }
  if (mIsUnrelated || mParser->get().result_int() < 200) {
    mParser.reset();
    return true;
  }
  OnComplete(aBytes);
  return false;
}

/// Whether a response that names aAnsweredRequest, or no request if that is empty, belongs to another request.
bool call_impl::IsUnrelated(const std::string& aAnsweredRequest) const
{
  if (aAnsweredRequest.empty() || aAnsweredRequest == mOptions.mRequestId) {
    return false;
  }
  return !mOptions.mRequestId.empty() || mIsReused;
}

/// Forwards the head of a response; returns false when the call has ended.
bool call_impl::HandleHead()
{
  mIsHeadHandled = true;
  const auto& head = mParser->get();
  if (head.result_int() < kMinStatus) {
    End(call_end::Abort, "invalid response: status " + std::to_string(head.result_int()));
    return false;
  }
  if (head.result_int() < 200) {
    mIsUnrelated = false;
    if (++mInterimResponses > kMaxInterimResponses) {
      End(call_end::Abort, "too many interim responses");
      return false;
    }
    return true;
  }
  net::http_headers headers;
  for (const auto& field : head) {
    const auto name = field.name_string();
    const auto value = field.value();
    headers.Add(std::string_view(name.data(), name.size()), std::string_view(value.data(), value.size()));
  }
  const wire::response_metadata metadata = wire::DecodeResponseMetadata(head.result_int(), headers);
  mIsUnrelated = IsUnrelated(metadata.mAnsweredRequestId);
  const bool isNamed = !mOptions.mRequestId.empty() && metadata.mAnsweredRequestId == mOptions.mRequestId;
  mIsResponseCertain = isNamed || (!mIsReused && mUnrelatedResponses == 0);
  mCalls->Observe(mOptions.mTo.mServer, metadata, mIsUnrelated || !mIsResponseCertain ? instant() : mSentAt);
  if (mIsUnrelated) {
    if (++mUnrelatedResponses > kMaxUnrelatedResponses || mParser->need_eof()) {
      End(call_end::Abort, "too many or unbounded responses to other requests");
      return false;
    }
    return true;
  }
  const std::string_view keepAlive = headers.Get("Keep-Alive");
  const std::size_t timeout = keepAlive.find("timeout=");
  if (timeout != std::string_view::npos) {
    unsigned seconds = 0;
    std::from_chars(keepAlive.data() + timeout + 8, keepAlive.data() + keepAlive.size(), seconds);
    mIdleLimit = std::min<duration>(kMaxIdleTime, std::chrono::seconds(seconds) * 3 / 4);
  }
  mHandler->OnHead(head.result_int(), std::move(headers));
  return mHandler != nullptr;
}

void call_impl::OnComplete(std::string_view aExcess)
{
  const bool mayReuse = aExcess.empty() && mParser->get().keep_alive() && !mParser->need_eof() && mRequestBytes.empty();
  if (mayReuse) {
    mCalls->Connections().Put(mOptions.mTo.mEndpoint, idle_socket{ std::move(mSocket) }, mIdleLimit, Now());
  }
  End(call_end::Complete, aExcess.empty() ? "" : "unexpected bytes after the response");
}

void call_impl::OnEndOfInput(const error_code& aError)
{
  if (aError == asio::error::eof && mParser && mIsHeadHandled && mParser->need_eof() && !mIsUnrelated) {
    error_code error;
    mParser->put_eof(error);
    if (!error) {
      End(call_end::Closed, "");
      return;
    }
  }
  const auto missing = mParser && mIsHeadHandled ? mParser->content_length_remaining() : boost::none;
  End(call_end::Abort, aError.message() + (missing ? ", " + std::to_string(*missing) + " bytes missing" : ""));
}

void call_impl::End(call_end aEnd, const std::string& aReason)
{
  const ref<call_impl> self(this);
  call_handler* handler = std::exchange(mHandler, nullptr);
  Close();
  if (handler != nullptr) {
    handler->OnEnd(aEnd, aReason);
  }
}

void call_impl::Cancel()
{
  mHandler = nullptr;
  Close();
}

void call_impl::Close()
{
  mTimer.cancel();
  error_code ignored;
  mSocket.close(ignored);
}

void call_impl::SetPaused(bool aIsPaused)
{
  mIsPaused = aIsPaused;
  if (!mIsPaused) {
    Read();
  }
}

ref<backend_call> calls_impl::Start(const call_options& aOptions, net::http_request aRequest, call_handler& aHandler)
{
  const bool isHead = aRequest.mMethod == "HEAD";
  auto call = MakeRef<call_impl>(
    ref<calls_impl>(this), aOptions, Encode(aOptions.mTo.mEndpoint, std::move(aRequest)), isHead, aHandler);
  call->Start();
  return call;
}

} // namespace

ref<backend_calls> backend_calls::Create(asio::io_context& aContext)
{
  return MakeRef<calls_impl>(aContext);
}

} // namespace chervilpulley::gateway
