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

/// A kept connection that has been idle for longer is not used: servers drop idle ones without notice.
constexpr duration kMostIdle = std::chrono::milliseconds(900);
constexpr std::size_t kReadBytes = 64U << 10U;
/// Answers to other requests that are passed over on one connection before it is given up, and bytes of their bodies.
constexpr unsigned kMostForeignAnswers = 2;
constexpr std::size_t kMostForeignBytes = 1U << 20U;
/// Interim answers (1xx) before the final one; servers send one at most.
constexpr unsigned kMostInterimAnswers = 8;
constexpr std::uint32_t kMostHeadBytes = 64U << 10U;
/// Bytes that the parser may leave for later: it waits for the end of a head, of the line before a chunk or of what
/// follows the last chunk, and only heads have a limit of its own.
constexpr std::size_t kMostUnparsedBytes = 2 * kMostHeadBytes;
/// Reads in a row from one connection, so that a server that sends without end leaves time to others.
constexpr unsigned kMostReadsInRow = 4;

/// Filled and used up within one read; all calls share it, as there is one thread.
std::array<char, kReadBytes> sReadBuffer;

struct idle_socket
{
  tcp::socket mSocket;

  bool IsQuiet()
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
  call_impl(ref<calls_impl> aCalls, const call_options& aOptions, std::string aBytes, call_handler& aOwner);

  void Start();
  void Cancel() override;
  void SetPaused(bool aIsPaused) override;

private:
  void Connect();
  void Send();
  void Read();
  void OnReadable();
  bool Parse();
  bool ParseSome(std::string_view& aBytes);
  bool TakeHead();
  void OnWhole(std::string_view aRest);
  void OnEndOfInput(const error_code& aError);
  void End(call_end aEnd, const std::string& aReason);
  void Close();

  ref<calls_impl> mCalls;
  call_options mOptions;
  std::string mBytes; ///< the request, until it is sent
  call_handler* mOwner;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::string mInput; ///< read and not yet parsed
  std::optional<http::response_parser<http::string_body>> mParser;
  bool mIsForeign = false; ///< the answer being read is to another request
  bool mHeadTaken = false;
  bool mIsPaused = false;
  bool mIsReading = false;
  bool mIsSent = false;
  unsigned mForeignAnswers = 0;
  std::size_t mForeignBytes = 0;
  unsigned mInterimAnswers = 0;
  duration mKeepFor = kMostIdle;
};

