#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"

/// Links: ordered, framed connections between the system's own processes (binary WebSocket messages).
namespace chervilpulley::link {

/// One end of a link. Thread-safe.
class connection : public ref_counted
{
public:
  /// Queues a message; false when the link is closed or its backlog is over the limit (which closes it).
  virtual bool Send(std::string aMessage) = 0;
  /// Closes the link; what is queued may be lost.
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
  /// Time since the last byte came from the peer.
  virtual duration TimeSinceLastReceive() const = 0;
};

/// What a link tells its owner. Calls for one link never overlap; they come on a strand of the link's.
struct events
{
  std::function<void(connection&, std::string)> mOnMessage;
  std::function<void(connection&)> mOnClosed; ///< once, also after Close()
};

struct link_options
{
  std::string mClusterKey;                         ///< key that both ends must know
  duration mIdleTimeout = std::chrono::seconds(3); ///< a silent link is pinged, then closed
  duration mConnectTimeout = std::chrono::seconds(1);
};

/// Accepts links.
class server : public ref_counted
{
public:
  /// Gives the events of a link that was just accepted.
  using accept_handler = std::function<events(ref<connection>)>;
  static net::net_result<ref<server>> Start(boost::asio::io_context& aContext,
                                            const net::endpoint& aEndpoint,
                                            link_options aOptions,
                                            accept_handler aOnAccept);
  virtual net::endpoint LocalEndpoint() const = 0;
  virtual void StopAccepting() = 0;
};

/// Connects to a link server.
boost::asio::awaitable<net::net_result<ref<connection>>> Connect(boost::asio::io_context& aContext,
                                                                 net::endpoint aEndpoint,
                                                                 link_options aOptions,
                                                                 events aEvents);

} // namespace chervilpulley::link
