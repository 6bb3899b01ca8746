#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/endpoint.h"

namespace chervilpulley {

/// HTTP server that writes exactly the bytes that a test gives it, and at other moments than a sound server would.
class scripted_server
{
public:
  /// Returns the bytes to write for request aRequest on connection aConnection, each counted from 0.
  using script = std::function<std::string(std::size_t aConnection, std::size_t aRequest)>;

  scripted_server(boost::asio::io_context& aContext, script aOnRequest)
    : mAcceptor(aContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mOnRequest(std::move(aOnRequest))
  {
    Accept();
  }

  /// Sets a script for the moment when the head of a request has been read, but not its body.
  void OnHead(script aOnHead) { mOnHead = std::move(aOnHead); }
  /// Closes the first connection after its first response.
  void CloseAfterFirstResponse() { mClosesFirst = true; }
  net::endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }
  std::size_t Connections() const { return mConnections.size(); }
  /// Writes bytes without a request. They are in the other side's socket buffer when this returns.
  void Write(std::size_t aConnection, const std::string& aBytes)
  {
    boost::asio::write(mConnections.at(aConnection)->mSocket, boost::asio::buffer(aBytes));
  }

private:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  struct connection
  {
    explicit connection(tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    tcp::socket mSocket;
    boost::beast::flat_buffer mBuffer;
    std::optional<parser> mParser;
    std::size_t mRequests = 0;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const error_code& aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      mConnections.push_back(std::make_unique<connection>(std::move(aSocket)));
      ReadHead(mConnections.size() - 1);
      Accept();
    });
  }

  void ReadHead(std::size_t aConnection)
  {
    connection& each = *mConnections[aConnection];
    each.mParser.emplace();
    each.mParser->body_limit(boost::none);
    boost::beast::http::async_read_header(
      each.mSocket, each.mBuffer, *each.mParser, [this, aConnection, &each](const error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        if (mOnHead) {
          WriteIfOpen(each, mOnHead(aConnection, each.mRequests));
        }
        ReadBody(aConnection);
      });
  }

  void ReadBody(std::size_t aConnection)
  {
    connection& each = *mConnections[aConnection];
    boost::beast::http::async_read(
      each.mSocket, each.mBuffer, *each.mParser, [this, aConnection, &each](const error_code& aError, std::size_t) {
        if (!aError) {
          WriteIfOpen(each, mOnRequest(aConnection, each.mRequests++));
          error_code ignored;
          if (mClosesFirst && aConnection == 0) {
            each.mSocket.shutdown(tcp::socket::shutdown_send, ignored);
          }
          ReadHead(aConnection);
        }
      });
  }

  static void WriteIfOpen(connection& aConnection, const std::string& aBytes)
  {
    error_code ignored;
    boost::asio::write(aConnection.mSocket, boost::asio::buffer(aBytes), ignored);
  }

  tcp::acceptor mAcceptor;
  script mOnRequest;
  script mOnHead;
  bool mClosesFirst = false;
  std::vector<std::unique_ptr<connection>> mConnections;
};

} // namespace chervilpulley