class calls_impl : public backend_calls
{
public:
  explicit calls_impl(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  ref<backend_call> Start(const call_options& aOptions, net::http_request aRequest, call_handler& aOwner) override;
  std::uint64_t ConnectionsOpened() const override { return mOpened; }

  connection_pool<idle_socket>& Kept() { return mKept; }
  asio::io_context& Context() { return mContext; }
  void CountOpened() { ++mOpened; }

private:
  asio::io_context& mContext;
  connection_pool<idle_socket> mKept;
  std::uint64_t mOpened = 0;
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

call_impl::call_impl(ref<calls_impl> aCalls, const call_options& aOptions, std::string aBytes, call_handler& aOwner)
  : mCalls(std::move(aCalls))
  , mOptions(aOptions)
  , mBytes(std::move(aBytes))
  , mOwner(&aOwner)
  , mSocket(mCalls->Context())
  , mTimer(mCalls->Context())
{
}

void call_impl::Start()
{
  if (!mOptions.mNewConnection) {
    if (auto kept = mCalls->Kept().Take(mOptions.mServer, Now())) {
      mSocket = std::move(kept->mSocket);
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
      self->End(call_end::Unsent, "no connection within the time given");
    }
  });
  mCalls->CountOpened();
  mSocket.async_connect(net::ToTcp(mOptions.mServer.mAddress, mOptions.mServer.mPort),
                        [self = ref<call_impl>(this)](const error_code& aError) {
                          if (self->mOwner == nullptr) {
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
  if (mOwner == nullptr) {
    return;
  }
  mIsSent = true;
  mTimer.cancel();
  asio::async_write(
    mSocket, asio::buffer(mBytes), [self = ref<call_impl>(this)](const error_code& aError, std::size_t aSize) {
      if (self->mOwner != nullptr && aError) {
        self->End(aSize == 0 ? call_end::Unsent : call_end::Cut, "request not taken: " + aError.message());
        return;
      }
      self->mBytes.clear();
      self->mBytes.shrink_to_fit();
    });
  Read();
}

void call_impl::Read()
{
  if (mIsReading || mIsPaused || mOwner == nullptr) {
    return;
  }
  mIsReading = true;
  mSocket.async_wait(tcp::socket::wait_read, [self = ref<call_impl>(this)](const error_code& aError) {
    self->mIsReading = false;
    if (self->mOwner == nullptr) {
      return;
    }
    if (aError) {
      self->End(call_end::Cut, aError.message());
      return;
    }
    self->OnReadable();
  });
}

void call_impl::OnReadable()
{
  for (unsigned reads = 0; reads < kMostReadsInRow && mOwner != nullptr && !mIsPaused; ++reads) {
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

/// Parses what was read; false when the call has ended.
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
  if (bytes.size() > kMostUnparsedBytes) {
    End(call_end::Cut, "a head or a chunk without an end");
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
    mParser->header_limit(kMostHeadBytes);
    mParser->eager(true);
    mHeadTaken = false;
  }
  error_code error;
  const std::size_t taken = mParser->put(asio::buffer(aBytes.data(), aBytes.size()), error);
  aBytes.remove_prefix(taken);
  if (error && error != http::error::need_more) {
    End(call_end::Cut, "not an answer: " + error.message());
    return false;
  }
  if (mParser->is_header_done() && !mHeadTaken && !TakeHead()) {
    return false;
  }
  if (!mHeadTaken) {
    return true;
  }
  std::string& body = mParser->get().body();
  if (!body.empty() && !mIsForeign) {
    mOwner->OnBody(body);
    if (mOwner == nullptr) {
      return false;
    }
  }
  mForeignBytes += mIsForeign ? body.size() : 0;
  if (mForeignBytes > kMostForeignBytes) {
    End(call_end::Cut, "an answer to another request without an end");
    return false;
  }
  body.clear();
  if (!mParser->is_done()) {
    return true;
  }
  if (mIsForeign || mParser->get().result_int() < 200) {
    mParser.reset();
    return true;
  }
  OnWhole(aBytes);
  return false;
}

/// Hands on the head of an answer; false when the call has ended.
bool call_impl::TakeHead()
{
  mHeadTaken = true;
  const auto& head = mParser->get();
  if (head.result_int() < 200) {
    mIsForeign = false;
    if (++mInterimAnswers > kMostInterimAnswers) {
      End(call_end::Cut, "interim answers without an end");
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
  const std::string answered = wire::DecodeNote(head.result_int(), headers).mRequest;
  mIsForeign = !mOptions.mRequestId.empty() && !answered.empty() && answered != mOptions.mRequestId;
  if (mIsForeign) {
    if (++mForeignAnswers > kMostForeignAnswers || mParser->need_eof()) {
      End(call_end::Cut, "answers to other requests came");
      return false;
    }
    return true;
  }
  const std::string_view keepAlive = headers.Get("Keep-Alive");
  const std::size_t timeout = keepAlive.find("timeout=");
  if (timeout != std::string_view::npos) {
    unsigned seconds = 0;
    std::from_chars(keepAlive.data() + timeout + 8, keepAlive.data() + keepAlive.size(), seconds);
    mKeepFor = std::min<duration>(kMostIdle, std::chrono::seconds(seconds) * 3 / 4);
  }
  mOwner->OnHead(head.result_int(), std::move(headers));
  return mOwner != nullptr;
}

void call_impl::OnWhole(std::string_view aRest)
{
  const bool mayKeep = aRest.empty() && mParser->get().keep_alive() && !mParser->need_eof() && mBytes.empty();
  if (mayKeep) {
    mCalls->Kept().Keep(mOptions.mServer, idle_socket{ std::move(mSocket) }, mKeepFor, Now());
  }
  End(call_end::Complete, aRest.empty() ? "" : "bytes came behind the answer");
}

void call_impl::OnEndOfInput(const error_code& aError)
{
  if (aError == asio::error::eof && mParser && mHeadTaken && mParser->need_eof() && !mIsForeign) {
    error_code error;
    mParser->put_eof(error);
    if (!error) {
      End(call_end::Complete, "");
      return;
    }
  }
  End(call_end::Cut, aError.message());
}

void call_impl::End(call_end aEnd, const std::string& aReason)
{
  const ref<call_impl> self(this);
  call_handler* owner = std::exchange(mOwner, nullptr);
  Close();
  if (owner != nullptr) {
    owner->OnEnd(aEnd, aReason);
  }
}

void call_impl::Cancel()
{
  mOwner = nullptr;
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

ref<backend_call> calls_impl::Start(const call_options& aOptions, net::http_request aRequest, call_handler& aOwner)
{
  auto call =
    MakeRef<call_impl>(ref<calls_impl>(this), aOptions, Encode(aOptions.mServer, std::move(aRequest)), aOwner);
  call->Start();
  return call;
}

} // namespace

ref<backend_calls> backend_calls::Create(asio::io_context& aContext)
{
  return MakeRef<calls_impl>(aContext);
}

} // namespace chervilpulley::gateway
