#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/http.h"
#include "net/net_error.h"

/// Shared by the files that use the HTTP library.
namespace chervilpulley::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Completion token: awaitable, errors as values.
inline constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Error of this layer for an error code from the library.
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

/// Copies all headers of a message of the library.
template<class Fields>
http_headers TakeHeaders(const Fields& aFields)
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
void GiveHeaders(const http_headers& aHeaders, Message& aMessage)
{
  for (const http_header& header : aHeaders.All()) {
    aMessage.set(header.mName, header.mValue);
  }
}

/// The library's form of a plain endpoint; the address was checked by ParseEndpoint.
inline boost::asio::ip::tcp::endpoint ToTcp(const std::string& aAddress, std::uint16_t aPort)
{
  boost::system::error_code ignored;
  return { boost::asio::ip::make_address(aAddress, ignored), aPort };
}

} // namespace chervilpulley::net
