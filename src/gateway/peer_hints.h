#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <functional>
#include <map>
#include <vector>

#include "gateway/engine_probes.h"
#include "gateway/fleet.h"
#include "policy/crash_record.h"

/// Datagrams between gateways about engines that were found lost or slow, or that are about to move to other layers,
/// and about requests that crash backend servers. They spread a failure faster than the platform's list. The receiver
/// of a hint about a lost or slow engine probes the engine first, so that a gateway which is itself cut off from the
/// network misleads nobody.
namespace chervilpulley::gateway {

/// Largest number of gateways that a hint is sent to. With more gateways, those listed first after this one get it.
inline constexpr std::size_t kMaxPeers = 40;

/// Sends hints to the other gateways and handles those that they send.
class peer_hints : public ref_counted
{
public:
  peer_hints(boost::asio::io_context& aContext, ref<fleet> aFleet, ref<engine_probes> aProbes);

  /// Binds the socket and starts to receive; false when the address can't be bound.
  bool Start(const net::endpoint& aAddress);
  /// The address that others send hints to; empty when the socket is not open.
  std::string LocalAddress() const;
  /// Sets the gateways that hints are sent to.
  void SetPeers(std::vector<net::endpoint> aPeers);
  /// Sends that this gateway has found an engine lost.
  void NotifyLost(const backend_id& aEngine);
  /// Sends that an engine has reported to be slow, unless another gateway has just sent it.
  void NotifySlow(const backend_id& aEngine);
  /// Sends that this gateway orders an engine to replace its layers.
  void NotifyMoving(const backend_id& aEngine);
  /// Sends that a request has crashed a backend server.
  void NotifyCrash(const policy::crash_finding& aFinding);
  /// Sends that a request suspected of crashing servers was served.
  void NotifyCleared(request_digest aDigest);
  /// Sets the callbacks for hints of other gateways about crashes and cleared requests.
  void OnCrash(std::function<void(const policy::crash_finding&)> aCrashed,
               std::function<void(request_digest)> aCleared);

private:
  void Receive();
  void HandleDatagram(std::string_view aDatagram);
  void HandleLost(const backend_id& aEngine);
  void HandleSlow(const backend_id& aEngine);
  bool HandleCrash(const boost::json::object& aHint);
  void Broadcast(const boost::json::object& aHint);

  ref<fleet> mFleet;
  ref<engine_probes> mProbes;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 512> mBuffer{}; ///< a hint has about forty bytes
  std::vector<boost::asio::ip::udp::endpoint> mPeers;
  std::map<backend_id, instant> mProbedAt;
  std::map<backend_id, instant> mSlowReceivedAt; ///< last hint about a slow engine from another gateway
  std::function<void(const policy::crash_finding&)> mOnCrash;
  std::function<void(request_digest)> mOnCleared;
};

} // namespace chervilpulley::gateway
