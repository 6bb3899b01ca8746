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
/// and about requests that end their servers. Word of a loss or of slowness is no news by itself: who gets it asks the
/// engine, so that a gateway that is cut off misleads nobody.
namespace chervilpulley::gateway {

/// Gateways that are told at most; in larger fleets those listed first behind this one.
inline constexpr std::size_t kMostTold = 40;

class peer_hints : public ref_counted
{
public:
  peer_hints(boost::asio::io_context& aContext, ref<fleet> aFleet, ref<engine_probes> aInquiries);

  /// Binds; false when the address can't be had.
  bool Start(const net::endpoint& aAddress);
  /// Where others reach it; empty when it was not started.
  std::string LocalAddress() const;
  /// Who is told from now on.
  void SetPeers(std::vector<net::endpoint> aPeers);
  /// This gateway has found an engine lost.
  void TellLost(const backend_id& aEngine);
  /// An engine has told this gateway that it is slow.
  void TellSlow(const backend_id& aEngine);
  /// This gateway is about to give an engine other layers.
  void TellMoving(const backend_id& aEngine);
  /// A request has ended a server.
  void TellCrash(const policy::crash_finding& aFinding);
  /// A request that was held for one that ends servers was answered.
  void TellCleared(request_digest aDigest);
  /// What is done with such hints of others.
  void OnCrash(std::function<void(const policy::crash_finding&)> aCrashed,
               std::function<void(request_digest)> aCleared);

private:
  void Receive();
  void Take(std::string_view aDatagram);
  void TakeLost(const backend_id& aEngine);
  void TakeSlow(const backend_id& aEngine);
  bool TakeCrash(const boost::json::object& aHint);
  void Tell(const boost::json::object& aHint);

  ref<fleet> mFleet;
  ref<engine_probes> mInquiries;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 512> mBuffer{}; ///< a hint has some forty bytes
  std::vector<boost::asio::ip::udp::endpoint> mPeers;
  std::map<backend_id, instant> mAskedAt;
  std::map<backend_id, instant> mSlowHeardAt; ///< from other gateways
  std::function<void(const policy::crash_finding&)> mOnCrash;
  std::function<void(request_digest)> mOnCleared;
};

} // namespace chervilpulley::gateway
