#include "processes/raw_caller.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdlib>

namespace chervilpulley::processes {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::string_view kLineEnd = "\r\n";

} // namespace

raw_caller::raw_caller(const net::endpoint& aServer, int aReceiveBufferBytes)
  : mSocket(mContext)
{
  mSocket.open(tcp::v4());
  if (aReceiveBufferBytes > 0) {
    mSocket.set_option(tcp::socket::receive_buffer_size(aReceiveBufferBytes));
  }
  mSocket.connect({ asio::ip::make_address(aServer.mAddress), aServer.mPort });
  mSocket.set_option(tcp::no_delay(true));
}

bool raw_caller::Send(std::string_view aBytes)
{
  boost::system::error_code error;
  asio::write(mSocket, asio::buffer(aBytes), error);
  return !error;
}

bool raw_caller::ReadSome(duration aLimit)
{
  std::array<char, 4096> piece{};
  boost::system::error_code error = asio::error::would_block;
  std::size_t size = 0;
  mSocket.async_read_some(asio::buffer(piece), [&](const boost::system::error_code& aError, std::size_t aSize) {
    error = aError;
    size = aSize;
  });
  mContext.restart();
  mContext.run_for(aLimit);
  if (error == asio::error::would_block) {
    mSocket.cancel();
    mContext.restart();
    mContext.run();
    return false;
  }
  mReceived.append(piece.data(), size);
  if (error) {
    mEnd = error == asio::error::eof ? connection_end::Closed : connection_end::Reset;
  }
  return !error;
}

bool raw_caller::ReadUntil(std::string_view aText, duration aLimit)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (mReceived.find(aText) == std::string::npos) {
    const auto left = std::chrono::duration_cast<duration>(deadline - std::chrono::steady_clock::now());
    if (mEnd != connection_end::Open || left <= duration::zero() || !ReadSome(left)) {
      return mReceived.find(aText) != std::string::npos;
    }
  }
  return true;
}

connection_end raw_caller::ReadToEnd(duration aLimit)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  while (mEnd == connection_end::Open) {
    const auto left = std::chrono::duration_cast<duration>(deadline - std::chrono::steady_clock::now());
    if (left <= duration::zero() || !ReadSome(left)) {
      break;
    }
  }
  return mEnd;
}

unsigned raw_caller::LastStatus() const
{
  const std::size_t head = mReceived.rfind("HTTP/1.1 ");
  const bool isWhole = head != std::string::npos && mReceived.find("\r\n\r\n", head) != std::string::npos;
  return isWhole ? static_cast<unsigned>(std::strtoul(mReceived.c_str() + head + 9, nullptr, 10)) : 0;
}

std::string raw_caller::ChunkedBody(bool& aIsComplete) const
{
  std::string body;
  aIsComplete = false;
  std::size_t at = mReceived.find("\r\n\r\n");
  at = at == std::string::npos ? mReceived.size() : at + 4;
  while (at < mReceived.size()) {
    const std::size_t lineEnd = mReceived.find(kLineEnd, at);
    if (lineEnd == std::string::npos) {
      break;
    }
    const std::size_t size = std::strtoul(mReceived.c_str() + at, nullptr, 16);
    at = lineEnd + kLineEnd.size();
    if (size == 0) {
      aIsComplete = mReceived.compare(at, kLineEnd.size(), kLineEnd) == 0;
      break;
    }
    body.append(mReceived, at, size);
    at += size + kLineEnd.size();
  }
  return body;
}

std::string EncodeRequest(const gateway_call& aCall)
{
  std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: demo.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
                                 aCall.mMethod,
                                 aCall.mTarget,
                                 aCall.mId,
                                 aCall.mDeadlineMs);
  if (!aCall.mKey.empty()) {
    text += fmt::format("X-Credential: {}\r\n", aCall.mKey);
  }
  if (aCall.mOutputTokens > 0) {
    text += fmt::format("X-Token-Counts: 10,{0}\r\nX-Length-Hint: {0}\r\n", aCall.mOutputTokens);
  }
  if (!aCall.mPromptParts.empty()) {
    text += fmt::format("X-Prompt-Prefix: {}\r\n", aCall.mPromptParts);
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n{}", aCall.mBody.size(), aCall.mBody);
}

} // namespace chervilpulley::processes
