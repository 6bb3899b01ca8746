#pragma once

#include <string>

#include "base/result.h"

/// Errors of connections and of the calls made on them.
namespace chervilpulley::net {

/// Reason why a call on a connection failed.
enum class net_errc
{
  Refused,     ///< no connection could be made; nothing was sent
  Timeout,     ///< no response before the timeout
  Closed,      ///< the peer closed the connection
  TooLarge,    ///< a body, header or frame exceeds its limit
  Malformed,   ///< the peer violated the protocol
  BadAddress,  ///< an address can't be parsed or bound to
  Unauthorized ///< the cluster key is wrong or missing
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
