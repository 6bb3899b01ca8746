#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/http.h"
#include "net/net_error.h"

/// Private helpers of the files that use the HTTP library: conversions between its types and the plain ones.
namespace chervilpulley::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

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
