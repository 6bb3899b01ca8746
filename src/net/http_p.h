#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/http.h"
#include "net/net_error.h"

/// Private helpers of the files that use the HTTP library: conversions between its types and the plain ones.
namespace chervilpulley::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Longest name or value of a header that a parser takes; the library's container throws for those of 64 KiB or more.
inline constexpr std::size_t kMaxFieldBytes = 65'000;

/// Largest amount that is read ahead of a parser: a head, a chunk's size line or a trailer that is not complete. Only
/// heads are limited by the parser itself.
inline constexpr std::size_t kMaxReadAheadBytes = 256U << 10U;

/// Body of a message from another process. It takes as much memory as has arrived: a peer may announce any length, so
/// nothing is reserved for it.
struct received_body
{
  using value_type = std::string;

  class reader
  {
  public:
    template<bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields>&, value_type& aBody)
      : mBody(aBody)
    {
    }

    // The library calls these by the names of its BodyReader concept.
    // NOLINTBEGIN(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& aError) { aError = {}; }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      const std::size_t before = mBody.size();
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return mBody.size() - before;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }
    // NOLINTEND(readability-identifier-naming)

  private:
    value_type& mBody;
  };
};

/// Parser of messages from other processes. Whatever they contain, it reports an error and does not throw.
template<bool IsRequest>
class message_parser : public http::parser<IsRequest, received_body>
{
public:
  /// Limits the size of the trailer section.
  void TrailerLimit(std::size_t aBytes) { mTrailerLimit = aBytes; }

private:
  /// Also called for the fields of a trailer, which header_limit() does not cover.
  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     boost::system::error_code& aError) override
  {
    if (aName.size() > kMaxFieldBytes || aValue.size() > kMaxFieldBytes) {
      aError = http::error::header_limit;
      return;
    }
    if (this->is_header_done()) {
      mTrailerBytes += aName.size() + aValue.size() + kFieldFramingBytes;
      if (mTrailerBytes > mTrailerLimit) {
        aError = http::error::header_limit;
        return;
      }
    }
    this->get().insert(aField, aName, aValue);
  }

  /// Of the colon, the space and the end of the line.
  static constexpr std::size_t kFieldFramingBytes = 4;

  std::size_t mTrailerBytes = 0;
  std::size_t mTrailerLimit = kMaxReadAheadBytes;
};

/// Whether a request has a transfer coding that does not end with chunked (RFC 9112, 6.3). The library takes such a
/// request for one without a body, and its body would be read as the next request.
inline bool HasUnknownLength(const message_parser<true>& aParser)
{
  return !aParser.chunked() && aParser.get().count(http::field::transfer_encoding) > 0;
}

using request_message_parser = message_parser<true>;
using response_message_parser = message_parser<false>;

/// Completion token for co_await that returns errors as values.
inline constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Converts an error code of the library.
/// @param aWhat subject of the error, for the message.
/// @param aMaybeSent whether bytes of the request may have reached the peer.
inline net_error MakeNetError(const boost::system::error_code& aError, const std::string& aWhat, bool aMaybeSent)
{
  net_error error{ net_errc::Closed, aWhat + ": " + aError.message(), aMaybeSent };
  if (aError == beast::error::timeout) {
    error.mCode = net_errc::Timeout;
  } else if (aError == http::error::body_limit || aError == http::error::header_limit ||
             aError == http::error::buffer_overflow) {
    error.mCode = net_errc::TooLarge;
  } else if (aError.category() == http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream && aError != http::error::partial_message) {
    error.mCode = net_errc::Malformed;
  }
  return error;
}

/// Copies all headers from a message of the library.
template<class Fields>
http_headers CopyHeaders(const Fields& aFields)
{
  http_headers headers;
  for (const auto& field : aFields) {
    const auto name = field.name_string();
    const auto value = field.value();
    headers.Set(std::string_view(name.data(), name.size()), std::string_view(value.data(), value.size()));
  }
  return headers;
}

/// Sets all headers on a message of the library.
template<class Message>
void SetHeaders(const http_headers& aHeaders, Message& aMessage)
{
  for (const http_header& header : aHeaders.All()) {
    aMessage.set(header.mName, header.mValue);
  }
}

/// Converts an endpoint whose address ParseEndpoint has validated.
inline boost::asio::ip::tcp::endpoint ToTcp(const std::string& aAddress, std::uint16_t aPort)
{
  boost::system::error_code ignored;
  return { boost::asio::ip::make_address(aAddress, ignored), aPort };
}

} // namespace chervilpulley::net
