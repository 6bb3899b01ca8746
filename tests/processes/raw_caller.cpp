#include "processes/raw_caller.h"

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>

namespace chervilpulley::processes {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Decodes a chunked body from aAt on; sets aEnd to its end when it is complete.
std::string DecodeChunks(std::string_view aBytes, std::size_t aAt, std::optional<std::size_t>& aEnd)
{
  std::string body;
  while (aAt < aBytes.size()) {
    const std::size_t lineEnd = aBytes.find(kLineEnd, aAt);
    if (lineEnd == std::string_view::npos) {
      break;
    }
    const std::size_t size = std::strtoul(std::string(aBytes.substr(aAt, lineEnd - aAt)).c_str(), nullptr, 16);
    aAt = lineEnd + kLineEnd.size();
    if (size == 0) {
      if (aBytes.substr(aAt, kLineEnd.size()) == kLineEnd) {
        aEnd = aAt + kLineEnd.size();
      }
      break;
    }
    body.append(aBytes.substr(std::min(aAt, aBytes.size()), size));
    aAt += size + kLineEnd.size();
  }
  return body;
}

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

bool raw_caller::ReadSome(duration aLimit, std::size_t aMaxBytes)
{
  std::array<char, 4096> piece{};
  const std::size_t limit = std::min(aMaxBytes, piece.size());
  boost::system::error_code error = asio::error::would_block;
  std::size_t size = 0;
  mSocket.async_read_some(asio::buffer(piece, limit), [&](const boost::system::error_code& aError, std::size_t aSize) {
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
  const std::size_t head = mReceived.find(kHeadEnd);
  std::optional<std::size_t> end;
  std::string body = head == std::string::npos ? "" : DecodeChunks(mReceived, head + kHeadEnd.size(), end);
  aIsComplete = end.has_value();
  return body;
}

received_response ParseResponse(std::string_view aBytes)
{
  static constexpr std::string_view kLength = "\r\nContent-Length: ";
  received_response response;
  const std::size_t headEnd = aBytes.find(kHeadEnd);
  if (headEnd == std::string_view::npos) {
    return response;
  }
  const std::string head(aBytes.substr(0, headEnd + kLineEnd.size()));
  const std::size_t begin = headEnd + kHeadEnd.size();
  response.mStatus = static_cast<unsigned>(std::strtoul(head.c_str() + head.find(' '), nullptr, 10));
  response.mCloses = head.find("\r\nConnection: close\r\n") != std::string::npos;
  std::optional<std::size_t> end;
  if (const std::size_t at = head.find(kLength); at != std::string::npos) {
    const std::size_t length = std::strtoul(head.c_str() + at + kLength.size(), nullptr, 10);
    response.mBody = std::string(aBytes.substr(begin, length));
    end = response.mBody.size() == length ? std::optional(begin + length) : std::nullopt;
  } else {
    response.mBody = DecodeChunks(aBytes, begin, end);
  }
  response.mIsComplete = end.has_value();
  response.mSize = end.value_or(0);
  return response;
}

std::string EncodeRequest(const gateway_call& aCall, unsigned aLengthHint)
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
    text += fmt::format("X-Token-Counts: 10,{}\r\nX-Length-Hint: {}\r\n",
                        aCall.mOutputTokens,
                        aLengthHint > 0 ? aLengthHint : aCall.mOutputTokens);
  }
  if (!aCall.mPromptParts.empty()) {
    text += fmt::format("X-Prompt-Prefix: {}\r\n", aCall.mPromptParts);
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n{}", aCall.mBody.size(), aCall.mBody);
}

} // namespace chervilpulley::processes
