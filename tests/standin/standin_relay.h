#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

#include "net/endpoint.h"
#include "net/http_server.h"
#include "signal.h"

/// A TCP relay between two processes, to test them under network failures.
namespace chervilpulley::standin {

/// Forwards TCP connections to one target address. Control calls make it disconnect, delay or hold back all traffic.
class relay
{
public:
  relay(boost::asio::io_context& aContext, const net::endpoint& aListen, const net::endpoint& aTarget);

  /// Handles control calls.
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);
  /// The address that clients connect to instead of the target.
  net::endpoint LocalEndpoint() const;

private:
  using socket = boost::asio::ip::tcp::socket;
  /// A connection from a client and the one to the target that serves it.
  struct connection_pair
  {
    explicit connection_pair(boost::asio::io_context& aContext)
      : mClient(aContext)
      , mTarget(aContext)
    {
    }
    void Close();
    socket mClient;
    socket mTarget;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<connection_pair> aConnection);
  boost::asio::awaitable<void> Forward(std::shared_ptr<connection_pair> aConnection, socket& aFrom, socket& aTo);
  net::http_reply Control(const net::http_request& aRequest);

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::ip::tcp::endpoint mTarget;
  std::list<std::weak_ptr<connection_pair>> mConnections;
  bool mIsDisconnected = false; ///< connections are closed, also new ones
  bool mBlackHole = false;      ///< connections stay open, but no data is forwarded
  duration mDelay{ 0 };
  signal mChanged;
};

} // namespace chervilpulley::standin
