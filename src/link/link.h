#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/endpoint.h"

/// Links: ordered message connections between the system's processes, as binary WebSocket messages. Pings detect a
/// silent peer, and a bounded send queue closes the link to a peer that reads too slowly.
namespace chervilpulley::link {

/// One end of a link. Thread-safe.
class connection : public ref_counted
{
public:
  /// Queues a message; false when the link is closed. A message that exceeds the limit of the send queue closes the
  /// link.
  virtual bool Send(std::string aMessage) = 0;
  /// Closes the sending side once all queued messages are sent; the link closes when the peer closes its side. Messages
  /// are still received until then.
  virtual void Finish() = 0;
  /// Closes the link; queued messages may be lost.
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
  /// Time since the last message or control frame from the peer.
  virtual duration TimeSinceLastReceive() const = 0;
};

/// Callbacks of a link. They run on the link's strand, so calls for one link never overlap.
struct events
{
  std::function<void(connection&, std::string)> mOnMessage;
  std::function<void(connection&)> mOnClosed; ///< called once, also after Close()
};

/// Settings of one end of a link.
struct link_options
{
  std::string mClusterKey;                         ///< shared secret of the cluster; the server refuses any other
  duration mIdleTimeout = std::chrono::seconds(3); ///< a silent link is pinged, and closed after this time
  duration mConnectTimeout = std::chrono::seconds(1);
};

/// Listens for links.
class server : public ref_counted
{
public:
  /// Called for each accepted link; returns its callbacks.
  using accept_handler = std::function<events(ref<connection>)>;
  static net::net_result<ref<server>> Start(boost::asio::io_context& aContext,
                                            const net::endpoint& aEndpoint,
                                            link_options aOptions,
                                            accept_handler aOnAccept);
  virtual net::endpoint LocalEndpoint() const = 0;
  virtual void StopAccepting() = 0;
};

/// Opens a link to a server.
boost::asio::awaitable<net::net_result<ref<connection>>> Connect(boost::asio::io_context& aContext,
                                                                 net::endpoint aEndpoint,
                                                                 link_options aOptions,
                                                                 events aEvents);

} // namespace chervilpulley::link
