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

namespace chervilpulley::standin {

/// A TCP relay in front of one address that can cut, slow or silence the link.
class relay
{
public:
  relay(boost::asio::io_context& aContext, const net::endpoint& aListen, const net::endpoint& aTarget);

  /// Answers control calls.
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);
  /// Address that stands for the target.
  net::endpoint LocalEndpoint() const;

private:
  using socket = boost::asio::ip::tcp::socket;
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
  bool mIsDisconnected = false;
  bool mBlackHole = false;
  duration mDelay{ 0 };
  signal mChanged;
};

} // namespace chervilpulley::standin
