#pragma once

#include <string>

#include "base/result.h"

namespace chervilpulley::net {

/// What went wrong on a connection.
enum class net_errc
{
  Refused,     ///< no connection could be made; nothing was sent
  Timeout,     ///< no answer within the time given
  Closed,      ///< the peer closed the connection
  TooLarge,    ///< a body, header or frame is over its limit
  Malformed,   ///< the peer's bytes are not what the protocol says
  BadAddress,  ///< an address can't be parsed or bound
  Unauthorized ///< the peer did not show the right key
};

/// An error of the network layer.
struct net_error
{
  net_errc mCode = net_errc::Closed;
  std::string mMessage;
  bool mMaybeSent = false; ///< bytes of the request may have reached the peer
};

template<class T>
using net_result = result<T, net_error>;

} // namespace chervilpulley::net
