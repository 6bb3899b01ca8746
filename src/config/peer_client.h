#pragma once

#include <boost/asio/awaitable.hpp>

#include <string>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"
#include "net/http_client.h"
#include "rpc/peer_calls.h"

/// Client of the control calls between processes of the system.
namespace chervilpulley::config {

inline constexpr const char* kPeerTarget = "/peer";
inline constexpr const char* kClusterKeyHeader = "X-Cluster-Key";

template<class T>
using peer_call = boost::asio::awaitable<rpc::peer_result<T>>;

/// Sends control calls to other processes of the system. Thread-safe.
class peer_client : public ref_counted
{
public:
  /// @param aClusterKey key by which processes of the system authenticate to one another.
  static ref<peer_client> Create(ref<net::http_client> aClient, std::string aClusterKey);

  /// @param aTimeout longest wait for the response; for PullConfig, in addition to the wait time granted to the peer.
  virtual peer_call<rpc::pull_config_reply> PullConfig(net::endpoint aPeer,
                                                       rpc::pull_config_request aRequest,
                                                       duration aTimeout) = 0;
  virtual peer_call<rpc::drain_reply> Drain(net::endpoint aPeer, rpc::drain_request aRequest, duration aTimeout) = 0;
  virtual peer_call<rpc::report_suspect_reply> ReportSuspect(net::endpoint aPeer,
                                                             rpc::report_suspect_request aRequest,
                                                             duration aTimeout) = 0;
  virtual peer_call<rpc::get_status_reply> GetStatus(net::endpoint aPeer, duration aTimeout) = 0;
};

} // namespace chervilpulley::config
