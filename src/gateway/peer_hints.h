#pragma once

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <vector>

#include "gateway/engine_inquiries.h"
#include "gateway/fleet.h"

/// Datagrams between gateways about engines that were found lost, or that are about to move to other layers. Word of a
/// loss is no news by itself: who gets it asks the engine, so that a gateway that is cut off misleads nobody.
namespace chervilpulley::gateway {

/// Gateways that are told at most; in larger fleets those listed first behind this one.
inline constexpr std::size_t kMostTold = 40;

class peer_hints : public ref_counted
{
public:
  peer_hints(boost::asio::io_context& aContext, ref<fleet> aFleet, ref<engine_inquiries> aInquiries);

  /// Binds; false when the address can't be had.
  bool Start(const net::endpoint& aAddress);
  /// Who is told from now on.
  void SetPeers(std::vector<net::endpoint> aPeers);
  /// This gateway has found an engine lost.
  void TellLost(const backend_id& aEngine);
  /// This gateway is about to give an engine other layers.
  void TellMoving(const backend_id& aEngine);

private:
  void Receive();
  void Take(std::string_view aDatagram);
  void TakeLost(const backend_id& aEngine);
  void Tell(std::string_view aField, const backend_id& aEngine);

  ref<fleet> mFleet;
  ref<engine_inquiries> mInquiries;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 512> mBuffer{}; ///< a hint has some forty bytes
  std::vector<boost::asio::ip::udp::endpoint> mPeers;
  std::map<backend_id, instant> mAskedAt;
};

} // namespace chervilpulley::gateway
