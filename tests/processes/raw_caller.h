#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

#include "processes/gateway_fixture.h"

/// A caller that controls its connection itself: when it sends, how fast it reads, and what it has received when the
/// connection ends.
namespace chervilpulley::processes {

/// How a connection ended.
enum class connection_end
{
  Open,
  Closed, ///< the other side has sent everything and closed
  Reset
};

class raw_caller
{
public:
  /// Connects; throws when that fails. @param aReceiveBufferBytes of the socket; 0 for the system's default.
  explicit raw_caller(const net::endpoint& aServer, int aReceiveBufferBytes = 0);

  /// Sends bytes; returns false when the connection is closed or reset.
  bool Send(std::string_view aBytes);
  /// Reads once, at most aMaxBytes; false when the connection ends or nothing arrives in time.
  bool ReadSome(duration aLimit, std::size_t aMaxBytes = 4096);
  /// Reads until aText has been received; false when the connection ends or the time runs out before.
  bool ReadUntil(std::string_view aText, duration aLimit = kTestTimeout);
  /// Reads until the connection ends or the time runs out.
  connection_end ReadToEnd(duration aLimit = kTestTimeout);
  const std::string& Received() const { return mReceived; }
  /// How the connection ended, as far as it has been read.
  connection_end End() const { return mEnd; }
  /// Status of the last response whose head has been received completely; 0 when there is none.
  unsigned LastStatus() const;
  /// Body of a chunked response at the beginning of the received bytes; complete if it ends with aIsComplete set.
  std::string ChunkedBody(bool& aIsComplete) const;

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  std::string mReceived;
  connection_end mEnd = connection_end::Open;
};

/// One response of a connection, perhaps only in part.
struct received_response
{
  unsigned mStatus = 0; ///< 0 when the head is incomplete
  std::string mBody;
  bool mIsComplete = false;
  bool mCloses = false;  ///< has the header Connection: close
  std::size_t mSize = 0; ///< bytes of the response, if it is complete
};

/// Decodes the response that begins at the beginning of aBytes.
received_response ParseResponse(std::string_view aBytes);

/// A request to a gateway as bytes, for a connection that is kept open. @param aLengthHint estimate of a stream's
/// output tokens; 0 for their exact number.
std::string EncodeRequest(const gateway_call& aCall, unsigned aLengthHint = 0);

} // namespace chervilpulley::processes
