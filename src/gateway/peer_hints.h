#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <functional>
#include <map>
#include <vector>

#include "gateway/engine_probes.h"
#include "gateway/fleet.h"
#include "gateway/server_limits.h"
#include "policy/crash_record.h"

/// Datagrams between gateways about engines that were found lost or slow, or that are about to move to other layers,
/// and about what makes requests crash backend servers; and announcements of load (load_announcements.h). Hints spread
/// a failure faster than the platform's list. The receiver of a hint about a lost or slow engine probes the engine
/// first, so that a gateway which is itself cut off from the network misleads nobody.
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
  /// Sets the gateways that hints are sent to; called whenever they have been read. Asks those that are new, and one of
  /// the others in turn, for the traits that they have blocked: this gateway may have started later, or missed hints.
  void SetPeers(std::vector<net::endpoint> aPeers);
  /// Sends that this gateway has found an engine lost.
  void NotifyLost(const backend_id& aEngine);
  /// Sends that an engine has reported to be slow, unless another gateway has just sent it.
  void NotifySlow(const backend_id& aEngine);
  /// Sends that this gateway orders an engine to replace its layers.
  void NotifyMoving(const backend_id& aEngine);
  /// Sends that a run of this gateway ended with its backend server.
  void NotifyCrash(const policy::interrupted_run& aRun, instant aNow);
  /// Sends that requests with a trait are blocked.
  void NotifyBlocked(const policy::trait_block& aBlock, instant aNow);
  /// Sends that a request with traits suspected of crashing servers has produced output, aAge ago.
  void NotifyCleared(const std::vector<run_trait>& aTraits, duration aAge);
  /// Sets the callback that returns the blocks which another gateway has asked for.
  void OnBlocksAsked(std::function<std::vector<policy::trait_block>(instant)> aBlocks) { mBlocks = std::move(aBlocks); }
  /// Sets the callbacks for hints of other gateways about crashes, blocked and cleared traits.
  void OnCrash(std::function<void(const policy::interrupted_run&)> aCrashed,
               std::function<void(const policy::trait_block&)> aBlocked,
               std::function<void(const std::vector<run_trait>&, instant)> aCleared);
  /// Asks another gateway for permits of a limited server. Its response goes to the limits of the fleet.
  void AskPermits(const net::endpoint& aCoordinator, const permit_ask& aAsk);
  /// Sends an encoded announcement of load to other gateways. It is not logged: there are several a second. The
  /// announcements of others go to those of the fleet.
  void SendAnnouncement(const std::vector<net::endpoint>& aTo, std::string_view aDatagram);

private:
  void Receive();
  void HandleDatagram(std::string_view aDatagram);
  void HandleLost(const backend_id& aEngine);
  void HandleSlow(const backend_id& aEngine);
  bool HandleCrash(const boost::json::object& aHint);
  bool HandlePermits(const boost::json::object& aMessage);
  bool HandleAnnouncement(const boost::json::object& aMessage);
  void AnswerAsker();
  void Broadcast(const boost::json::object& aHint);
  void Send(const boost::json::object& aHint, const std::vector<boost::asio::ip::udp::endpoint>& aTo);
  void SendMessage(const boost::json::object& aMessage, const boost::asio::ip::udp::endpoint& aTo);

  ref<fleet> mFleet;
  ref<engine_probes> mProbes;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 1400> mBuffer{}; ///< most hints have about forty bytes, one about a crash up to 900
  std::vector<boost::asio::ip::udp::endpoint> mPeers;
  std::size_t mNextAsked = 0; ///< index in mPeers
  std::map<backend_id, instant> mProbedAt;
  std::map<backend_id, instant> mSlowReceivedAt; ///< last hint about a slow engine from another gateway
  std::function<std::vector<policy::trait_block>(instant)> mBlocks;
  std::function<void(const policy::interrupted_run&)> mOnCrash;
  std::function<void(const policy::trait_block&)> mOnBlocked;
  std::function<void(const std::vector<run_trait>&, instant)> mOnCleared;
};

} // namespace chervilpulley::gateway
